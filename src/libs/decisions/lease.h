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
    /// Maximum time between two reads of a record that belong to one observation. During a longer
    /// gap the object API may have been unavailable, so that the holder could not renew.
    core::Duration maxGap = std::chrono::seconds(3);
};

/// The holder's view of its lease. The validity starts when a renewal is sent, so that it ends
/// before the lease expires for any observer. Thread safety: one thread at a time.
class LeaseHolder
{
public:
    explicit LeaseHolder(LeaseLimits limits)
        : m_limits(limits)
    { }

    /// Records that the renewal sent at `sentAt` took effect.
    void recordRenewal(core::TimePoint sentAt);
    /// Ends the validity of the lease at once.
    void release() { m_renewedAt.reset(); }
    /// Whether the lease is valid at `now`. Must be called directly before each exclusive action.
    bool isValid(core::TimePoint now) const;

private:
    LeaseLimits m_limits;
    std::optional<core::TimePoint> m_renewedAt;
};

/// Another daemon's view of a lease, measured by that daemon's own clock only. The lease has
/// expired once its record has been unchanged for the whole duration and the guard, without a gap
/// in which the record could not be read. Thread safety: one thread at a time.
class LeaseObserver
{
public:
    explicit LeaseObserver(LeaseLimits limits)
        : m_limits(limits)
    { }

    /// Records that a read sent at `sentAt` and answered at `now` returned this resource version.
    /// The response proves the state of the record at `sentAt` only.
    void observe(const std::string &resourceVersion, core::TimePoint sentAt, core::TimePoint now);
    /// Restarts the observation, because the object API did not respond or no majority of the
    /// region's daemons reports it as reachable.
    void resetObservation() { m_unchangedSince.reset(); }
    bool hasExpired(core::TimePoint now) const;

private:
    LeaseLimits m_limits;
    std::string m_resourceVersion;
    std::optional<core::TimePoint> m_unchangedSince;
    core::TimePoint m_unchangedUntil;
};

} // namespace jackdawlead::decisions
