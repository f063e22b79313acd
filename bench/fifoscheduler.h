#pragma once

#include "decisions/endpointscheduler.h"

#include <deque>
#include <map>
#include <vector>

namespace jackdawlead::bench {

/// The scheduler of the baselines: requests in order of arrival, a load for the first queued
/// request that misses its adapter, and eviction of the least recently used adapter. It has
/// the same event functions and commands as decisions::EndpointScheduler.
class FifoScheduler
{
public:
    explicit FifoScheduler(decisions::SchedulerLimits limits)
        : m_limits(limits)
    { }

    decisions::SchedulerCommands submit(const core::RequestId &request,
                                        const core::AdapterVersion &adapter,
                                        core::TimePoint deadline, core::TimePoint now);
    decisions::SchedulerCommands finished(const core::RequestId &request, core::TimePoint now);
    decisions::SchedulerCommands loaded(const core::AdapterVersion &adapter, core::TimePoint now);
    decisions::SchedulerCommands evicted(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The endpoint has restarted without adapters and requests.
    decisions::SchedulerCommands restarted(core::TimePoint now);
    decisions::SchedulerCommands tick(core::TimePoint now);
    /// Whether the adapter is resident or being loaded.
    bool holds(const core::AdapterVersion &adapter) const;

private:
    enum class SlotState { Loading, Resident, Evicting };
    struct Slot
    {
        SlotState state = SlotState::Loading;
        std::size_t uses = 0;
        core::TimePoint lastUsed;
    };
    struct QueuedRequest
    {
        core::RequestId request;
        core::AdapterVersion adapter;
        core::TimePoint deadline;
    };

    decisions::SchedulerCommands schedule(core::TimePoint now);
    bool evictOne(decisions::SchedulerCommands &commands);
    bool hasQueuedRequest(const core::AdapterVersion &adapter) const;

    decisions::SchedulerLimits m_limits;
    std::map<core::AdapterVersion, Slot> m_slots;
    std::deque<QueuedRequest> m_queue;
    std::map<core::RequestId, core::AdapterVersion> m_running;
};

} // namespace jackdawlead::bench
