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

// Guards against routing by a prefix of the path that is not the longest one.
Test(routetable, longestPrefixIsChosen)
{
    const RouteTable table
        = tableOf({routeTo("a.example", "/x/", "s1"), routeTo("a.example", "/x/y/", "s2"),
                   routeTo("b.example", "/x/y/z/", "s3")});
    cr_assert_eq(table.find("a.example", "/x/y/z/1")->targets[0].service.value(), "s2");
    cr_assert_eq(table.find("a.example", "/x/q")->targets[0].service.value(), "s1");
    cr_assert_eq(table.find("A.example:8080", "/x/y/?a=/x/")->targets[0].service.value(), "s2");
}

// Guards against a prefix that matches a part of a path segment, another host, or a query.
Test(routetable, pathOutsidePrefixHasNoRoute)
{
    const RouteTable table = tableOf({routeTo("a.example", "/x/", "s1")});
    cr_assert_null(table.find("a.example", "/xy/1"));
    cr_assert_null(table.find("a.example", "/x"));
    cr_assert_null(table.find("c.example", "/x/1"));
    cr_assert_null(table.find("a.example", "/q?b=/x/"));
}

// Guards against a traffic split that sends all requests to one service.
Test(routetable, splitFollowsWeights)
{
    fleet::Route route = routeTo("a.example", "/x/", "s1");
    route.targets = {{core::ServiceId("s1"), 90}, {core::ServiceId("s2"), 10}};
    cr_assert_eq(RouteTable::chooseTarget(route, 0.0).value(), "s1");
    cr_assert_eq(RouteTable::chooseTarget(route, 0.89).value(), "s1");
    cr_assert_eq(RouteTable::chooseTarget(route, 0.91).value(), "s2");
    cr_assert_eq(RouteTable::chooseTarget(route, 0.9999).value(), "s2");
}

// Guards against a retry storm: all daemons together must stay under the ratio.
Test(retrybudget, daemonsShareBudgetOfService)
{
    constexpr int daemons = 7;
    RetryBudgetLimits limits;
    limits.slack = 54;
    std::vector<RetryBudget> budgets(daemons);
    int requests = 0;
    int retries = 0;
    for (int step = 0; step < 1000; ++step) {
        for (RetryBudget &budget : budgets) {
            budget.setLimits(limits);
            budget.setDaemonCount(daemons);
            budget.recordRequest(start + step * milliseconds(10));
            ++requests;
            retries += budget.tryTake(start + step * milliseconds(10)) ? 1 : 0;
        }
    }
    cr_assert_leq(retries, requests / 5 + 54);
    cr_assert_gt(retries, requests / 20);
}

// Guards against more retries than allowed after a restart of all daemons: each of 195 used an
// eighth of the slack, or all of it while its coordinator knew no other daemon.
Test(retrybudget, slackIsBoundedUntilDaemonCountIsKnown)
{
    RetryBudget budget;
    RetryBudgetLimits limits;
    limits.slack = 430;
    budget.setLimits(limits);
    for (int number = 0; number < 3; ++number)
        cr_assert(budget.tryTake(start));
    cr_assert_not(budget.tryTake(start));
    // A share of a fifth of its own requests is added.
    for (int number = 0; number < 20; ++number)
        budget.recordRequest(start);
    cr_assert(budget.tryTake(start));
    budget.setDaemonCount(2);
    constexpr int half = 100;
    for (int number = 0; number < half; ++number)
        cr_assert(budget.tryTake(start));
}

// Guards against a budget that is never refilled.
Test(retrybudget, retriesExpireAfterWindow)
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

// Guards against sends beside silent endpoints, six for each request, that use up the retry budget
// of streams that broke off.
Test(retrybudget, sendsBesideSilentOnesLeaveHalfOfTheBudget)
{
    RetryBudget budget;
    RetryBudgetLimits limits;
    limits.safetyFactor = 1.0;
    limits.slack = 0;
    budget.setLimits(limits);
    budget.setDaemonCount(1);
    const core::TimePoint now {std::chrono::seconds(100)};
    for (int number = 0; number < 100; ++number)
        budget.recordRequest(now);
    int silent = 0;
    while (budget.tryTake(now, RetryPurpose::SilentSend))
        ++silent;
    int failed = 0;
    while (budget.tryTake(now))
        ++failed;
    cr_expect_eq(silent, 10);
    cr_expect_eq(failed, 10);
}

