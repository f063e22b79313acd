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

// Guards against one load for each waiting request.
Test(endpointscheduler, oneLoadServesAllWaiters)
{
    EndpointScheduler scheduler({.slots = 1});
    cr_assert_eq(countOf<LoadAdapter>(submit(scheduler, "r1", "a")), 1);
    cr_assert_eq(countOf<LoadAdapter>(submit(scheduler, "r2", "a")), 0);
    cr_assert_eq(countOf<DispatchRequest>(scheduler.loaded(adapter("a"), start)), 2);
}

// Guards against evicting an adapter that serves a request.
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

// Guards against holding back the final answer of a request whose deadline has passed.
Test(endpointscheduler, expiredRequestIsRefusedWithRetryAfter)
{
    EndpointScheduler scheduler({.slots = 1});
    submit(scheduler, "r1", "a");
    const auto commands = scheduler.tick(start + std::chrono::seconds(11));
    cr_assert_eq(countOf<RefuseRequest>(commands), 1);
    cr_assert(std::get<RefuseRequest>(commands.front()).retryAfter.count() > 0);
}

// Guards against waiters that are never told that their adapter cannot be loaded.
Test(endpointscheduler, failedLoadRefusesItsWaiters)
{
    EndpointScheduler scheduler({.slots = 1});
    submit(scheduler, "r1", "a");
    cr_assert_eq(countOf<RefuseRequest>(scheduler.loadFailed(adapter("a"), start)), 1);
    cr_assert_eq(countOf<RefuseRequest>(submit(scheduler, "r2", "a")), 1);
}

// Guards against an eviction in use after a restart: the end of a request that the restart cut must
// not count as the end of a request that was dispatched after it.
Test(endpointscheduler, useCountSurvivesRestart)
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

// Guards against a dispatch to an adapter whose eviction is still in progress when the endpoint's
// list is read again.
Test(endpointscheduler, resetKeepsEvictionInProgress)
{
    EndpointScheduler scheduler({.slots = 1});
    scheduler.syncResidentAdapters({adapter("a")}, {}, start);
    cr_assert_eq(countOf<EvictAdapter>(submit(scheduler, "r1", "b")), 1);
    scheduler.syncResidentAdapters({adapter("a")}, {}, start);
    cr_assert_eq(countOf<DispatchRequest>(submit(scheduler, "r2", "a")), 0);
}

// Guards against a dispatch to an adapter whose eviction was not answered and may come later.
Test(endpointscheduler, unansweredEvictionIsOrderedAgain)
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

// Guards against evicting an adapter while the endpoint still runs a request that was cut.
Test(endpointscheduler, cutRequestPinsItsAdapter)
{
    EndpointScheduler scheduler({.slots = 1});
    submit(scheduler, "r1", "a");
    scheduler.loaded(adapter("a"), start);
    scheduler.aborted(core::RequestId("r1"), start);
    cr_assert_eq(countOf<EvictAdapter>(submit(scheduler, "r2", "b")), 0);
    cr_assert_eq(countOf<EvictAdapter>(scheduler.unpinned(adapter("a"), start)), 1);
}

// Guards against dispatching for ever to an adapter that the endpoint has lost.
Test(endpointscheduler, missingAdapterIsLoadedAgain)
{
    EndpointScheduler scheduler({.slots = 1});
    scheduler.syncResidentAdapters({adapter("a")}, {}, start);
    scheduler.adapterMissing(adapter("a"), start);
    cr_assert_eq(countOf<LoadAdapter>(submit(scheduler, "r1", "a")), 1);
}

// Guards against new work for a leaving endpoint, and a refusal without a time to come back.
Test(endpointscheduler, drainedEndpointTakesNoWork)
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

// Guards against orders without end while the lease is not valid and each is refused at once.
Test(endpointscheduler, refusedEvictionIsNotOrderedAgainAtOnce)
{
    EndpointScheduler scheduler({.slots = 1});
    scheduler.syncResidentAdapters({adapter("a")}, {}, start);
    submit(scheduler, "r1", "b");
    cr_assert_eq(countOf<EvictAdapter>(scheduler.evictionFailed(adapter("a"), start)), 0);
    cr_assert_eq(countOf<EvictAdapter>(scheduler.tick(start + std::chrono::seconds(1))), 1);
}

