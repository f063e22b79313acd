#include "decisions/crashtracker.h"
#include "decisions/endpointchooser.h"
#include "decisions/endpointhealth.h"
#include "decisions/placementview.h"
#include "decisions/retrybudget.h"
#include "decisions/routetable.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;

constexpr core::TimePoint start {std::chrono::seconds(100)};

fleet::Route routeTo(const std::string &host, const std::string &prefix, const std::string &service)
{
    fleet::Route route;
    route.name = prefix;
    route.host = host;
    route.pathPrefix = prefix;
    route.targets.push_back({core::ServiceId(service), 1.0});
    return route;
}

RouteTable tableOf(std::vector<fleet::Route> routes)
{
    fleet::Configuration configuration;
    configuration.routes = std::move(routes);
    return RouteTable(std::move(configuration));
}

EndpointOption optionOf(const std::string &id, int inProgress,
                        Distance distance = Distance::SameDomain)
{
    EndpointOption option;
    option.endpoint = core::EndpointId(id);
    option.slots = 10;
    option.load = inProgress;
    option.distance = distance;
    return option;
}

} // namespace

// Guards against a request that goes to a shorter prefix than the longest that begins its path.
Test(routetable, longestPrefixWins)
{
    const RouteTable table
        = tableOf({routeTo("a.example", "/x/", "s1"), routeTo("a.example", "/x/y/", "s2"),
                   routeTo("b.example", "/x/y/z/", "s3")});
    cr_assert_eq(table.find("a.example", "/x/y/z/1")->targets[0].service.value(), "s2");
    cr_assert_eq(table.find("a.example", "/x/q")->targets[0].service.value(), "s1");
    cr_assert_eq(table.find("A.example:8080", "/x/y/?a=/x/")->targets[0].service.value(), "s2");
}

// Guards against a prefix that matches a part of a path segment, another host, or a query.
Test(routetable, noRouteBesideThePrefixes)
{
    const RouteTable table = tableOf({routeTo("a.example", "/x/", "s1")});
    cr_assert_null(table.find("a.example", "/xy/1"));
    cr_assert_null(table.find("a.example", "/x"));
    cr_assert_null(table.find("c.example", "/x/1"));
    cr_assert_null(table.find("a.example", "/q?b=/x/"));
}

// Guards against a split that sends everything to one service.
Test(routetable, splitFollowsWeights)
{
    fleet::Route route = routeTo("a.example", "/x/", "s1");
    route.targets = {{core::ServiceId("s1"), 90}, {core::ServiceId("s2"), 10}};
    cr_assert_eq(RouteTable::chooseTarget(route, 0.0).value(), "s1");
    cr_assert_eq(RouteTable::chooseTarget(route, 0.89).value(), "s1");
    cr_assert_eq(RouteTable::chooseTarget(route, 0.91).value(), "s2");
    cr_assert_eq(RouteTable::chooseTarget(route, 0.9999).value(), "s2");
}

// Guards against a storm of repeated sends: all daemons together must stay under the ratio.
Test(retrybudget, sharesTheBudgetOfTheService)
{
    constexpr int daemons = 7;
    RetryBudgetLimits limits;
    limits.slack = 54;
    std::vector<RetryBudget> budgets(daemons);
    int requests = 0;
    int repeats = 0;
    for (int step = 0; step < 1000; ++step) {
        for (RetryBudget &budget : budgets) {
            budget.setLimits(limits);
            budget.setDaemonCount(daemons);
            budget.recordRequest(start + step * milliseconds(10));
            ++requests;
            repeats += budget.tryTake(start + step * milliseconds(10)) ? 1 : 0;
        }
    }
    cr_assert_leq(repeats, requests / 5 + 54);
    cr_assert_gt(repeats, requests / 20);
}

