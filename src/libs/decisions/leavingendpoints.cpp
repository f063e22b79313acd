#include "decisions/leavingendpoints.h"

namespace jackdawlead::decisions {

bool LeavingEndpoints::add(const core::EndpointId &id, fleet::StartTime startTime)
{
    const auto [entry, isNew] = m_marks.try_emplace(id, startTime);
    if (!isNew) {
        const bool isLaterLife = entry->second < startTime;
        if (isLaterLife)
            entry->second = startTime;
        return isLaterLife;
    }
    m_order.push_back(id);
    if (m_order.size() > maxEntries) {
        m_marks.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

bool LeavingEndpoints::contains(const core::EndpointId &id, fleet::StartTime startTime) const
{
    const auto found = m_marks.find(id);
    return found != m_marks.end() && found->second == startTime;
}

} // namespace jackdawlead::decisions
