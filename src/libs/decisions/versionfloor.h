#pragma once

#include "core/time.h"

#include <vector>

namespace jackdawlead::decisions {

/// How soon an announced version must be used.
struct VersionLimits
{
    /// Usual time from the moment at which an announcement is learned.
    core::Duration grace {};
    /// Maximum time from the announcement itself until no request is sent to an older version.
    core::Duration bound {};
    /// The same until no request waits at an older version any more. The time between covers the
    /// wait in the queue of a request that was sent before, however late the announcement was
    /// learned.
    core::Duration queueBound {};
};

/// The limits with which no request begins on an older version later than `versionBound` after the
/// announcement. Thread safety: any thread.
VersionLimits versionLimits(core::Duration versionBound);

/// The announced versions of one adapter. From its own time on each version is required, whatever
/// is announced afterwards: the lowest allowed version only rises. Thread safety: one thread at a
/// time.
class VersionFloor
{
public:
    /// Records an announcement that was learned at `learnedAt` and made after `madeAfter`; the
    /// latter is the clock's epoch if that is not known. Returns false if the version isn't newer
    /// than all before.
    bool announce(int version, core::TimePoint learnedAt, core::TimePoint madeAfter,
                  const VersionLimits &limits);
    /// The lowest version that may be used at `now`; zero if any may.
    int lowestAllowed(core::TimePoint now) const;
    /// From when on the newest version is required.
    core::TimePoint newestRequiredAt() const
    {
        return m_pending.empty() ? core::TimePoint() : m_pending.back().requiredAt;
    }
    int newest() const { return m_pending.empty() ? m_floor : m_pending.back().version; }

private:
    struct Pending
    {
        int version = 0;
        core::TimePoint requiredAt;
    };

    int m_floor = 0;                ///< Required already when the last version was announced.
    std::vector<Pending> m_pending; ///< Ascending by version and by time.
};

} // namespace jackdawlead::decisions