// Guards against more repeated sends than allowed after all daemons were killed: each of 195 took
// an eighth of the slack, or all of it while its coordinator had heard of it alone.
Test(retrybudget, slackIsNotUsedBeforeItsSharersAreKnown)
{
    RetryBudget budget;
    RetryBudgetLimits limits;
    limits.slack = 430;
    budget.setLimits(limits);
    for (int number = 0; number < 3; ++number)
        cr_assert(budget.tryTake(start));
    cr_assert_not(budget.tryTake(start));
    // A part of a fifth of its own requests is its own.
    for (int number = 0; number < 20; ++number)
        budget.recordRequest(start);
    cr_assert(budget.tryTake(start));
    budget.setDaemonCount(2);
    constexpr int half = 100;
    for (int number = 0; number < half; ++number)
        cr_assert(budget.tryTake(start));
}

// Guards against a budget that is never given back.
Test(retrybudget, oldRepeatsAreForgotten)
{
    RetryBudget budget;
    RetryBudgetLimits limits;
    limits.slack = 16;
    budget.setLimits(limits);
    budget.setDaemonCount(8);
    cr_assert(budget.tryTake(start));
    cr_assert_not(budget.tryTake(start + milliseconds(100)));
    cr_assert(budget.tryTake(start + std::chrono::seconds(11)));
}

// Guards against a full endpoint that is chosen while another one has room.
Test(endpointchooser, leastFilledFirst)
{
    cr_assert_eq(chooseEndpoint({optionOf("a", 9), optionOf("b", 3)}, 0.0).endpoint->value(), "b");
}

// Guards against bytes over the regions' link while the own region has room, and against waiting in
// the own region while the other one is idle.
Test(endpointchooser, otherRegionOnlyWhenItPays)
{
    const auto remote = optionOf("far", 0, Distance::OtherRegion);
    cr_assert_eq(chooseEndpoint({optionOf("near", 4), remote}, 0.0).endpoint->value(), "near");
    cr_assert_eq(chooseEndpoint({optionOf("near", 8), remote}, 0.0).endpoint->value(), "far");
}

// Guards against an outage of our own making when all endpoints failed lately.
Test(endpointchooser, failedEndpointsAreUsedWhenThereIsNothingElse)
{
    auto failed = optionOf("a", 0);
    failed.isEjected = true;
    cr_assert_eq(chooseEndpoint({failed, optionOf("b", 9)}, 0.0).endpoint->value(), "b");
    cr_assert_eq(chooseEndpoint({failed}, 0.0).endpoint->value(), "a");
}

// Guards against requests that are sent to an endpoint whose queue they would only lengthen.
Test(endpointchooser, fullEndpointsTakeNothing)
{
    const EndpointChooserLimits limits;
    EndpointOption option = optionOf("a", 0);
    option.load = limits.maxUtilization * option.slots;
    const auto choice = chooseEndpoint({option}, 0.0);
    cr_assert_not(choice.endpoint);
    cr_assert_eq(choice.reason, NoEndpointReason::AllFull);
    option.load -= 0.1;
    cr_assert(chooseEndpoint({option}, 0.0).endpoint.has_value());
    option.pendingPrefillTokens = limits.maxPendingPrefillTokens;
    cr_assert_eq(chooseEndpoint({option}, 0.0).reason, NoEndpointReason::AllFull);
    cr_assert_eq(chooseEndpoint({}, 0.0).reason, NoEndpointReason::NoCandidates);
}

// Guards against an endpoint that goes on getting its share while it cannot be reached.
Test(endpointhealth, brokenEndpointIsPassedOverLongerEachTime)
{
    EndpointHealth health;
    cr_assert_not(health.isEjected(start));
    health.recordConnectionFailure(start);
    cr_assert(health.isEjected(start + milliseconds(400)));
    cr_assert_not(health.isEjected(start + milliseconds(600)));
    health.recordConnectionFailure(start + milliseconds(600));
    cr_assert(health.isEjected(start + milliseconds(1500)));
    health.recordSuccess();
    health.recordConnectionFailure(start + std::chrono::seconds(10));
    cr_assert_not(health.isEjected(start + milliseconds(10600)));
}

