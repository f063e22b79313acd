#include "decisions/outagedetector.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::decisions {

namespace {

// A longer gap, such as a pause of the process, could hide that the outage had ended.
constexpr core::Duration maxEvaluationGap = std::chrono::seconds(1);

} // namespace

void OutageDetector::setDaemons(std::set<core::HostId> daemons)
{
    m_daemons = std::move(daemons);
    std::erase_if(m_states, [this](const auto &entry) { return !m_daemons.contains(entry.first); });
}

void OutageDetector::recordReport(const core::HostId &host, const ApiState &state)
{
    if (!m_daemons.contains(host))
        return;
    const auto [known, isNew] = m_states.try_emplace(host, state);
    if (!isNew && state.reportedAt > known->second.reportedAt)
        known->second = state;
}

bool OutageDetector::isOutage(core::TimePoint now) const
{
    const auto count = std::ranges::count_if(m_states, [&](const auto &entry) {
        return entry.second.report == ApiReachability::Unreachable
            && now - entry.second.reportedAt <= m_limits.maxReportAge;
    });
    return 2 * static_cast<std::size_t>(count) > m_daemons.size();
}

bool OutageDetector::isReachableSince(core::TimePoint begin, core::TimePoint now) const
{
    const auto count = std::ranges::count_if(m_states, [&](const auto &entry) {
        return entry.second.report == ApiReachability::Reachable && entry.second.since <= begin
            && now - entry.second.reportedAt <= m_limits.maxReportAge;
    });
    return !m_daemons.empty() && 2 * static_cast<std::size_t>(count) >= m_daemons.size();
}

std::map<core::HostId, ApiState> OutageDetector::currentStates(core::TimePoint now) const
{
    std::map<core::HostId, ApiState> states;
    for (const auto &[host, state] : m_states)
        if (now - state.reportedAt <= m_limits.maxReportAge)
            states.emplace(host, state);
    return states;
}

bool OutagePermit::evaluate(bool isLeaseValid, bool isOutage, core::TimePoint now)
{
    const bool hasGap = now - m_evaluatedAt > maxEvaluationGap;
    m_evaluatedAt = now;
    m_isPermitted = isLeaseValid || (m_isPermitted && isOutage && !hasGap);
    return m_isPermitted;
}

} // namespace jackdawlead::decisions
