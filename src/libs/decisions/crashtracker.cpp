#include "decisions/crashtracker.h"

#include <algorithm>

namespace jackdawlead::decisions {

void CrashTracker::recordConnectionFailure(const RequestIdentity &request,
                                           const core::EndpointId &endpoint, core::TimePoint now)
{
    while (!m_connectionFailures.empty()
           && now - m_connectionFailures.front().at > m_limits.attributionWindow)
        m_connectionFailures.pop_front();
    m_connectionFailures.push_back({request, endpoint, now});
}

CrashEvidence CrashTracker::recordCrash(const core::EndpointId &endpoint, const CrashId &crash,
                                        core::TimePoint now)
{
    CrashEvidence evidence {crash, {}};
    for (const ConnectionFailure &failure : m_connectionFailures) {
        if (failure.endpoint != endpoint || now - failure.at > m_limits.attributionWindow)
            continue;
        applyUpdate({failure.request.fingerprint, crash}, now);
        evidence.requests.push_back(failure.request);
    }
    std::erase_if(m_connectionFailures, [&endpoint](const ConnectionFailure &failure) {
        return failure.endpoint == endpoint;
    });
    return evidence;
}

void CrashTracker::applyUpdate(const CrashReport &report, core::TimePoint now)
{
    if (m_entries.size() >= m_limits.maxEntries && !m_entries.contains(report.fingerprint)) {
        m_entries.erase(std::ranges::min_element(
            m_entries, {}, [](const auto &entry) { return entry.second.lastAt; }));
    }
    Entry &entry = m_entries[report.fingerprint];
    if (now - entry.lastAt > m_limits.retentionTime)
        entry.crashIds.clear();
    if (!entry.crashIds.insert(report.crash).second)
        return;
    entry.lastAt = now;
    while (!m_recentReports.empty()
           && now - m_recentReports.front().at > m_limits.broadcastDuration)
        m_recentReports.pop_front();
    m_recentReports.push_back({report, now});
}

void CrashTracker::forget(const CrashId &crash)
{
    for (auto &[fingerprint, entry] : m_entries)
        entry.crashIds.erase(crash);
    std::erase_if(m_recentReports,
                  [&crash](const RecentReport &recent) { return recent.report.crash == crash; });
}

std::vector<CrashReport> CrashTracker::recentCrashes(core::TimePoint now) const
{
    std::vector<CrashReport> reports;
    for (const RecentReport &entry : m_recentReports) {
        if (now - entry.at <= m_limits.broadcastDuration)
            reports.push_back(entry.report);
    }
    return reports;
}

std::size_t CrashTracker::crashCount(const Fingerprint &fingerprint, core::TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || now - found->second.lastAt > m_limits.retentionTime)
        return 0;
    return found->second.crashIds.size();
}

} // namespace jackdawlead::decisions