// Guards against an endpoint that fails part of its requests while its health check is good, and
// against passing one over for a single failure.
Test(endpointhealth, failingEndpointIsPassedOver)
{
    EndpointHealth health;
    health.recordErrorResponse(start);
    cr_assert_not(health.isEjected(start));
    for (int failure = 0; failure < 5; ++failure)
        health.recordErrorResponse(start);
    cr_assert(health.isEjected(start));
}

// Guards against contents of an earlier life of an endpoint that came back under its id.
Test(placementview, newLifeHoldsNothingOfTheOldOne)
{
    const fleet::AdapterKey key {core::ModelId("m"), core::AdapterId("a1")};
    PlacementView view;
    fleet::Endpoint endpoint;
    endpoint.id = core::EndpointId("e");
    endpoint.startTime = milliseconds(1);
    endpoint.models.push_back({key.model, 1, {"a1@3"}});
    view.updateFromRecord(endpoint);
    cr_assert_eq(view.heldVersion(endpoint.id, key, start), 3);
    endpoint.startTime = milliseconds(2);
    endpoint.models.clear();
    view.updateFromRecord(endpoint);
    cr_assert_not(view.heldVersion(endpoint.id, key, start));
    cr_assert_not(view.holdsModel(endpoint.id, key.model, start));
    ContentsChange late;
    late.contents.startTime = milliseconds(1);
    late.contents.adapters[key] = {3, start};
    view.applyUpdate(endpoint.id, late);
    cr_assert_not(view.heldVersion(endpoint.id, key, start));
}

// Guards against requests that are sent before an adapter's load has ended.
Test(placementview, adapterIsUsableFromTheEndOfItsLoad)
{
    const fleet::AdapterKey key {core::ModelId("m"), core::AdapterId("a1")};
    PlacementView view;
    fleet::Endpoint endpoint;
    endpoint.id = core::EndpointId("e");
    view.updateFromRecord(endpoint);
    ContentsChange change;
    change.contents.adapters[key] = {1, start + milliseconds(280)};
    view.applyUpdate(endpoint.id, change);
    cr_assert_not(view.heldVersion(endpoint.id, key, start));
    cr_assert(view.heldVersion(endpoint.id, key, start + milliseconds(280)).has_value());
    view.recordPlacementMiss(endpoint.id, key);
    cr_assert_not(view.heldVersion(endpoint.id, key, start + milliseconds(280)));
}

// Guards against a request that is sent on although it was running when three endpoints died, and
// against two daemons' word on one death being counted twice.
Test(crashsuspects, threeDeathsQuarantine)
{
    const Fingerprint request("request");
    CrashTracker suspects;
    for (int death = 1; death <= 3; ++death) {
        cr_assert_not(suspects.isQuarantined(request, start));
        const core::EndpointId endpoint("e" + std::to_string(death));
        suspects.recordConnectionFailure(request, endpoint, start);
        suspects.recordCrash(endpoint, CrashId(endpoint.value()), start + milliseconds(200));
        suspects.applyUpdate({request, CrashId(endpoint.value())}, start + milliseconds(300));
    }
    cr_assert(suspects.isQuarantined(request, start + milliseconds(300)));
    cr_assert_not(suspects.isQuarantined(request, start + std::chrono::minutes(11)));
}

// Guards against requests being kept away because sound endpoints lose their answers, or because
// they ended long before an endpoint died.
Test(crashsuspects, brokenConnectionAloneDoesNotCount)
{
    const Fingerprint request("request");
    CrashTracker suspects;
    for (int number = 0; number < 5; ++number)
        suspects.recordConnectionFailure(request, core::EndpointId("e"), start);
    cr_assert_eq(suspects.crashCount(request, start), 0U);
    suspects.recordCrash(core::EndpointId("other"), CrashId("other"), start);
    suspects.recordCrash(core::EndpointId("e"), CrashId("e"), start + std::chrono::seconds(5));
    cr_assert_eq(suspects.crashCount(request, start + std::chrono::seconds(5)), 0U);
}
