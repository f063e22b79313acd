#include "decisions/leavingendpoints.h"

namespace jackdawlead::decisions {

bool LeavingEndpoints::add(const core::EndpointId &id, fleet::StartTime startTime)
{
    const auto [entry, isNew] = m_startTimes.try_emplace(id, startTime);
    if (!isNew) {
        const bool isLaterIncarnation = entry->second < startTime;
        if (isLaterIncarnation)
            entry->second = startTime;
        return isLaterIncarnation;
    }
    m_insertionOrder.push_back(id);
    if (m_insertionOrder.size() > maxEntries) {
        m_startTimes.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
    }
    return true;
}

bool LeavingEndpoints::contains(const core::EndpointId &id, fleet::StartTime startTime) const
{
    const auto found = m_startTimes.find(id);
    return found != m_startTimes.end() && found->second == startTime;
}

} // namespace jackdawlead::decisions
