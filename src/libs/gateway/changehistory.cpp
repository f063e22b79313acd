#include "gateway/changehistory.h"

#include <algorithm>
#include <iterator>

namespace jackdawlead::gateway {

void ChangeHistory::reset(const core::StorePosition &position)
{
    m_newest = position;
    m_segments = {{position.era, position.revision, position.revision}};
    m_batches.clear();
}

void ChangeHistory::append(const core::StorePosition &position,
                           const std::vector<platform::ObjectEvent> &changes)
{
    if (m_segments.empty() || position.era != m_newest.era)
        m_segments.push_back({position.era, position.revision, position.revision});
    m_segments.back().last = position.revision;
    m_newest = position;
    if (changes.empty())
        return;
    m_batches.push_back({position, changes});
    if (m_batches.size() > m_maxBatches)
        dropOldestBatch();
}

void ChangeHistory::dropOldestBatch()
{
    const core::StorePosition &dropped = m_batches.front().position;
    while (m_segments.front().era != dropped.era)
        m_segments.pop_front();
    m_segments.front().first = dropped.revision;
    m_batches.pop_front();
}

bool ChangeHistory::covers(const core::StorePosition &position) const
{
    const auto segment = std::ranges::find(m_segments, position.era, &Segment::era);
    if (segment == m_segments.end() || position.revision < segment->first)
        return false;
    // A daemon that watched the store itself may be ahead in the present era.
    return position.revision <= segment->last || position.era == m_newest.era;
}

std::optional<std::vector<platform::ObjectEvent>>
ChangeHistory::changesAfter(const core::StorePosition &since) const
{
    if (!covers(since))
        return std::nullopt;
    std::vector<platform::ObjectEvent> changes;
    for (const Batch &batch : m_batches) {
        const bool isLaterEra = batch.position.era > since.era;
        if (isLaterEra || batch.position.isAfter(since))
            std::ranges::copy(batch.changes, std::back_inserter(changes));
    }
    return changes;
}

} // namespace jackdawlead::gateway
