#include "decisions/endpointscheduler.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace jackdawlead::decisions {

namespace {

constexpr core::Duration drainRetryAfter = std::chrono::seconds(1);
constexpr core::Duration evictionRetryDelay = std::chrono::seconds(1);
// Applies to a request that arrives after its deadline while no wait is predicted.
constexpr core::Duration minRetryAfter = std::chrono::milliseconds(100);
// Minimum ratio of request rates for a drain before minSlotDrainInterval has passed. A drain leaves
// the slot idle for the length of a request, which outweighs a small gain.
constexpr double minDrainGain = 1.5;
// Multiple of maxSlotWait after which a request is refused: the running requests of a drained
// adapter still have to end.
constexpr int maxSlotWaits = 3;

} // namespace

SchedulerLimits schedulerLimitsFor(double stallWeight)
{
    SchedulerLimits limits;
    limits.maxLoadWait
        = std::chrono::milliseconds(std::lround(2500 - 1500 * std::clamp(stallWeight, 0.0, 1.0)));
    return limits;
}

EndpointScheduler::EndpointScheduler(SchedulerLimits limits)
    : m_limits(limits)
{ }

SchedulerCommands EndpointScheduler::submit(const core::RequestId &request,
                                            const core::AdapterVersion &adapter,
                                            core::TimePoint deadline, core::TimePoint now)
{
    if (m_isDraining)
        return {RefuseRequest {request, "endpoint takes no new work", drainRetryAfter}};
    if (m_queued.size() >= m_limits.maxQueued)
        return {RefuseRequest {request, "queue of the endpoint is full", std::chrono::seconds(1)}};
    const auto backoff = m_backoffs.find(adapter);
    if (backoff != m_backoffs.end() && now < backoff->second.until && !m_slots.contains(adapter))
        return {RefuseRequest {request, "adapter failed to load", backoff->second.until - now}};
    m_rates.recordRequest(adapter, now);
    const core::Duration wait
        = m_slots.contains(adapter) ? core::Duration::zero() : predictedWait(now);
    if (wait > maxAcceptedWait(adapter, now) || now + wait > deadline)
        return {RefuseRequest {request, "load of the adapter would take too long",
                               std::max(wait, minRetryAfter)}};
    const auto position = std::ranges::upper_bound(m_queued, deadline, {}, &Queued::deadline);
    m_queued.insert(position, {request, adapter, deadline, now});
    return schedule(now);
}

SchedulerCommands EndpointScheduler::finished(const core::RequestId &request, core::TimePoint now)
{
    const auto running = m_running.find(request);
    if (running == m_running.end())
        return {};
    if (const auto slot = m_slots.find(running->second); slot != m_slots.end())
        slot->second.lastUsed = now;
    if (const auto uses = m_useCounts.find(running->second); --uses->second == 0)
        m_useCounts.erase(uses);
    m_running.erase(running);
    return schedule(now);
}

SchedulerCommands EndpointScheduler::aborted(const core::RequestId &request, core::TimePoint now)
{
    const auto running = m_running.find(request);
    if (running == m_running.end())
        return {};
    if (const auto slot = m_slots.find(running->second); slot != m_slots.end())
        slot->second.isPinned = true;
    return finished(request, now);
}

SchedulerCommands EndpointScheduler::cancelled(const core::RequestId &request, core::TimePoint now)
{
    std::erase_if(m_queued, [&](const Queued &queued) { return queued.request == request; });
    return schedule(now);
}

SchedulerCommands EndpointScheduler::loaded(const core::AdapterVersion &adapter,
                                            core::TimePoint now)
{
    Slot *slot = findSlot(SlotState::Loading, adapter);
    if (!slot)
        return {};
    if (slot->requestedAt != core::TimePoint())
        m_loadWait.addSample(now - slot->requestedAt, now);
    slot->state = SlotState::Resident;
    slot->lastUsed = now;
    m_backoffs.erase(adapter);
    return schedule(now);
}

SchedulerCommands EndpointScheduler::loadFailed(const core::AdapterVersion &adapter,
                                                core::TimePoint now)
{
    if (!findSlot(SlotState::Loading, adapter))
        return {};
    m_slots.erase(adapter);
    Backoff &backoff = m_backoffs[adapter];
    backoff.delay = backoff.delay.count() == 0
        ? m_limits.loadBackoff
        : std::min(backoff.delay * 2, m_limits.maxLoadBackoff);
    backoff.until = now + backoff.delay;
    SchedulerCommands commands;
    refuseQueued(adapter, backoff.delay, commands);
    for (SchedulerCommand &command : schedule(now))
        commands.push_back(std::move(command));
    return commands;
}

