#include "decisions/endpointpaths.h"

#include <algorithm>

namespace jackdawlead::decisions {

void EndpointPaths::recordAnswered(const core::EndpointId &id, core::TimePoint now)
{
    m_interrupted.erase(id);
    m_isCutOff = false;
    recordActivity(now);
}

// Connections that were open before may live on while new ones fail. Their bytes keep the daemon
// from counting as cut off, since requests can still use these connections.
void EndpointPaths::recordReachedByPeer(const core::EndpointId &id, core::TimePoint failedAt,
                                        core::TimePoint now)
{
    m_interrupted.try_emplace(id, failedAt);
    if (m_isCutOff || failedAt > now)
        return;
    const auto isSilent = [this](const auto &entry) { return entry.second >= m_lastActivityAt; };
    m_isCutOff = std::ranges::count_if(m_interrupted, isSilent) >= cutOffThreshold;
}

std::optional<core::EndpointId>
EndpointPaths::nextTrial(const std::map<core::EndpointId, core::TimePoint> &lastTrials) const
{
    std::optional<core::EndpointId> next;
    core::TimePoint oldest = core::TimePoint::max();
    for (const auto &[id, triedAt] : lastTrials) {
        if (isInterrupted(id) && triedAt < oldest) {
            next = id;
            oldest = triedAt;
        }
    }
    return next;
}

} // namespace jackdawlead::decisions
