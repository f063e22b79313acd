#include "decisions/leavingmarks.h"

namespace jackdawlead::decisions {

bool LeavingMarks::mark(const core::EndpointId &id, fleet::BirthTime born)
{
    const auto [entry, isNew] = m_marks.try_emplace(id, born);
    if (!isNew) {
        const bool isLaterLife = entry->second < born;
        if (isLaterLife)
            entry->second = born;
        return isLaterLife;
    }
    m_order.push_back(id);
    if (m_order.size() > most) {
        m_marks.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

bool LeavingMarks::contains(const core::EndpointId &id, fleet::BirthTime born) const
{
    const auto found = m_marks.find(id);
    return found != m_marks.end() && found->second == born;
}

} // namespace jackdawlead::decisions
