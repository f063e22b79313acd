#include "decisions/endpointscheduler.h"
#include "decisions/preferredendpointselector.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

constexpr core::TimePoint start {std::chrono::seconds(100)};

core::AdapterVersion adapter(const std::string &name)
{
    return {core::AdapterId(name), "1"};
}

SchedulerCommands submit(EndpointScheduler &scheduler, const std::string &request,
                         const std::string &name)
{
    return scheduler.submit(core::RequestId(request), adapter(name),
                            start + std::chrono::seconds(10), start);
}

template <typename Command> std::size_t countOf(const SchedulerCommands &commands)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        commands, [](const auto &command) { return std::holds_alternative<Command>(command); }));
}

} // namespace

// Guards against a separate load for each queued request.
Test(endpointscheduler, oneLoadServesAllQueuedRequests)
{
    EndpointScheduler scheduler({.slots = 1});
    cr_assert_eq(countOf<LoadAdapter>(submit(scheduler, "r1", "a")), 1);
    cr_assert_eq(countOf<LoadAdapter>(submit(scheduler, "r2", "a")), 0);
    cr_assert_eq(countOf<DispatchRequest>(scheduler.loaded(adapter("a"), start)), 2);
}

// Guards against evicting an adapter while a request uses it.
Test(endpointscheduler, adapterInUseIsNotEvicted)
{
    EndpointScheduler scheduler({.slots = 1});
    submit(scheduler, "r1", "a");
    scheduler.loaded(adapter("a"), start);
    cr_assert_eq(countOf<EvictAdapter>(submit(scheduler, "r2", "b")), 0);
    const auto commands = scheduler.finished(core::RequestId("r1"), start);
    cr_assert_eq(countOf<EvictAdapter>(commands), 1);
    cr_assert_eq(countOf<LoadAdapter>(scheduler.evicted(adapter("a"), start)), 1);
}

// Guards against evicting an adapter that a request of the previous owner still uses.
Test(endpointscheduler, pinnedAdapterIsNotEvicted)
{
    EndpointScheduler scheduler({.slots = 1});
    scheduler.syncResidentAdapters({adapter("a")}, {adapter("a")}, start);
    cr_assert_eq(countOf<EvictAdapter>(submit(scheduler, "r1", "b")), 0);
    cr_assert_eq(countOf<EvictAdapter>(scheduler.unpinned(adapter("a"), start)), 1);
}

// Guards against a request that gets no response after its deadline has passed.
Test(endpointscheduler, expiredRequestIsRefusedWithRetryAfter)
{
    EndpointScheduler scheduler({.slots = 1});
    submit(scheduler, "r1", "a");
    const auto commands = scheduler.tick(start + std::chrono::seconds(11));
    cr_assert_eq(countOf<RefuseRequest>(commands), 1);
    cr_assert(std::get<RefuseRequest>(commands.front()).retryAfter.count() > 0);
}

// Guards against queued requests that get no response when their adapter cannot be loaded.
Test(endpointscheduler, failedLoadRefusesQueuedRequests)
{
    EndpointScheduler scheduler({.slots = 1});
    submit(scheduler, "r1", "a");
    cr_assert_eq(countOf<RefuseRequest>(scheduler.loadFailed(adapter("a"), start)), 1);
    cr_assert_eq(countOf<RefuseRequest>(submit(scheduler, "r2", "a")), 1);
}

// Guards against evicting an adapter in use after a restart: the end of a request that the restart
// aborted must not count as the end of a request that was dispatched after it.
Test(endpointscheduler, useCountSurvivesEndpointRestart)
{
    EndpointScheduler scheduler({.slots = 1});
    submit(scheduler, "r1", "a");
    scheduler.loaded(adapter("a"), start);
    scheduler.syncResidentAdapters({}, {}, start);
    submit(scheduler, "r2", "a");
    scheduler.loaded(adapter("a"), start);
    scheduler.finished(core::RequestId("r1"), start);
    cr_assert_eq(scheduler.useCount(adapter("a")), 1);
    cr_assert_eq(countOf<EvictAdapter>(submit(scheduler, "r3", "b")), 0);
}

// Guards against a dispatch to an adapter with an eviction still in progress when the endpoint's
// list is read again.
Test(endpointscheduler, syncKeepsEvictionInProgress)
{
    EndpointScheduler scheduler({.slots = 1});
    scheduler.syncResidentAdapters({adapter("a")}, {}, start);
    cr_assert_eq(countOf<EvictAdapter>(submit(scheduler, "r1", "b")), 1);
    scheduler.syncResidentAdapters({adapter("a")}, {}, start);
    cr_assert_eq(countOf<DispatchRequest>(submit(scheduler, "r2", "a")), 0);
}

