#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/adapterrates.h"
#include "decisions/loadwaitestimator.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace jackdawlead::decisions {

struct SchedulerLimits
{
    std::size_t slots = 4;
    std::size_t maxRunning = 64;
    std::size_t maxQueued = 256;
    /// Delay before a failed load of an adapter is retried; doubles up to maxLoadBackoff.
    core::Duration loadBackoff = std::chrono::milliseconds(500);
    core::Duration maxLoadBackoff = std::chrono::seconds(30);
    /// A request for an absent adapter is refused at once when the predicted wait for the load
    /// exceeds this. If the load would evict an adapter with a higher request rate, the limit is
    /// lower. Without a value only the deadline of a request bounds its wait.
    std::optional<core::Duration> maxLoadWait = std::chrono::milliseconds(1750);
    /// No adapter is evicted while this many loads of the endpoint are in progress, because the
    /// store runs two at once.
    std::size_t maxLoadsForEviction = 2;
    /// A request that has waited this long for a slot causes one resident adapter to be drained, so
    /// that it receives no new requests.
    core::Duration maxSlotWait = std::chrono::seconds(1);
    /// Minimum time between two such drains, so that an overload does not evict adapters in use.
    core::Duration minSlotDrainInterval = std::chrono::seconds(10);
};

/// Returns the limits for a pool with the given weight between load stalls (1) and batch efficiency
/// (0). A pool that favors short stalls refuses requests sooner. Thread safety: any thread.
SchedulerLimits schedulerLimitsFor(double stallWeight);

/// Request a load from the store's load budget, then order it from the endpoint.
struct LoadAdapter
{
    core::AdapterVersion adapter;
    core::TimePoint deadline; ///< The earliest deadline of the requests that wait for it.
};
struct EvictAdapter
{
    core::AdapterVersion adapter;
};
struct DispatchRequest
{
    core::RequestId request;
};
/// Refuse the request. It was not run and will not be run here.
struct RefuseRequest
{
    core::RequestId request;
    std::string reason;
    core::Duration retryAfter;
};
using SchedulerCommand = std::variant<LoadAdapter, EvictAdapter, DispatchRequest, RefuseRequest>;
using SchedulerCommands = std::vector<SchedulerCommand>;

/// Schedules the adapter slots of one endpoint: which adapter to load, which to evict, and when
/// each request is dispatched. It maintains the use counts; an adapter with a running request is
/// never evicted. Every event returns the commands to execute, in order. Thread safety: one thread
/// at a time. It never reads a clock.
class EndpointScheduler
{
public:
    explicit EndpointScheduler(SchedulerLimits limits);

