#include "decisions/waitinglist.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::decisions {

void WaitingCount::add(const WaitingCount &other)
{
    inTime += other.inTime;
    late += other.late;
    inTimeUntil = std::max(inTimeUntil, other.inTimeUntil);
}

WaitingCount WaitingCount::at(core::TimePoint now) const
{
    if (now <= inTimeUntil)
        return *this;
    return {0, inTime + late, inTimeUntil};
}

void WaitingList::add(const fleet::AdapterKey &key, core::TimePoint latestStart)
{
    m_waiting[key].insert(latestStart);
}

void WaitingList::remove(const fleet::AdapterKey &key, core::TimePoint latestStart)
{
    const auto found = m_waiting.find(key);
    if (found == m_waiting.end())
        return;
    if (const auto entry = found->second.find(latestStart); entry != found->second.end())
        found->second.erase(entry);
    if (found->second.empty())
        m_waiting.erase(found);
}

std::unordered_map<fleet::AdapterKey, WaitingCount> WaitingList::counts(core::TimePoint now) const
{
    std::unordered_map<fleet::AdapterKey, WaitingCount> counts;
    for (const auto &[key, starts] : m_waiting) {
        const auto late = std::distance(starts.begin(), starts.lower_bound(now));
        counts[key] = {static_cast<int>(starts.size()) - static_cast<int>(late),
                       static_cast<int>(late), *starts.rbegin()};
    }
    return counts;
}

} // namespace jackdawlead::decisions
