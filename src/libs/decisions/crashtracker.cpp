#include "decisions/crashtracker.h"

#include <algorithm>

namespace jackdawlead::decisions {

void CrashTracker::recordConnectionFailure(const Fingerprint &fingerprint,
                                           const core::EndpointId &endpoint, core::TimePoint now)
{
    while (!m_broken.empty() && now - m_broken.front().at > m_limits.attributionWindow)
        m_broken.pop_front();
    m_broken.push_back({fingerprint, endpoint, now});
}

void CrashTracker::recordCrash(const core::EndpointId &endpoint, const CrashId &death,
                               core::TimePoint now)
{
    for (const Broken &broken : m_broken) {
        if (broken.endpoint == endpoint && now - broken.at <= m_limits.attributionWindow)
            applyUpdate({broken.fingerprint, death}, now);
    }
    std::erase_if(m_broken,
                  [&endpoint](const Broken &broken) { return broken.endpoint == endpoint; });
}

void CrashTracker::applyUpdate(const CrashReport &fact, core::TimePoint now)
{
    if (m_entries.size() >= m_limits.maxEntries && !m_entries.contains(fact.fingerprint)) {
        m_entries.erase(std::ranges::min_element(
            m_entries, {}, [](const auto &entry) { return entry.second.lastAt; }));
    }
    Entry &entry = m_entries[fact.fingerprint];
    if (now - entry.lastAt > m_limits.retentionTime)
        entry.crashIds.clear();
    if (!entry.crashIds.insert(fact.death).second)
        return;
    entry.lastAt = now;
    while (!m_recent.empty() && now - m_recent.front().at > m_limits.broadcastDuration)
        m_recent.pop_front();
    m_recent.push_back({fact, now});
}

std::vector<CrashReport> CrashTracker::recentCrashes(core::TimePoint now) const
{
    std::vector<CrashReport> facts;
    for (const Told &entry : m_recent) {
        if (now - entry.at <= m_limits.broadcastDuration)
            facts.push_back(entry.fact);
    }
    return facts;
}

std::size_t CrashTracker::crashCount(const Fingerprint &fingerprint, core::TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || now - found->second.lastAt > m_limits.retentionTime)
        return 0;
    return found->second.crashIds.size();
}

} // namespace jackdawlead::decisions