SchedulerCommands EndpointScheduler::loadWithdrawn(const core::AdapterVersion &adapter,
                                                   core::TimePoint now)
{
    const auto slot = m_slots.find(adapter);
    if (slot != m_slots.end() && slot->second.state == SlotState::Loading)
        m_slots.erase(slot);
    return schedule(now);
}

SchedulerCommands EndpointScheduler::evicted(const core::AdapterVersion &adapter,
                                             core::TimePoint now)
{
    if (!findSlot(SlotState::Evicting, adapter))
        return {};
    m_slots.erase(adapter);
    return schedule(now);
}

SchedulerCommands EndpointScheduler::evictionFailed(const core::AdapterVersion &adapter,
                                                    core::TimePoint now)
{
    Slot *slot = findSlot(SlotState::Evicting, adapter);
    if (!slot)
        return {};
    // An earlier order without a response can still take effect.
    if (slot->retryEvictionAt)
        return evictionUnanswered(adapter, now);
    slot->state = SlotState::Resident;
    slot->isDraining = false;
    // Counts as a use, so that the next eviction prefers another adapter.
    slot->lastUsed = now;
    m_evictNotBefore = now + evictionRetryDelay;
    return schedule(now);
}

SchedulerCommands EndpointScheduler::evictionUnanswered(const core::AdapterVersion &adapter,
                                                        core::TimePoint now)
{
    if (Slot *slot = findSlot(SlotState::Evicting, adapter))
        slot->retryEvictionAt = now + evictionRetryDelay;
    return schedule(now);
}

SchedulerCommands EndpointScheduler::adapterMissing(const core::AdapterVersion &adapter,
                                                    core::TimePoint now)
{
    if (findSlot(SlotState::Resident, adapter))
        m_slots.erase(adapter);
    return schedule(now);
}

SchedulerCommands
EndpointScheduler::syncResidentAdapters(const std::vector<core::AdapterVersion> &resident,
                                        const std::vector<core::AdapterVersion> &pinned,
                                        core::TimePoint now)
{
    std::erase_if(m_slots,
                  [](const auto &entry) { return entry.second.state == SlotState::Resident; });
    for (const core::AdapterVersion &adapter : resident)
        m_slots.try_emplace(adapter, Slot {.state = SlotState::Resident, .lastUsed = now});
    for (const core::AdapterVersion &adapter : pinned)
        if (const auto slot = m_slots.find(adapter); slot != m_slots.end())
            slot->second.isPinned = true;
    return schedule(now);
}

SchedulerCommands EndpointScheduler::unpinned(const core::AdapterVersion &adapter,
                                              core::TimePoint now)
{
    if (const auto slot = m_slots.find(adapter); slot != m_slots.end())
        slot->second.isPinned = false;
    return schedule(now);
}

void EndpointScheduler::updateGrantWait(core::Duration wait, core::TimePoint now)
{
    m_grantWait.setEstimate(wait, now);
}

SchedulerCommands EndpointScheduler::tick(core::TimePoint now)
{
    return schedule(now);
}

SchedulerCommands EndpointScheduler::drain(core::TimePoint)
{
    m_isDraining = true;
    SchedulerCommands commands;
    for (const Queued &queued : std::exchange(m_queued, {}))
        commands.emplace_back(
            RefuseRequest {queued.request, "endpoint takes no new work", drainRetryAfter});
    return commands;
}

bool EndpointScheduler::isResident(const core::AdapterVersion &adapter) const
{
    const auto slot = m_slots.find(adapter);
    return slot != m_slots.end() && slot->second.state == SlotState::Resident;
}

std::size_t EndpointScheduler::useCount(const core::AdapterVersion &adapter) const
{
    const auto uses = m_useCounts.find(adapter);
    return uses == m_useCounts.end() ? 0 : uses->second;
}

std::vector<core::AdapterVersion> EndpointScheduler::residentAdapters() const
{
    std::vector<core::AdapterVersion> adapters;
    for (const auto &[adapter, slot] : m_slots)
        if (slot.state == SlotState::Resident)
            adapters.push_back(adapter);
    return adapters;
}

