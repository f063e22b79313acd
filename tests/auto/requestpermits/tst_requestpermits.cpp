#include "limitsimulation.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;
using namespace jackdawlead::testsupport;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::EndpointId endpoint {"e"};
const core::HostId host {"h1"};
const core::HostId otherHost {"h2"};
constexpr core::TimePoint start {seconds(100)};
constexpr fleet::StartTime incarnation {10};

/// What the platform allows in a window of 4 s.
double maxPerWindow(fleet::RequestRate limit)
{
    constexpr double factor = 1.5;
    constexpr double slack = 5;
    return factor * limit.perSecond * 4 + slack;
}

void expectKeptAndUsed(const LimitScenario &scenario)
{
    constexpr double minServedShare = 0.9;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        LimitScenario seeded = scenario;
        seeded.seed = seed;
        const LimitResult result = LimitSimulation<IssuedPermits>(seeded).run();
        cr_expect_leq(result.worstWindow, maxPerWindow(scenario.limit), "%d daemons, seed %lu: %d",
                      scenario.daemons, seed, result.worstWindow);
        cr_expect_geq(result.servedShare, minServedShare, "%d daemons, seed %lu: %.2f",
                      scenario.daemons, seed, result.servedShare);
    }
}

LimitScenario largeFleet()
{
    LimitScenario scenario;
    scenario.daemons = 195;
    scenario.reportPeriod = milliseconds(750);
    return scenario;
}

} // namespace

// These guard against a limit that the daemons together exceed or leave unused: with equal demand,
// with most of the demand at one daemon, and with a daemon that does not reach the coordinator.
Test(requestpermits, balancedDaemonsKeepAndUseTheLimit)
{
    expectKeptAndUsed({});
    expectKeptAndUsed(largeFleet());
}

Test(requestpermits, skewedDaemonsKeepAndUseTheLimit)
{
    LimitScenario scenario;
    scenario.firstDaemonShare = 0.8;
    expectKeptAndUsed(scenario);
    scenario = largeFleet();
    scenario.firstDaemonShare = 0.8;
    expectKeptAndUsed(scenario);
}

Test(requestpermits, limitIsKeptWithACutOffDaemon)
{
    LimitScenario scenario;
    scenario.cutOffDaemons = 1;
    expectKeptAndUsed(scenario);
    scenario = largeFleet();
    scenario.cutOffDaemons = 1;
    expectKeptAndUsed(scenario);
}

Test(requestpermits, higherLimitIsKeptAndUsed)
{
    LimitScenario scenario;
    scenario.limit = {20};
    scenario.requestsPerSecond = 60;
    expectKeptAndUsed(scenario);
}

// Guards against a fleet without a coordinator that exceeds the limit.
Test(requestpermits, limitIsKeptWithoutACoordinator)
{
    for (const int daemons : {7, 195}) {
        LimitScenario scenario;
        scenario.daemons = scenario.cutOffDaemons = daemons;
        const LimitResult result = LimitSimulation<IssuedPermits>(scenario).run();
        cr_expect_leq(result.worstWindow, maxPerWindow(scenario.limit), "%d daemons: %d", daemons,
                      result.worstWindow);
        cr_expect_gt(result.servedShare, 0.0);
    }
}

// Guards against idle daemons that keep permits and later use them all at once.
Test(requestpermits, unusedPermitsExpire)
{
    RequestPermits permits;
    permits.addIssued(endpoint, 2, start + RequestPermits::lifetime);
    cr_assert(permits.hasIssued(endpoint, start));
    cr_assert_not(permits.hasIssued(endpoint, start + RequestPermits::lifetime));
    // The own permit of an interval of 10 s can be used for the lifetime only.
    constexpr core::Duration interval = seconds(10);
    cr_assert(permits.hasOwn(endpoint, interval, 0, start));
    cr_assert_not(permits.hasOwn(endpoint, interval, 0, start + RequestPermits::lifetime));
    cr_assert(permits.hasOwn(endpoint, interval, 0, start + interval));
    permits.take(endpoint, interval, start + interval);
    cr_assert_not(permits.hasOwn(endpoint, interval, 0, start + interval));
}

