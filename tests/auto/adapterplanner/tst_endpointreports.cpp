#include "auto/adapterplanner/plannerfixture.h"

#include <criterion/criterion.h>

#include <set>

using namespace jackdawlead;
using namespace jackdawlead::decisions;
using namespace jackdawlead::tests;
using Fixture = PlannerFixture;
using std::chrono::milliseconds;

// Guards against a second order to an endpoint before the first is answered: the first one could be
// executed late, in addition to the second.
Test(adapterplanner, ordersAreSentOneAtATimeWithExpectedRevision)
{
    Fixture fixture;
    fixture.addEndpoint("e0", near, 22);
    fixture.now += std::chrono::seconds(2);
    for (int number = 0; number < 10; ++number)
        fixture.addRequests(keyOf(number), near, 2, fixture.now);
    const auto first = fixture.planner.plan(fixture.now);
    cr_assert_eq(first.size(), 1U);
    cr_assert_eq(first[0].orderRevision, 0U);
    cr_assert(fixture.planner.plan(fixture.now).empty());
    fixture.planner.recordOrderOutcome(first[0], OrderOutcome::Accepted, fixture.now);
    const auto second = fixture.planner.plan(fixture.now);
    cr_assert_eq(second.size(), 1U);
    cr_assert_eq(second[0].orderRevision, 1U);
}

// Guards against orders based on an assumed state after an order without a response: a report is
// requested first, and only when it cannot be older than the order.
Test(adapterplanner, unansweredOrderRequiresReport)
{
    Fixture fixture;
    fixture.addEndpoint("e0", near, 22);
    fixture.now += std::chrono::seconds(2);
    fixture.addRequests(keyOf(1), near, 4, fixture.now);
    const auto orders = fixture.planner.plan(fixture.now);
    fixture.planner.recordOrderOutcome(orders[0], OrderOutcome::Unknown, fixture.now);
    cr_assert(fixture.planner.plan(fixture.now).empty());
    cr_assert(fixture.planner.endpointsNeedingReport(fixture.now + milliseconds(100)).empty());
    fixture.now += std::chrono::seconds(1);
    cr_assert_eq(fixture.planner.endpointsNeedingReport(fixture.now).size(), 1U);
    fixture.report(core::EndpointId("e0"));
    cr_assert_eq(fixture.planner.plan(fixture.now).size(), 1U);
}

// Guards against the unload of an adapter in use: it waits for the running requests, and the
// endpoint rejects every other order meanwhile.
Test(adapterplanner, adapterInUseIsNotUnloaded)
{
    Fixture fixture;
    fixture.addEndpointHolding(keyOf(1));
    fixture.planner.setInUse({{core::EndpointId("e0"), {keyOf(1)}}});
    fixture.addRequests(keyOf(2), near, 9, fixture.now);
    cr_assert(fixture.planner.plan(fixture.now).empty());
    fixture.planner.setInUse({});
    const auto orders = fixture.planner.plan(fixture.now);
    cr_assert_eq(orders.size(), 1U);
    cr_assert_not(orders[0].isLoad);
}

// Guards against orders that an endpoint rejects because an unload still waits for running
// requests, and against an endpoint that gets no order any more after such an unload.
Test(adapterplanner, waitingUnloadBlocksOrdersUntilDone)
{
    Fixture fixture;
    fixture.addEndpointHolding(keyOf(1));
    fixture.addRequests(keyOf(2), near, 1, fixture.now);
    const auto unload = fixture.planner.plan(fixture.now);
    cr_assert_eq(unload.size(), 1U);
    fixture.planner.recordOrderOutcome(unload[0], OrderOutcome::Accepted, fixture.now);
    cr_assert(fixture.planner.plan(fixture.now).empty());
    fixture.now += milliseconds(400);
    cr_assert_eq(fixture.planner.endpointsNeedingReport(fixture.now).size(), 1U);
    fixture.report(core::EndpointId("e0"));
    const auto load = fixture.planner.plan(fixture.now);
    cr_assert_eq(load.size(), 1U);
    cr_assert(load[0].isLoad);
}

// Guards against an endpoint that gets no order any more because an unload was accepted and not
// executed.
Test(adapterplanner, unfinishedUnloadTimesOut)
{
    Fixture fixture;
    const core::EndpointId endpoint("e0");
    fixture.addEndpointHolding(keyOf(1));
    fixture.addRequests(keyOf(2), near, 1, fixture.now);
    fixture.planner.recordOrderOutcome(fixture.planner.plan(fixture.now).at(0),
                                       OrderOutcome::Accepted, fixture.now);
    const core::TimePoint end = fixture.now + std::chrono::seconds(10);
    for (; fixture.now < end; fixture.now += milliseconds(300)) {
        if (!fixture.planner.endpointsNeedingReport(fixture.now).empty())
            fixture.reportHolding(endpoint, keyOf(1));
    }
    cr_assert_eq(fixture.planner.plan(fixture.now).size(), 1U);
}