// Guards against a dispatch to an adapter after an unanswered eviction that may still take effect.
Test(endpointscheduler, unansweredEvictionIsRetried)
{
    EndpointScheduler scheduler({.slots = 1});
    scheduler.syncResidentAdapters({adapter("a")}, {}, start);
    submit(scheduler, "r1", "b");
    scheduler.evictionUnanswered(adapter("a"), start);
    cr_assert_eq(countOf<DispatchRequest>(submit(scheduler, "r2", "a")), 0);
    const auto commands = scheduler.tick(start + std::chrono::seconds(1));
    cr_assert_eq(countOf<EvictAdapter>(commands), 1);
    cr_assert_eq(countOf<LoadAdapter>(scheduler.evicted(adapter("a"), start)), 1);
}

// Guards against evicting an adapter while the endpoint still runs an aborted request.
Test(endpointscheduler, abortedRequestPinsItsAdapter)
{
    EndpointScheduler scheduler({.slots = 1});
    submit(scheduler, "r1", "a");
    scheduler.loaded(adapter("a"), start);
    scheduler.aborted(core::RequestId("r1"), start);
    cr_assert_eq(countOf<EvictAdapter>(submit(scheduler, "r2", "b")), 0);
    cr_assert_eq(countOf<EvictAdapter>(scheduler.unpinned(adapter("a"), start)), 1);
}

// Guards against dispatching repeatedly to an adapter that the endpoint no longer holds.
Test(endpointscheduler, missingAdapterIsReloaded)
{
    EndpointScheduler scheduler({.slots = 1});
    scheduler.syncResidentAdapters({adapter("a")}, {}, start);
    scheduler.adapterMissing(adapter("a"), start);
    cr_assert_eq(countOf<LoadAdapter>(submit(scheduler, "r1", "a")), 1);
}

// Guards against dispatches to a draining endpoint, and against a refusal without a retry delay.
Test(endpointscheduler, drainingEndpointRefusesRequests)
{
    EndpointScheduler scheduler({.slots = 1});
    submit(scheduler, "r1", "a");
    const auto drained = scheduler.drain(start);
    cr_assert_eq(countOf<RefuseRequest>(drained), 1);
    cr_assert(std::get<RefuseRequest>(drained.front()).retryAfter.count() > 0);
    cr_assert_eq(countOf<RefuseRequest>(submit(scheduler, "r2", "a")), 1);
    cr_assert_eq(countOf<DispatchRequest>(scheduler.loaded(adapter("a"), start)), 0);
    scheduler.resume();
    cr_assert_eq(countOf<DispatchRequest>(submit(scheduler, "r3", "a")), 1);
}

// Guards against a tight loop of eviction orders while each is refused because of an invalid lease.
Test(endpointscheduler, refusedEvictionIsRetriedAfterDelay)
{
    EndpointScheduler scheduler({.slots = 1});
    scheduler.syncResidentAdapters({adapter("a")}, {}, start);
    submit(scheduler, "r1", "b");
    cr_assert_eq(countOf<EvictAdapter>(scheduler.evictionFailed(adapter("a"), start)), 0);
    cr_assert_eq(countOf<EvictAdapter>(scheduler.tick(start + std::chrono::seconds(1))), 1);
}

// Guards against a slot that stays draining after the request that needed it was cancelled.
Test(endpointscheduler, slotDrainEndsWhenWaitingRequestIsCancelled)
{
    const SchedulerLimits limits {.slots = 1};
    EndpointScheduler scheduler(limits);
    submit(scheduler, "r1", "a");
    scheduler.loaded(adapter("a"), start);
    submit(scheduler, "r2", "b");
    const core::TimePoint later = start + limits.maxSlotWait;
    scheduler.tick(later);
    scheduler.cancelled(core::RequestId("r2"), later);
    const auto commands = scheduler.submit(core::RequestId("r3"), adapter("a"),
                                           later + std::chrono::seconds(10), later);
    cr_assert_eq(countOf<DispatchRequest>(commands), 1);
}

// Guards against a refusal without a retry delay.
Test(endpointscheduler, requestAfterDeadlineIsRefusedWithRetryAfter)
{
    EndpointScheduler scheduler({.slots = 1});
    const auto commands = scheduler.submit(core::RequestId("r1"), adapter("a"), start,
                                           start + std::chrono::milliseconds(1));
    cr_assert_eq(countOf<RefuseRequest>(commands), 1);
    cr_assert(std::get<RefuseRequest>(commands.front()).retryAfter.count() > 0);
}

// Guards against a slot that stays occupied unnoticed by an adapter after a load that ended too
// late.
Test(endpointscheduler, syncAddsLateLoadAndKeepsLoadInProgress)
{
    EndpointScheduler scheduler({.slots = 2});
    submit(scheduler, "r1", "a");
    scheduler.loadFailed(adapter("a"), start);
    submit(scheduler, "r2", "b");
    scheduler.syncResidentAdapters({adapter("a")}, {}, start);
    cr_assert(scheduler.isResident(adapter("a")));
    cr_assert_eq(countOf<LoadAdapter>(submit(scheduler, "r3", "b")), 0);
    cr_assert_eq(countOf<EvictAdapter>(submit(scheduler, "r4", "c")), 1);
}