// Guards against a choice of a highly utilized endpoint while another one has free slots.
Test(endpointchooser, leastUtilizedIsChosenFirst)
{
    cr_assert_eq(chooseEndpoint({optionOf("a", 9), optionOf("b", 3)}, 0.0).endpoint->value(), "b");
}

// Guards against traffic between regions while the local region has free slots, and against waiting
// in the local region while the other one is idle.
Test(endpointchooser, otherRegionIsChosenOnlyAtLowerCost)
{
    const auto remote = optionOf("far", 0, Distance::OtherRegion);
    cr_assert_eq(chooseEndpoint({optionOf("near", 4), remote}, 0.0).endpoint->value(), "near");
    cr_assert_eq(chooseEndpoint({optionOf("near", 8), remote}, 0.0).endpoint->value(), "far");
}

// Guards against an outage because all endpoints are ejected.
Test(endpointchooser, ejectedEndpointIsChosenWithoutAlternative)
{
    auto failed = optionOf("a", 0);
    failed.isEjected = true;
    cr_assert_eq(chooseEndpoint({failed, optionOf("b", 9)}, 0.0).endpoint->value(), "b");
    cr_assert_eq(chooseEndpoint({failed}, 0.0).endpoint->value(), "a");
}

// Guards against requests to a full endpoint, where they would only lengthen the queue.
Test(endpointchooser, fullEndpointsAreNotChosen)
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

// Guards against an endpoint that keeps receiving requests while it cannot be reached.
Test(endpointhealth, ejectionTimeDoublesWithEachConnectionFailure)
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

// Guards against an endpoint that fails a share of its requests while its health check passes, and
// against ejection after a single failure.
Test(endpointhealth, highFailureRateEjectsEndpoint)
{
    EndpointHealth health;
    health.recordErrorResponse(start);
    cr_assert_not(health.isEjected(start));
    for (int failure = 0; failure < 5; ++failure)
        health.recordErrorResponse(start);
    cr_assert(health.isEjected(start));
}

// Guards against contents of an earlier incarnation of an endpoint that restarted under its id.
Test(placementview, newIncarnationDropsEarlierContents)
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
Test(placementview, adapterIsUsableOnceLoaded)
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

// Guards against another dispatch of a request that was running when three endpoints crashed, and
// against counting one crash twice because two daemons report it.
Test(crashsuspects, threeCrashesQuarantineRequest)
{
    const Fingerprint request("request");
    CrashTracker tracker;
    for (int crash = 1; crash <= 3; ++crash) {
        cr_assert_not(tracker.isQuarantined(request, start));
        const core::EndpointId endpoint("e" + std::to_string(crash));
        tracker.recordConnectionFailure({request, {}}, endpoint, start);
        tracker.recordCrash(endpoint, CrashId(endpoint.value()), start + milliseconds(200));
        tracker.applyUpdate({request, CrashId(endpoint.value())}, start + milliseconds(300));
    }
    cr_assert(tracker.isQuarantined(request, start + milliseconds(300)));
    cr_assert_not(tracker.isQuarantined(request, start + std::chrono::minutes(11)));
}

// Guards against a quarantine of requests because connections to healthy endpoints fail, or because
// the requests ended long before an endpoint crashed.
Test(crashsuspects, connectionFailureAloneIsNoCrash)
{
    const Fingerprint request("request");
    CrashTracker tracker;
    for (int number = 0; number < 5; ++number)
        tracker.recordConnectionFailure({request, {}}, core::EndpointId("e"), start);
    cr_assert_eq(tracker.crashCount(request, start), 0U);
    tracker.recordCrash(core::EndpointId("other"), CrashId("other"), start);
    tracker.recordCrash(core::EndpointId("e"), CrashId("e"), start + std::chrono::seconds(5));
    cr_assert_eq(tracker.crashCount(request, start + std::chrono::seconds(5)), 0U);
}
