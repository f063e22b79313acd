#pragma once

#include "platform/objectstoreclient.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace jackdawlead::gateway {

/// The recent changes to the objects of one kind, also across restores of the store: the changes
/// with which an era begins lead from the last known state of the era before to the restored one.
/// Thread safety: one thread at a time.
class ChangeHistory
{
public:
    /// At most `maxBatches` results with changes are kept.
    explicit ChangeHistory(std::size_t maxBatches)
        : m_maxBatches(maxBatches)
    { }

    /// Begins anew at a complete list; earlier changes are not known.
    void reset(const core::StorePosition &position);
    /// Adds the changes that lead from newest() to `position`.
    void append(const core::StorePosition &position,
                const std::vector<platform::ObjectEvent> &changes);
    /// Returns the changes after a position; nullopt if they are not known. In an earlier era a
    /// position behind the last known one may have changes that the history does not undo, and in
    /// a later one a position before the first known one may lack changes.
    std::optional<std::vector<platform::ObjectEvent>>
    changesAfter(const core::StorePosition &since) const;
    const core::StorePosition &newest() const { return m_newest; }

private:
    /// The known positions of one era.
    struct Segment
    {
        core::StoreEra era;
        std::uint64_t first = 0;
        std::uint64_t last = 0;
    };
    struct Batch
    {
        core::StorePosition position;
        std::vector<platform::ObjectEvent> changes;
    };

    bool covers(const core::StorePosition &position) const;
    void dropOldestBatch();

    std::size_t m_maxBatches;
    core::StorePosition m_newest;
    std::deque<Segment> m_segments; ///< Oldest first; the last one is that of m_newest.
    std::deque<Batch> m_batches;    ///< Oldest first.
};

} // namespace jackdawlead::gateway
