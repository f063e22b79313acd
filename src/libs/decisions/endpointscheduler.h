#pragma once

#include "core/ids.h"
#include "core/time.h"

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
};

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
    SchedulerCommands cut(const core::RequestId &request, core::TimePoint now);
    /// The caller of a request that may still be queued has gone.
    SchedulerCommands cancelled(const core::RequestId &request, core::TimePoint now);
    SchedulerCommands loaded(const core::AdapterVersion &adapter, core::TimePoint now);
    SchedulerCommands loadFailed(const core::AdapterVersion &adapter, core::TimePoint now);
    SchedulerCommands evicted(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The endpoint refused the eviction; the adapter is still resident.
    SchedulerCommands evictionFailed(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The eviction may take effect at any later time; it is ordered again until it is answered.
    SchedulerCommands evictionUnanswered(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The endpoint answered that it does not hold the adapter.
    SchedulerCommands missing(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The endpoint was met with these adapters: after a take-over or a restart. Adapters with a
    /// running request of another daemon are given with `pinned` and not evicted until unpinned.
    /// Orders that are not answered yet keep their slots.
    SchedulerCommands reset(const std::vector<core::AdapterVersion> &resident,
                            const std::vector<core::AdapterVersion> &pinned, core::TimePoint now);
    SchedulerCommands unpinned(const core::AdapterVersion &adapter, core::TimePoint now);
    /// Refuses requests whose deadline has passed and retries failed loads.
    SchedulerCommands tick(core::TimePoint now);
    /// Refuses all queued and all further requests; running ones go on. Used by a planned stop and
    /// for a leaving endpoint.
    SchedulerCommands drain(core::TimePoint now);
    /// Takes new requests again after drain().
    void resume() { m_isDraining = false; }

    bool isResident(const core::AdapterVersion &adapter) const;
    std::size_t useCount(const core::AdapterVersion &adapter) const;
    std::size_t runningCount() const { return m_running.size(); }
    std::size_t queuedCount() const { return m_queued.size(); }
    std::vector<core::AdapterVersion> residentAdapters() const;

private:
    enum class SlotState { Loading, Resident, Evicting };
    struct Slot
    {
        SlotState state = SlotState::Loading;
        bool isPinned = false;
        core::TimePoint lastUsed;
        /// When an eviction without an answer is ordered again.
        std::optional<core::TimePoint> evictAgainAt = std::nullopt;
    };
    struct Queued
    {
        core::RequestId request;
        core::AdapterVersion adapter;
        core::TimePoint deadline;
    };
    struct Backoff
    {
        core::Duration delay {};
        core::TimePoint until;
    };

    SchedulerCommands schedule(core::TimePoint now);
    void refuseExpired(core::TimePoint now, SchedulerCommands &commands);
    void dispatchReady(core::TimePoint now, SchedulerCommands &commands);
    void startLoads(core::TimePoint now, SchedulerCommands &commands);
    void repeatEvictions(core::TimePoint now, SchedulerCommands &commands);
    bool evictOne(core::TimePoint now, SchedulerCommands &commands);
    Slot *slotIn(SlotState state, const core::AdapterVersion &adapter);
    bool isWanted(const core::AdapterVersion &adapter) const;
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
    /// After a refused eviction, the next one waits. Without a valid lease each would be refused at
    /// once, and ordered again without end.
    core::TimePoint m_evictNotBefore;
    bool m_isDraining = false;
};

} // namespace jackdawlead::decisions
