#include "decisions/waitinglist.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::decisions {

void WaitingCount::add(const WaitingCount &other)
{
    inTime += other.inTime;
    late += other.late;
    latestStartDeadline = std::max(latestStartDeadline, other.latestStartDeadline);
}

WaitingCount WaitingCount::at(core::TimePoint now) const
{
    if (now <= latestStartDeadline)
        return *this;
    return {0, inTime + late, latestStartDeadline};
}

void WaitingList::add(const fleet::AdapterKey &key, core::TimePoint startDeadline)
{
    m_waiting[key].insert(startDeadline);
}

void WaitingList::remove(const fleet::AdapterKey &key, core::TimePoint startDeadline)
{
    const auto found = m_waiting.find(key);
    if (found == m_waiting.end())
        return;
    if (const auto entry = found->second.find(startDeadline); entry != found->second.end())
        found->second.erase(entry);
    if (found->second.empty())
        m_waiting.erase(found);
}

void WaitingList::removePinned(const fleet::PinnedAdapter &adapter)
{
    if (const auto entry = m_pinned.find(adapter); entry != m_pinned.end())
        m_pinned.erase(entry);
}

std::unordered_map<fleet::AdapterKey, WaitingCount> WaitingList::counts(core::TimePoint now) const
{
    std::unordered_map<fleet::AdapterKey, WaitingCount> counts;
    for (const auto &[key, startDeadlines] : m_waiting) {
        const auto late = std::distance(startDeadlines.begin(), startDeadlines.lower_bound(now));
        counts[key] = {static_cast<int>(startDeadlines.size()) - static_cast<int>(late),
                       static_cast<int>(late), *startDeadlines.rbegin()};
    }
    return counts;
}

} // namespace jackdawlead::decisions