// Guards against the replacement of an adapter in use by its new version, which delays other orders
// to the endpoint until the running requests of the old version have ended.
Test(adapterplanner, versionInUseIsNotReplaced)
{
    Fixture fixture;
    fixture.addEndpoints(2, 22);
    fixture.addRequests(keyOf(1), near, 1, fixture.now);
    const auto first = fixture.planner.plan(fixture.now);
    fixture.applyOrders(first);
    fixture.now += std::chrono::seconds(1);
    fixture.planner.setInUse({{first[0].endpoint, {keyOf(1)}}});
    fixture.planner.recordAnnouncedVersion({model, core::AdapterId("a1"), 2});
    fixture.applyOrders(fixture.planner.plan(fixture.now));
    fixture.now += milliseconds(400);
    cr_assert(fixture.planner.plan(fixture.now).empty());
    fixture.planner.setInUse({});
    cr_assert_eq(fixture.planner.plan(fixture.now).size(), 1U);
}

// Pattern: consecutive orders to an endpoint while some of its contents are unconfirmed. Guards
// against an endpoint that gets no order until it has been idle for the maximum lag of a report:
// eight of nine endpoints were held back that way while requests for sixty adapters waited.
Test(adapterplanner, unconfirmedAdapterDoesNotBlockOrders)
{
    Fixture fixture;
    fixture.addEndpoint("e0", near, 3);
    fixture.now += std::chrono::seconds(2);
    fixture.addRequests(keyOf(1), near, 1, fixture.now);
    fixture.run(milliseconds(40));
    fixture.now += std::chrono::seconds(2);
    fixture.planner.recordPlacementMiss(core::EndpointId("e0"), keyOf(1), fixture.now);
    cr_assert_eq(fixture.planner.endpointsNeedingReport(fixture.now).size(), 1U);
    fixture.addRequests(keyOf(2), near, 1, fixture.now);
    fixture.run(milliseconds(40));
    cr_assert_eq(fixture.loads, 2);
    // Its slot counts until a report shows otherwise: too many adapters crash an endpoint.
    cr_assert(fixture.planner.endpoints().at(core::EndpointId("e0")).adapters.contains(keyOf(1)));
}

// Guards against a report that is older than the latest orders and reverts their effect.
Test(adapterplanner, outdatedReportKeepsNewerOrders)
{
    Fixture fixture;
    const core::EndpointId endpoint("e0");
    fixture.addEndpoint("e0", near, 2);
    fixture.now += std::chrono::seconds(2);
    fixture.addRequests(keyOf(1), near, 1, fixture.now);
    fixture.run(milliseconds(40));
    fixture.now += std::chrono::seconds(3);
    fixture.addRequests(keyOf(2), near, 1, fixture.now);
    fixture.addRequests(keyOf(3), near, 1, fixture.now);
    fixture.run(milliseconds(100));
    cr_assert_eq(fixture.held.at(endpoint), (std::set {keyOf(2), keyOf(3)}));
    fixture.reportHolding(endpoint, keyOf(1));
    const auto &adapters = fixture.planner.endpoints().at(endpoint).adapters;
    cr_assert(adapters.contains(keyOf(2)) && adapters.contains(keyOf(3)));
    cr_assert_not(adapters.contains(keyOf(1)));
    cr_assert_eq(fixture.planner.endpoints().at(endpoint).orderRevision, 4U);
}

// Guards against a report request to each crashed endpoint in every event loop iteration: 29 of
// them received 260 requests a second, and each request has a cost and delays orders.
Test(adapterplanner, failedReportRequestIsRepeatedAfterInterval)
{
    Fixture fixture;
    fixture.addEndpoint("e0", near, 22);
    const core::EndpointId endpoint {"e0"};
    fixture.now += std::chrono::seconds(10);
    cr_assert_eq(fixture.planner.endpointsNeedingReport(fixture.now).size(), 1U);
    fixture.planner.recordReportFailure(endpoint, fixture.now);
    cr_assert(fixture.planner.endpointsNeedingReport(fixture.now + milliseconds(50)).empty());
    cr_assert_eq(fixture.planner.endpointsNeedingReport(fixture.now + milliseconds(350)).size(),
                 1U);
}