// Guards against queueing a request when its adapter cannot be loaded before the deadline.
Test(endpointscheduler, longGrantWaitRefusesRequestWithRetryAfter)
{
    EndpointScheduler scheduler({.slots = 1});
    scheduler.updateGrantWait(std::chrono::seconds(20), start);
    const auto commands = submit(scheduler, "r1", "a");
    cr_assert_eq(countOf<RefuseRequest>(commands), 1);
    cr_assert(std::get<RefuseRequest>(commands.front()).retryAfter == std::chrono::seconds(20));
    cr_assert_eq(scheduler.queuedCount(), 0);
}

// Guards against an adapter in steady use that starves the requests for every other adapter.
Test(endpointscheduler, steadyUseDoesNotStarveQueuedRequests)
{
    EndpointScheduler scheduler({.slots = 1});
    submit(scheduler, "r0", "a");
    scheduler.loaded(adapter("a"), start);
    submit(scheduler, "waiter", "b");
    core::TimePoint now = start;
    bool isEvicted = false;
    // A new request for the resident adapter arrives before each one ends.
    for (int index = 1; index < 10 && !isEvicted; ++index) {
        now += std::chrono::milliseconds(400);
        scheduler.tick(now);
        scheduler.submit(core::RequestId("r" + std::to_string(index)), adapter("a"),
                         now + std::chrono::seconds(10), now);
        const auto commands
            = scheduler.finished(core::RequestId("r" + std::to_string(index - 1)), now);
        isEvicted = countOf<EvictAdapter>(commands) == 1;
        cr_assert(!isEvicted || scheduler.useCount(adapter("a")) == 0);
    }
    cr_assert(isEvicted);
    cr_assert_eq(countOf<LoadAdapter>(scheduler.evicted(adapter("a"), now)), 1);
}

// Guards against a request that waits until its deadline for a slot that never becomes free.
Test(endpointscheduler, queuedRequestWithoutSlotIsRefusedBeforeDeadline)
{
    EndpointScheduler scheduler({.slots = 1});
    submit(scheduler, "r1", "a");
    scheduler.loaded(adapter("a"), start);
    submit(scheduler, "r2", "b");
    const auto commands = scheduler.tick(start + std::chrono::seconds(5));
    cr_assert_eq(countOf<RefuseRequest>(commands), 1);
    cr_assert(std::get<RefuseRequest>(commands.front()).request == core::RequestId("r2"));
}

// Guards against a slot that stays occupied by a load that was never ordered.
Test(endpointscheduler, withdrawnLoadFreesSlot)
{
    EndpointScheduler scheduler({.slots = 1});
    submit(scheduler, "r1", "a");
    scheduler.cancelled(core::RequestId("r1"), start);
    cr_assert_not(scheduler.hasQueuedRequest(adapter("a")));
    scheduler.loadWithdrawn(adapter("a"), start);
    cr_assert_eq(countOf<LoadAdapter>(submit(scheduler, "r2", "b")), 1);
}

// Guards against loading the same adapter on another endpoint for each request.
Test(endpointscheduler, movedAdapterKeepsPreferredEndpoint)
{
    PreferredEndpointSelector selector;
    const core::EndpointId first("e1");
    const core::EndpointId second("e2");
    cr_assert(selector.selectPreferred(adapter("a"), {{first, 2}, {second, 1}}, false, start)
              == second);
    cr_assert(selector.selectPreferred(adapter("a"), {{first, 1}, {second, 3}}, false, start)
              == second);
    cr_assert(selector.selectPreferred(adapter("b"), {{first, 2}, {second, 1}}, true, start)
              == first);
    cr_assert(selector.selectPreferred(adapter("a"), {{first, 1}}, false, start) == first);
}

// Guards against evicting a resident adapter for loads that fail because of the store.
Test(endpointscheduler, failingLoadsDoNotEvictResidentAdapters)
{
    EndpointScheduler scheduler({.slots = 3});
    scheduler.syncResidentAdapters({adapter("warm")}, {}, start);
    std::size_t evictions = 0;
    for (const char *name : {"a", "b", "c", "d"})
        evictions += countOf<EvictAdapter>(submit(scheduler, name, name));
    for (const char *name : {"a", "b", "c", "d"})
        evictions += countOf<EvictAdapter>(scheduler.loadFailed(adapter(name), start));
    cr_assert_eq(evictions, 0);
    cr_assert(scheduler.isResident(adapter("warm")));
}

// Guards against refusing a burst that can be served before its deadlines.
Test(endpointscheduler, withoutWaitLimitOnlyDeadlineBoundsWait)
{
    EndpointScheduler scheduler({.slots = 1, .maxLoadWait = std::nullopt});
    scheduler.updateGrantWait(std::chrono::seconds(9), start);
    cr_assert_eq(countOf<RefuseRequest>(submit(scheduler, "r1", "a")), 0);
    scheduler.updateGrantWait(std::chrono::seconds(11), start);
    cr_assert_eq(countOf<RefuseRequest>(submit(scheduler, "r2", "b")), 1);
}