    SchedulerCommands submit(const core::RequestId &request, const core::AdapterVersion &adapter,
                             core::TimePoint deadline, core::TimePoint now);
    /// The request ended at the endpoint, whatever its outcome.
    SchedulerCommands finished(const core::RequestId &request, core::TimePoint now);
    /// The connection of a running request was closed before its response was complete. The
    /// endpoint may still run it, so its adapter is not evicted until unpinned().
    SchedulerCommands aborted(const core::RequestId &request, core::TimePoint now);
    /// The caller of a request that may still be queued disconnected.
    SchedulerCommands cancelled(const core::RequestId &request, core::TimePoint now);
    SchedulerCommands loaded(const core::AdapterVersion &adapter, core::TimePoint now);
    SchedulerCommands loadFailed(const core::AdapterVersion &adapter, core::TimePoint now);
    SchedulerCommands evicted(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The load was not ordered, because no queued request needs it any more.
    SchedulerCommands loadWithdrawn(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The endpoint refused the eviction; the adapter is still resident.
    SchedulerCommands evictionFailed(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The eviction may take effect at any later time, so it is retried until the endpoint
    /// responds.
    SchedulerCommands evictionUnanswered(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The endpoint responded that it does not hold the adapter.
    SchedulerCommands adapterMissing(const core::AdapterVersion &adapter, core::TimePoint now);
    /// Replaces the resident adapters by those that the endpoint reports, after a takeover or a
    /// restart. Adapters with a running request of another daemon are passed in `pinned` and not
    /// evicted until unpinned(). Loads and evictions in progress keep their slots.
    SchedulerCommands syncResidentAdapters(const std::vector<core::AdapterVersion> &resident,
                                           const std::vector<core::AdapterVersion> &pinned,
                                           core::TimePoint now);
    SchedulerCommands unpinned(const core::AdapterVersion &adapter, core::TimePoint now);
    /// Sets how long a further load would wait for its grant, as reported by the load budget.
    void updateGrantWait(core::Duration wait, core::TimePoint now);
    /// Refuses requests after their deadlines and retries failed loads.
    SchedulerCommands tick(core::TimePoint now);
    /// Refuses all queued and all further requests; running requests continue. Used for a planned
    /// stop and for a leaving endpoint.
    SchedulerCommands drain(core::TimePoint now);
    /// Accepts new requests again after drain().
    void resume() { m_isDraining = false; }

    bool isResident(const core::AdapterVersion &adapter) const;
    /// Whether a queued request needs the adapter. Must be called when a load was granted.
    bool hasQueuedRequest(const core::AdapterVersion &adapter) const;
    std::size_t useCount(const core::AdapterVersion &adapter) const;
    std::size_t runningCount() const { return m_running.size(); }
    std::size_t queuedCount() const { return m_queued.size(); }
    std::vector<core::AdapterVersion> residentAdapters() const;
    /// The value of the adapter that the next load would evict; zero while a slot is empty.
    /// Owners publish it for PreferredEndpointSelector. Unit: requests per second.
    double evictionCost(core::TimePoint now) const;

private:
    enum class SlotState { Loading, Resident, Evicting };
    struct Slot
    {
        SlotState state = SlotState::Loading;
        bool isPinned = false;
        /// Receives no new requests, because a request for another adapter waits too long.
        bool isDraining = false;
        core::TimePoint lastUsed {};
        core::TimePoint requestedAt {}; ///< When the first request for the load was queued.
        /// When an eviction without a response is retried.
        std::optional<core::TimePoint> retryEvictionAt = std::nullopt;
    };
    struct Queued
    {
        core::RequestId request;
        core::AdapterVersion adapter;
        core::TimePoint deadline;
        core::TimePoint queuedAt;
    };
    struct Backoff
    {
        core::Duration delay {};
        core::TimePoint until;
    };

    SchedulerCommands schedule(core::TimePoint now);
    void refuseExpired(core::TimePoint now, SchedulerCommands &commands);
    void refuseWithoutSlot(core::TimePoint now, SchedulerCommands &commands);
    void dispatchReady(core::TimePoint now, SchedulerCommands &commands);
    void startLoads(core::TimePoint now, SchedulerCommands &commands);
    std::size_t loadsInProgress() const;
    void retryEvictions(core::TimePoint now, SchedulerCommands &commands);
    bool evictLeastValuable(core::TimePoint now, SchedulerCommands &commands);
    Slot *findSlot(SlotState state, const core::AdapterVersion &adapter);
    void cancelSlotDrains();
    void drainSlotFor(const core::AdapterVersion &waitingAdapter, core::TimePoint now);
    core::Duration predictedWait(core::TimePoint now) const;
    core::Duration maxAcceptedWait(const core::AdapterVersion &adapter, core::TimePoint now) const;
    void refuseQueued(const core::AdapterVersion &adapter, core::Duration retryAfter,
                      SchedulerCommands &commands);

    SchedulerLimits m_limits;
    std::map<core::AdapterVersion, Slot> m_slots;
    std::vector<Queued> m_queued; ///< Ordered by deadline.
    std::unordered_map<core::RequestId, core::AdapterVersion> m_running;
    /// Number of running requests of each adapter. Separate from the slots, which a restart of the
    /// endpoint replaces while the requests that it aborted have not finished yet.
    std::map<core::AdapterVersion, std::size_t> m_useCounts;
    std::map<core::AdapterVersion, Backoff> m_backoffs;
    /// Delays the next eviction after a refused one. Without a valid lease each eviction would be
    /// refused at once and retried in a tight loop.
    core::TimePoint m_evictNotBefore;
    bool m_isDraining = false;
    AdapterRates m_rates;
    LoadWaitEstimator m_loadWait;
    LoadWaitEstimator m_grantWait;
    core::TimePoint m_lastSlotDrainAt;
};

} // namespace jackdawlead::decisions