// Guards against a slot that stays closed after the request it was emptied for has gone.
Test(endpointscheduler, slotTakesRequestsAgainWhenItsWaiterHasGone)
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

// Guards against a refusal that does not say when to come back.
Test(endpointscheduler, lateRequestIsRefusedWithRetryAfter)
{
    EndpointScheduler scheduler({.slots = 1});
    const auto commands = scheduler.submit(core::RequestId("r1"), adapter("a"), start,
                                           start + std::chrono::milliseconds(1));
    cr_assert_eq(countOf<RefuseRequest>(commands), 1);
    cr_assert(std::get<RefuseRequest>(commands.front()).retryAfter.count() > 0);
}

// Guards against a slot that is lost to an adapter whose load was answered too late.
Test(endpointscheduler, resetFindsLateLoadAndKeepsLoadInProgress)
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

// Guards against queueing a request whose adapter cannot arrive before its deadline.
Test(endpointscheduler, longLoadWaitRefusesAtOnceWithThatWait)
{
    EndpointScheduler scheduler({.slots = 1});
    scheduler.updateGrantWait(std::chrono::seconds(20), start);
    const auto commands = submit(scheduler, "r1", "a");
    cr_assert_eq(countOf<RefuseRequest>(commands), 1);
    cr_assert(std::get<RefuseRequest>(commands.front()).retryAfter == std::chrono::seconds(20));
    cr_assert_eq(scheduler.queuedCount(), 0);
}

// Guards against an adapter in steady use that starves the waiters for every other adapter.
Test(endpointscheduler, steadyUseDoesNotStarveWaiters)
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

// Guards against a request that waits for a slot that never becomes free until its deadline.
Test(endpointscheduler, waiterWithoutSlotIsRefusedBeforeItsDeadline)
{
    EndpointScheduler scheduler({.slots = 1});
    submit(scheduler, "r1", "a");
    scheduler.loaded(adapter("a"), start);
    submit(scheduler, "r2", "b");
    const auto commands = scheduler.tick(start + std::chrono::seconds(5));
    cr_assert_eq(countOf<RefuseRequest>(commands), 1);
    cr_assert(std::get<RefuseRequest>(commands.front()).request == core::RequestId("r2"));
}

// Guards against a slot that stays taken by a load that was never ordered.
Test(endpointscheduler, withdrawnLoadFreesItsSlot)
{
    EndpointScheduler scheduler({.slots = 1});
    submit(scheduler, "r1", "a");
    scheduler.cancelled(core::RequestId("r1"), start);
    cr_assert_not(scheduler.hasQueuedRequest(adapter("a")));
    scheduler.loadWithdrawn(adapter("a"), start);
    cr_assert_eq(countOf<LoadAdapter>(submit(scheduler, "r2", "b")), 1);
}

// Guards against loads for the same adapter on a new endpoint for each request.
Test(endpointscheduler, movedAdapterKeepsItsHome)
{
    PreferredEndpointSelector advisor;
    const core::EndpointId first("e1");
    const core::EndpointId second("e2");
    cr_assert(advisor.selectPreferred(adapter("a"), {{first, 2}, {second, 1}}, false, start)
              == second);
    cr_assert(advisor.selectPreferred(adapter("a"), {{first, 1}, {second, 3}}, false, start)
              == second);
    cr_assert(advisor.selectPreferred(adapter("b"), {{first, 2}, {second, 1}}, true, start)
              == first);
    cr_assert(advisor.selectPreferred(adapter("a"), {{first, 1}}, false, start) == first);
}

// Guards against a resident adapter that is evicted for loads which a broken store cannot do.
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
Test(endpointscheduler, withoutWaitLimitOnlyTheDeadlineBoundsTheWait)
{
    EndpointScheduler scheduler({.slots = 1, .maxLoadWait = std::nullopt});
    scheduler.updateGrantWait(std::chrono::seconds(9), start);
    cr_assert_eq(countOf<RefuseRequest>(submit(scheduler, "r1", "a")), 0);
    scheduler.updateGrantWait(std::chrono::seconds(11), start);
    cr_assert_eq(countOf<RefuseRequest>(submit(scheduler, "r2", "b")), 1);
}