// Guards against permits for preferences while requests at other daemons wait.
Test(requestpermits, waitingRequestsTakePrecedence)
{
    PermitIssuer issuer;
    issuer.setLimit(endpoint, incarnation, {2}, start);
    const PermitGrant waiting = issuer.issue(endpoint, host, {3, 0}, start + seconds(1));
    cr_assert_eq(waiting.count, 2);
    const PermitGrant preferred
        = issuer.issue(endpoint, otherHost, {0, 1}, start + milliseconds(1500));
    cr_assert_eq(preferred.count, 0);
    cr_assert_eq(preferred.waitingElsewhere, 1);
    cr_assert_eq(issuer.issue(endpoint, host, {1, 0}, start + milliseconds(1600)).count, 1);
    cr_assert_eq(issuer.issue(endpoint, otherHost, {0, 1}, start + seconds(3)).count, 1);
}

// Guards against an endpoint with a limit of zero that gets no request which could show that the
// limit was lifted.
Test(requestpermits, limitOfZeroStillAllowsSomeRequests)
{
    PermitIssuer issuer;
    issuer.setLimit(endpoint, incarnation, {0}, start);
    cr_assert_eq(issuer.issue(endpoint, host, {1, 0}, start + seconds(5)).count, 0);
    cr_assert_eq(issuer.issue(endpoint, host, {1, 0}, start + seconds(11)).count, 1);
}

// Guards against orders that exceed the limit in addition to the requests.
Test(requestpermits, ordersCountAgainstTheLimit)
{
    PermitIssuer issuer;
    cr_assert(issuer.canCharge(endpoint, start));
    issuer.setLimit(endpoint, incarnation, {1}, start);
    cr_assert_not(issuer.canCharge(endpoint, start));
    cr_assert(issuer.canCharge(endpoint, start + seconds(1)));
    issuer.charge(endpoint);
    issuer.charge(endpoint);
    cr_assert_eq(issuer.issue(endpoint, host, {1, 0}, start + milliseconds(1500)).count, 0);
    cr_assert_eq(issuer.issue(endpoint, host, {1, 0}, start + milliseconds(3100)).count, 1);
}

// Guards against orders that use up the permits for which requests wait or come in time.
Test(requestpermits, ordersYieldToDemand)
{
    PermitIssuer issuer;
    issuer.setLimit(endpoint, incarnation, {1}, start);
    issuer.issue(endpoint, host, {1, 0}, start);
    cr_assert_not(issuer.canCharge(endpoint, start + seconds(1)));
    issuer.issue(endpoint, host, {0, 3}, start + seconds(1));
    cr_assert_not(issuer.canCharge(endpoint, start + milliseconds(2500)));
    cr_assert(issuer.canCharge(endpoint, start + seconds(4)));
}

// Guards against permits that a new incarnation inherits.
Test(requestpermits, newIncarnationStartsWithoutPermits)
{
    PermitIssuer issuer;
    issuer.setLimit(endpoint, incarnation, {1}, start);
    issuer.setLimit(endpoint, incarnation + milliseconds(1), {1}, start + seconds(10));
    cr_assert_eq(issuer.issue(endpoint, host, {1, 0}, start + seconds(10)).count, 0);
}

// Guards against memory for each endpoint that ever had a limit.
Test(requestpermits, stateOfEndedLimitsIsRemoved)
{
    RequestPermits permits;
    permits.addWaiting(endpoint);
    permits.addIssued(endpoint, 1, start);
    permits.hasOwn(endpoint, seconds(1), 0, start);
    permits.clear(endpoint);
    cr_assert_eq(permits.waiting(endpoint), 1);
    permits.removeWaiting(endpoint);
    cr_assert_eq(permits.endpointCount(), 0U);
    PermitIssuer issuer;
    issuer.setLimit(endpoint, incarnation, {1}, start);
    issuer.setLimit(core::EndpointId("gone"), incarnation, {1}, start);
    issuer.retain({endpoint});
    cr_assert_eq(issuer.endpointCount(), 1U);
    cr_assert(issuer.canCharge(core::EndpointId("gone"), start));
}