SchedulerCommands EndpointScheduler::schedule(core::TimePoint now)
{
    SchedulerCommands commands;
    refuseExpired(now, commands);
    refuseWithoutSlot(now, commands);
    cancelSlotDrains();
    dispatchReady(now, commands);
    retryEvictions(now, commands);
    startLoads(now, commands);
    return commands;
}

void EndpointScheduler::refuseExpired(core::TimePoint now, SchedulerCommands &commands)
{
    const auto firstUnexpired = std::ranges::find_if(
        m_queued, [now](const Queued &queued) { return queued.deadline > now; });
    for (auto queued = m_queued.begin(); queued != firstUnexpired; ++queued)
        commands.emplace_back(RefuseRequest {queued->request, "deadline passed in the queue",
                                             std::chrono::seconds(1)});
    m_queued.erase(m_queued.begin(), firstUnexpired);
}

void EndpointScheduler::refuseWithoutSlot(core::TimePoint now, SchedulerCommands &commands)
{
    if (!m_limits.maxLoadWait)
        return;
    std::erase_if(m_queued, [&](const Queued &queued) {
        const core::Duration limit
            = std::max(maxAcceptedWait(queued.adapter, now), m_limits.maxSlotWait * maxSlotWaits);
        if (now - queued.queuedAt <= limit || m_slots.contains(queued.adapter))
            return false;
        commands.emplace_back(
            RefuseRequest {queued.request, "no slot became free in time", *m_limits.maxLoadWait});
        return true;
    });
}

void EndpointScheduler::dispatchReady(core::TimePoint now, SchedulerCommands &commands)
{
    std::erase_if(m_queued, [&](const Queued &queued) {
        if (m_running.size() >= m_limits.maxRunning || !isResident(queued.adapter))
            return false;
        Slot &slot = m_slots[queued.adapter];
        if (slot.isDraining)
            return false;
        ++m_useCounts[queued.adapter];
        slot.lastUsed = now;
        m_running.emplace(queued.request, queued.adapter);
        commands.emplace_back(DispatchRequest {queued.request});
        return true;
    });
}

void EndpointScheduler::startLoads(core::TimePoint now, SchedulerCommands &commands)
{
    std::set<core::AdapterVersion> seen;
    const auto evicting = std::ranges::count_if(
        m_slots, [](const auto &entry) { return entry.second.state == SlotState::Evicting; });
    std::ptrdiff_t pendingEvictions = evicting;
    for (const Queued &queued : m_queued) {
        if (m_slots.contains(queued.adapter) || !seen.insert(queued.adapter).second)
            continue;
        const auto backoff = m_backoffs.find(queued.adapter);
        if (backoff != m_backoffs.end() && now < backoff->second.until)
            continue;
        if (m_slots.size() < m_limits.slots) {
            m_slots[queued.adapter]
                = {.state = SlotState::Loading, .lastUsed = now, .requestedAt = queued.queuedAt};
            commands.emplace_back(LoadAdapter {queued.adapter, queued.deadline});
            continue;
        }
        // An eviction in progress frees a slot for the queued adapter with the earliest deadline.
        if (pendingEvictions > 0) {
            --pendingEvictions;
            continue;
        }
        // Evicting for a load that would have to wait or fail only causes another load later.
        if (loadsInProgress() >= m_limits.maxLoadsForEviction)
            return;
        if (!evictLeastValuable(now, commands)) {
            if (now >= queued.queuedAt + m_limits.maxSlotWait)
                drainSlotFor(queued.adapter, now);
            return;
        }
    }
}

std::size_t EndpointScheduler::loadsInProgress() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_slots, [](const auto &entry) { return entry.second.state == SlotState::Loading; }));
}

void EndpointScheduler::retryEvictions(core::TimePoint now, SchedulerCommands &commands)
{
    for (auto &[adapter, slot] : m_slots) {
        if (slot.state != SlotState::Evicting || !slot.retryEvictionAt
            || now < *slot.retryEvictionAt)
            continue;
        // No retry until this order ends; its outcome sets the time again.
        slot.retryEvictionAt = core::TimePoint::max();
        commands.emplace_back(EvictAdapter {adapter});
    }
}

EndpointScheduler::Slot *EndpointScheduler::findSlot(SlotState state,
                                                     const core::AdapterVersion &adapter)
{
    const auto slot = m_slots.find(adapter);
    return slot != m_slots.end() && slot->second.state == state ? &slot->second : nullptr;
}

