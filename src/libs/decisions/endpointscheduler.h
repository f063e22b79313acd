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
    /// Delay before a failed load of an adapter is tried again; doubles up to the greatest delay.
    core::Duration loadBackoff = std::chrono::milliseconds(500);
    core::Duration maxLoadBackoff = std::chrono::seconds(30);
    /// A request for an absent adapter is refused at once when its load is predicted to take
    /// longer. An adapter that is worth less than the one that it displaces gets less than this.
    /// Without a value only the deadline of a request bounds its wait.
    std::optional<core::Duration> maxLoadWait = std::chrono::milliseconds(1750);
    /// No adapter is evicted while this many loads are in progress here: the store runs two at
    /// once.
    std::size_t maxLoadsForEviction = 2;
    /// A request that has waited this long for a slot stops new requests of one resident adapter.
    core::Duration maxSlotWait = std::chrono::seconds(1);
    /// The least time between two such stops, so that an overload does not empty adapters in use.
    core::Duration minSlotDrainInterval = std::chrono::seconds(10);
};

/// The limits for a pool whose weight between load stalls (1) and batch efficiency (0) is given:
/// a pool that favours short stalls refuses sooner. Thread safety: any thread.
SchedulerLimits schedulerLimitsFor(double stallWeight);

/// Ask the store's load budget for a load, then order it from the endpoint.
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
/// The request was not run and will not be run here.
struct RefuseRequest
{
    core::RequestId request;
    std::string reason;
    core::Duration retryAfter;
};
using SchedulerCommand = std::variant<LoadAdapter, EvictAdapter, DispatchRequest, RefuseRequest>;
using SchedulerCommands = std::vector<SchedulerCommand>;

/// Decides the adapter slots of one endpoint: which adapter to load, which to evict, and when each
/// request is dispatched. It owns the use counts; an adapter with a running request is never
/// evicted. Every event returns the commands to carry out, in order. Thread safety: one thread at a
/// time. It never reads a clock.
class EndpointScheduler
{
public:
    explicit EndpointScheduler(SchedulerLimits limits);

    SchedulerCommands submit(const core::RequestId &request, const core::AdapterVersion &adapter,
                             core::TimePoint deadline, core::TimePoint now);
    /// The request ended at the endpoint, whatever its outcome.
    SchedulerCommands finished(const core::RequestId &request, core::TimePoint now);
    /// The connection of a running request was closed before its answer was whole. The endpoint may
    /// still run it, so its adapter is not evicted until unpinned().
    SchedulerCommands aborted(const core::RequestId &request, core::TimePoint now);
    /// The caller of a request that may still be queued has gone.
    SchedulerCommands cancelled(const core::RequestId &request, core::TimePoint now);
    SchedulerCommands loaded(const core::AdapterVersion &adapter, core::TimePoint now);
    SchedulerCommands loadFailed(const core::AdapterVersion &adapter, core::TimePoint now);
    SchedulerCommands evicted(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The load was not ordered, because no request waits for it any more.
    SchedulerCommands loadWithdrawn(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The endpoint refused the eviction; the adapter is still resident.
    SchedulerCommands evictionFailed(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The eviction may take effect at any later time; it is ordered again until it is answered.
    SchedulerCommands evictionUnanswered(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The endpoint answered that it does not hold the adapter.
    SchedulerCommands adapterMissing(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The endpoint was met with these adapters: after a take-over or a restart. Adapters with a
    /// running request of another daemon are given with `pinned` and not evicted until unpinned.
    /// Orders that are not answered yet keep their slots.
    SchedulerCommands syncResidentAdapters(const std::vector<core::AdapterVersion> &resident,
                                           const std::vector<core::AdapterVersion> &pinned,
                                           core::TimePoint now);
    SchedulerCommands unpinned(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The load budget told how long a further load would wait for its grant.
    void updateGrantWait(core::Duration wait, core::TimePoint now);
    /// Refuses requests whose deadline has passed and retries failed loads.
    SchedulerCommands tick(core::TimePoint now);
    /// Refuses all queued and all further requests; running ones go on. Used by a planned stop and
    /// for a leaving endpoint.
    SchedulerCommands drain(core::TimePoint now);
    /// Takes new requests again after drain().
    void resume() { m_isDraining = false; }

    bool isResident(const core::AdapterVersion &adapter) const;
    /// Whether a queued request needs the adapter; to be asked when a load was granted.
    bool hasQueuedRequest(const core::AdapterVersion &adapter) const;
    std::size_t useCount(const core::AdapterVersion &adapter) const;
    std::size_t runningCount() const { return m_running.size(); }
    std::size_t queuedCount() const { return m_queued.size(); }
    std::vector<core::AdapterVersion> residentAdapters() const;
    /// The value of the adapter that the next load would displace; zero while a slot is empty.
    /// Owners publish it for PreferredEndpointSelector. Unit: requests per second.
    double evictionCost(core::TimePoint now) const;

private:
    enum class SlotState { Loading, Resident, Evicting };
    struct Slot
    {
        SlotState state = SlotState::Loading;
        bool isPinned = false;
        /// Takes no new request, because another adapter waits too long.
        bool isDraining = false;
        core::TimePoint lastUsed {};
        core::TimePoint wantedAt {}; ///< When the first request for the load was queued.
        /// When an eviction without an answer is ordered again.
        std::optional<core::TimePoint> evictAgainAt = std::nullopt;
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
    void repeatEvictions(core::TimePoint now, SchedulerCommands &commands);
    bool evictOne(core::TimePoint now, SchedulerCommands &commands);
    Slot *slotIn(SlotState state, const core::AdapterVersion &adapter);
    void resumeSlots();
    void drainOne(const core::AdapterVersion &waiter, core::TimePoint now);
    core::Duration predictedWait(core::TimePoint now) const;
    core::Duration acceptedWait(const core::AdapterVersion &adapter, core::TimePoint now) const;
    void refuseWaiters(const core::AdapterVersion &adapter, core::Duration retryAfter,
                       SchedulerCommands &commands);

    SchedulerLimits m_limits;
    std::map<core::AdapterVersion, Slot> m_slots;
    std::vector<Queued> m_queued; ///< Ordered by deadline.
    std::unordered_map<core::RequestId, core::AdapterVersion> m_running;
    /// Running requests by adapter. Kept apart from the slots, which a restart of the endpoint
    /// replaces while requests that it cut are not settled yet.
    std::map<core::AdapterVersion, std::size_t> m_uses;
    std::map<core::AdapterVersion, Backoff> m_backoffs;
    /// After a refused eviction, the next one waits. Without a valid lease
    /// each would be refused at once, and ordered again without end.
    core::TimePoint m_evictNotBefore;
    bool m_isDraining = false;
    AdapterRates m_rates;
    LoadWaitEstimator m_loadWait;
    LoadWaitEstimator m_grantWait;
    core::TimePoint m_slotStoppedAt;
};

} // namespace jackdawlead::decisions
