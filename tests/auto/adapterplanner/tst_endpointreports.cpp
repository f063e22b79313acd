#include "auto/adapterplanner/plannerfixture.h"

#include <criterion/criterion.h>

#include <set>

using namespace jackdawlead;
using namespace jackdawlead::decisions;
using namespace jackdawlead::tests;
using Fixture = PlannerFixture;
using std::chrono::milliseconds;

// Guards against a second order to an endpoint before the first is answered: it could be carried
// out late, besides the second.
Test(adapterplanner, oneOrderAtATimeWithTheExpectedRevision)
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

// Guards against orders on a guess after one without an answer: the endpoint is asked first, and
// only when its report cannot be older than the order.
Test(adapterplanner, unansweredOrderIsFollowedByAReport)
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

// Guards against the unload of an adapter in use: it waits for its runs, and the endpoint turns
// every other order away meanwhile.
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

// Guards against orders that an endpoint turns away because an unload still waits for its runs,
// and against an endpoint that gets no order for good after one.
Test(adapterplanner, unloadThatWaitsForRunsKeepsOrdersBackUntilItIsDone)
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

// Guards against an endpoint that gets no order for good because an unload was answered and not
// carried out.
Test(adapterplanner, unloadThatNeverEndsIsNotWaitedForWithoutEnd)
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

// Guards against the replacement of an adapter in use by its new version, which holds the
// endpoint's other orders back until the runs of the old one have ended.
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

// Pattern: orders follow each other at an endpoint while some of its contents are in doubt. Guards
// against an endpoint that gets no order until it has been quiet for the age of a report: eight of
// nine were kept back that way while sixty adapters were waited for.
Test(adapterplanner, doubtAboutOneAdapterDoesNotKeepOrdersBack)
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
    // Its place counts until a report says otherwise: too many adapters crash an endpoint.
    cr_assert(fixture.planner.endpoints().at(core::EndpointId("e0")).adapters.contains(keyOf(1)));
}

// Guards against a report that is older than the last orders and takes back what they did.
Test(adapterplanner, reportKeepsWhatIsNewerThanItself)
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

// Guards against endpoints that have crashed being asked for a report in every turn: 29 of them
// were asked 260 times a second, and each question is priced and takes time from orders.
Test(adapterplanner, endpointWithoutAReportIsAskedAgainAfterAPause)
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
