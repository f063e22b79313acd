#include "fifoscheduler.h"

#include <algorithm>
#include <set>

namespace jackdawlead::bench {

using namespace decisions;

SchedulerCommands FifoScheduler::submit(const core::RequestId &request,
                                        const core::AdapterVersion &adapter,
                                        core::TimePoint deadline, core::TimePoint now)
{
    if (m_queue.size() >= m_limits.maxQueued)
        return {RefuseRequest {request, "queue of the endpoint is full", std::chrono::seconds(1)}};
    m_queue.push_back({request, adapter, deadline});
    return schedule(now);
}

SchedulerCommands FifoScheduler::finished(const core::RequestId &request, core::TimePoint now)
{
    const auto running = m_running.find(request);
    if (running == m_running.end())
        return {};
    if (const auto slot = m_slots.find(running->second); slot != m_slots.end()) {
        --slot->second.uses;
        slot->second.lastUsed = now;
    }
    m_running.erase(running);
    return schedule(now);
}

SchedulerCommands FifoScheduler::loaded(const core::AdapterVersion &adapter, core::TimePoint now)
{
    m_slots[adapter] = {.state = SlotState::Resident, .uses = 0, .lastUsed = now};
    return schedule(now);
}

SchedulerCommands FifoScheduler::evicted(const core::AdapterVersion &adapter, core::TimePoint now)
{
    m_slots.erase(adapter);
    return schedule(now);
}

SchedulerCommands FifoScheduler::restarted(core::TimePoint now)
{
    m_slots.clear();
    m_running.clear();
    return schedule(now);
}

SchedulerCommands FifoScheduler::tick(core::TimePoint now)
{
    return schedule(now);
}

bool FifoScheduler::holds(const core::AdapterVersion &adapter) const
{
    const auto slot = m_slots.find(adapter);
    return slot != m_slots.end() && slot->second.state != SlotState::Evicting;
}

SchedulerCommands FifoScheduler::schedule(core::TimePoint now)
{
    SchedulerCommands commands;
    std::erase_if(m_queue, [&](const QueuedRequest &queued) {
        if (queued.deadline <= now) {
            commands.emplace_back(RefuseRequest {queued.request, "deadline passed in the queue",
                                                 std::chrono::seconds(1)});
            return true;
        }
        const auto slot = m_slots.find(queued.adapter);
        if (m_running.size() >= m_limits.maxRunning || slot == m_slots.end()
            || slot->second.state != SlotState::Resident)
            return false;
        ++slot->second.uses;
        slot->second.lastUsed = now;
        m_running.emplace(queued.request, queued.adapter);
        commands.emplace_back(DispatchRequest {queued.request});
        return true;
    });
    std::set<core::AdapterVersion> consideredAdapters;
    auto pendingEvictions = std::ranges::count_if(
        m_slots, [](const auto &entry) { return entry.second.state == SlotState::Evicting; });
    for (const QueuedRequest &queued : m_queue) {
        if (m_slots.contains(queued.adapter) || !consideredAdapters.insert(queued.adapter).second)
            continue;
        if (m_slots.size() < m_limits.slots) {
            m_slots[queued.adapter] = {.lastUsed = now};
            commands.emplace_back(LoadAdapter {queued.adapter, queued.deadline});
        } else if (pendingEvictions > 0) {
            --pendingEvictions;
        } else if (!evictOne(commands)) {
            break;
        }
    }
    return commands;
}

bool FifoScheduler::hasQueuedRequest(const core::AdapterVersion &adapter) const
{
    return std::ranges::any_of(
        m_queue, [&adapter](const QueuedRequest &queued) { return queued.adapter == adapter; });
}

bool FifoScheduler::evictOne(SchedulerCommands &commands)
{
    auto victim = m_slots.end();
    for (auto slot = m_slots.begin(); slot != m_slots.end(); ++slot)
        if (slot->second.state == SlotState::Resident && slot->second.uses == 0
            && !hasQueuedRequest(slot->first)
            && (victim == m_slots.end() || slot->second.lastUsed < victim->second.lastUsed))
            victim = slot;
    if (victim == m_slots.end())
        return false;
    victim->second.state = SlotState::Evicting;
    commands.emplace_back(EvictAdapter {victim->first});
    return true;
}

} // namespace jackdawlead::bench
