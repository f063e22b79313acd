#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace jackdawlead::decisions {

/// Limits on the loads from one weight store, or on one daemon's share of them.
struct LoadBudgetLimits
{
    double loadsPerSecond = 6;       ///< Greater than zero.
    std::size_t concurrentLoads = 2; ///< At least 1; also the maximum burst above the rate.
    /// A grant that is not released expires after this time. It must exceed the maximum timeout of
    /// an order, so that the load can no longer be in progress.
    core::Duration grantLifetime = std::chrono::seconds(4);
};

/// One load of one owner.
struct LoadKey
{
    core::HostId owner;
    core::EndpointId endpoint;
    core::AdapterVersion adapter;
    std::uint64_t order = 0; ///< Distinguishes repeated loads of one adapter by one owner.
    auto operator<=>(const LoadKey &) const = default;
};

/// The limits that a daemon applies on its own while no holder of the budget is reachable. The
/// rates of all daemons add up to the store's rate. Each daemon may run at least one load, so that
/// the store's concurrency limit can be exceeded when there are more daemons than concurrent loads.
/// Thread safety: any thread.
LoadBudgetLimits fairShare(const LoadBudgetLimits &store, std::size_t liveDaemons);

/// Grants loads from one store, the earliest deadline first, within a rate and a concurrency limit.
/// Thread safety: one thread at a time. It never reads a clock.
class LoadBudget
{
public:
    /// Grants nothing before `firstGrantAt`. A holder that takes over passes the time of the
    /// takeover plus one lease duration, after which no grant of its predecessor is in use.
    LoadBudget(LoadBudgetLimits limits, core::TimePoint firstGrantAt);

    /// Requests a load; a repeated request changes the deadline. Returns the loads granted now.
    std::vector<LoadKey> request(const LoadKey &load, core::TimePoint deadline,
                                 core::TimePoint now);
    /// The load ended, whatever its result, or its request was withdrawn.
    std::vector<LoadKey> release(const LoadKey &load, core::TimePoint now);
    /// Drops the waiting requests of a removed daemon; its grants expire.
    std::vector<LoadKey> removeOwner(const core::HostId &owner, core::TimePoint now);
    /// Reserves the fair shares of `unreachable` daemons out of `liveDaemons`, which apply them on
    /// their own.
    std::vector<LoadKey> setUnreachableDaemons(std::size_t unreachable, std::size_t liveDaemons,
                                               core::TimePoint now);
    /// Replaces the limits; used when the number of live daemons changes a fair share.
    std::vector<LoadKey> setLimits(const LoadBudgetLimits &limits, core::TimePoint now);
    std::vector<LoadKey> tick(core::TimePoint now);

    /// When tick() can grant the next load; empty if no load waits.
    std::optional<core::TimePoint> nextGrantAt() const;
    /// How long a load requested now would wait for its grant behind all waiting loads.
    core::Duration predictedWait(core::TimePoint now) const;
    std::size_t waitingCount() const { return m_waiting.size(); }
    std::size_t grantedCount() const { return m_granted.size(); }
    /// The current rate of grants. Unit: loads per second.
    double loadsPerSecond() const { return m_limits.loadsPerSecond * m_share; }

private:
    struct Waiting
    {
        core::TimePoint deadline;
        std::size_t sequence = 0;
    };

    core::Duration spacing() const;
    core::TimePoint nextStartAt() const;
    std::vector<LoadKey> grant(core::TimePoint now);

    LoadBudgetLimits m_limits;
    double m_share = 1.0; ///< Share of the store's rate that is not reserved for others.
    core::TimePoint m_firstGrantAt;
    /// End of the time that the grants so far take up at the sustained rate.
    core::TimePoint m_scheduledUntil;
    std::size_t m_nextSequence = 0;
    std::map<LoadKey, Waiting> m_waiting;
    std::map<LoadKey, core::TimePoint> m_granted; ///< With the time at which each expires.
};

} // namespace jackdawlead::decisions