bool EndpointScheduler::hasQueuedRequest(const core::AdapterVersion &adapter) const
{
    return std::ranges::any_of(
        m_queued, [&adapter](const Queued &queued) { return queued.adapter == adapter; });
}

bool EndpointScheduler::evictLeastValuable(core::TimePoint now, SchedulerCommands &commands)
{
    if (now < m_evictNotBefore)
        return false;
    auto victim = m_slots.end();
    double minValue = 0;
    for (auto slot = m_slots.begin(); slot != m_slots.end(); ++slot) {
        const Slot &candidate = slot->second;
        if (candidate.state != SlotState::Resident || candidate.isPinned)
            continue;
        if (m_useCounts.contains(slot->first))
            continue;
        if (!candidate.isDraining && hasQueuedRequest(slot->first))
            continue;
        const double value = candidate.isDraining ? -1 : m_rates.value(slot->first, now);
        if (victim == m_slots.end() || value < minValue
            || (value == minValue && candidate.lastUsed < victim->second.lastUsed)) {
            victim = slot;
            minValue = value;
        }
    }
    if (victim == m_slots.end())
        return false;
    victim->second.state = SlotState::Evicting;
    commands.emplace_back(EvictAdapter {victim->first});
    return true;
}

void EndpointScheduler::drainSlotFor(const core::AdapterVersion &waitingAdapter,
                                     core::TimePoint now)
{
    auto victim = m_slots.end();
    double minValue = 0;
    for (auto slot = m_slots.begin(); slot != m_slots.end(); ++slot) {
        if (slot->second.isDraining)
            return;
        if (slot->second.state != SlotState::Resident || slot->second.isPinned)
            continue;
        const double value = m_rates.value(slot->first, now);
        if (victim == m_slots.end() || value < minValue) {
            victim = slot;
            minValue = value;
        }
    }
    if (victim == m_slots.end())
        return;
    const bool isDue = m_lastSlotDrainAt == core::TimePoint()
        || now >= m_lastSlotDrainAt + m_limits.minSlotDrainInterval;
    if (!isDue && m_rates.value(waitingAdapter, now) <= minValue * minDrainGain)
        return;
    victim->second.isDraining = true;
    m_lastSlotDrainAt = now;
}

// The request for which a slot is drained can be refused or cancelled before the slot is free.
void EndpointScheduler::cancelSlotDrains()
{
    const bool isSlotNeeded = std::ranges::any_of(
        m_queued, [this](const Queued &queued) { return !m_slots.contains(queued.adapter); });
    if (isSlotNeeded)
        return;
    for (auto &[adapter, slot] : m_slots)
        slot.isDraining = false;
}

core::Duration EndpointScheduler::predictedWait(core::TimePoint now) const
{
    core::Duration wait = std::max(m_loadWait.estimate(now), m_grantWait.estimate(now));
    for (const Queued &queued : m_queued)
        if (!isResident(queued.adapter))
            wait = std::max(wait, now - queued.queuedAt);
    return wait;
}

core::Duration EndpointScheduler::maxAcceptedWait(const core::AdapterVersion &adapter,
                                                  core::TimePoint now) const
{
    if (!m_limits.maxLoadWait)
        return core::Duration::max();
    // While all slots are occupied, adapters with a lower request rate than the eviction victim
    // accept only a shorter wait.
    const double cost = evictionCost(now);
    const double relativeValue
        = cost > 0 ? std::clamp(m_rates.value(adapter, now) / cost, 0.1, 1.0) : 1.0;
    return std::chrono::duration_cast<core::Duration>(*m_limits.maxLoadWait * relativeValue
                                                      * relativeValue);
}

double EndpointScheduler::evictionCost(core::TimePoint now) const
{
    if (m_slots.size() < m_limits.slots)
        return 0;
    double minValue = std::numeric_limits<double>::max();
    for (const auto &[adapter, slot] : m_slots)
        minValue = std::min(minValue, m_rates.value(adapter, now));
    return minValue;
}

void EndpointScheduler::refuseQueued(const core::AdapterVersion &adapter, core::Duration retryAfter,
                                     SchedulerCommands &commands)
{
    std::erase_if(m_queued, [&](const Queued &queued) {
        if (queued.adapter != adapter)
            return false;
        commands.emplace_back(RefuseRequest {queued.request, "adapter failed to load", retryAfter});
        return true;
    });
}

} // namespace jackdawlead::decisions
