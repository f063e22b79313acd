#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jackdawlead::decisions {

struct LeaseLimits
{
    core::Duration duration = std::chrono::seconds(15);
    core::Duration guard = std::chrono::seconds(1);
    /// The greatest time between two readings of a record that count as one observation. In a
    /// longer gap the object API may have been out, so that the holder could not renew.
    core::Duration maxGap = std::chrono::seconds(3);
};

/// The holder's view of its lease. It counts from the time at which a renewal was sent, so that the
/// holder's time ends before any observer's time does. Thread safety: one thread at a time.
class LeaseHolder
{
public:
    explicit LeaseHolder(LeaseLimits limits)
        : m_limits(limits)
    { }

    /// Records that the renewal sent at `sentAt` took effect.
    void recordRenewal(core::TimePoint sentAt);
    /// Gives the lease up at once.
    void release() { m_renewedAt.reset(); }
    /// Whether exclusive rights hold at `now`; to be asked directly before each use of them.
    bool isValid(core::TimePoint now) const;

private:
    LeaseLimits m_limits;
    std::optional<core::TimePoint> m_renewedAt;
};

/// Another daemon's view of a lease. It trusts no clock but its own: the lease has lapsed when its
/// record was seen unchanged for the whole duration and the guard, with no gap in which the record
/// could not be read. Thread safety: one thread at a time.
class LeaseObserver
{
public:
    explicit LeaseObserver(LeaseLimits limits)
        : m_limits(limits)
    { }

    /// Records that a reading sent at `sentAt` and answered at `now` found this resource version.
    /// An answer proves the state of the record at `sentAt` only.
    void observe(const std::string &resourceVersion, core::TimePoint sentAt, core::TimePoint now);
    /// Records that the object API did not answer, or that no majority of the region's daemons
    /// reports it as reachable; the observation starts again.
    void resetObservation() { m_unchangedSince.reset(); }
    bool hasExpired(core::TimePoint now) const;

private:
    LeaseLimits m_limits;
    std::string m_resourceVersion;
    std::optional<core::TimePoint> m_unchangedSince;
    core::TimePoint m_unchangedUntil;
};

} // namespace jackdawlead::decisions
