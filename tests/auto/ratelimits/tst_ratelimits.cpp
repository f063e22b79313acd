#include "gateway/ratelimits.h"

#include <criterion/criterion.h>

#include <string>

using namespace jackdawlead;
using namespace jackdawlead::gateway;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::EndpointId id {"i-1"};
constexpr fleet::StartTime incarnation {10};
constexpr fleet::StartTime nextIncarnation {20};

fleet::Endpoint endpointOf(fleet::StartTime startTime)
{
    fleet::Endpoint endpoint;
    endpoint.id = id;
    endpoint.startTime = startTime;
    return endpoint;
}

struct Fixture
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    observability::GatewayMetrics metrics;
    fleet::Endpoint current = endpointOf(incarnation);
    RateLimits limits {timers,
                       metrics,
                       {.onLimitAnnounced = [](const core::EndpointId &) {},
                        .onReportDue = [] {},
                        .isCoordinatorReachable = [] { return true; },
                        .findEndpoint = [this](const core::EndpointId &) { return &current; },
                        .uniformRandom = [] { return 0.5; }}};

    void announce(fleet::StartTime startTime, double perSecond)
    {
        limits.recordResponse(id, startTime, {fleet::RequestRate {perSecond}, false}, true,
                              timers.now());
    }
    bool isGaugeAt(int count) const
    {
        const std::string line = "jackdawlead_limited_endpoints " + std::to_string(count) + "\n";
        return metrics.render().find(line) != std::string::npos;
    }
};

} // namespace

// Guards against the limit of an ended incarnation that is counted and sent to other daemons for as
// long as its successor runs, and against another daemon that brings it back.
Test(ratelimits, limitOfAnEndedIncarnationIsRemoved)
{
    Fixture fixture;
    fixture.announce(incarnation, 2);
    cr_assert(fixture.isGaugeAt(1));
    fixture.limits.updateEndpoint(endpointOf(incarnation));
    cr_assert(fixture.isGaugeAt(1));
    const auto known = fixture.limits.known().all();
    fixture.current = endpointOf(nextIncarnation);
    fixture.limits.updateEndpoint(fixture.current);
    cr_assert(fixture.isGaugeAt(0));
    cr_assert(fixture.limits.known().all().empty());
    cr_assert(fixture.limits.takeLearned().empty());
    fixture.limits.applyUpdates(known, "h2");
    cr_assert(fixture.limits.known().all().empty());
}

// Guards against a field without a valid number that lifts a limit which is in force.
Test(ratelimits, malformedLimitKeepsTheKnownOne)
{
    Fixture fixture;
    fixture.announce(incarnation, 2);
    fixture.limits.recordResponse(id, incarnation, {std::nullopt, true}, true,
                                  fixture.timers.now() + seconds(1));
    cr_assert_eq(fixture.limits.limitOf(endpointOf(incarnation))->perSecond, 2.0);
}

// Guards against a limit that is lifted by a response which may come from another endpoint.
Test(ratelimits, onlyAnOwnAnswerLiftsTheLimit)
{
    Fixture fixture;
    fixture.announce(incarnation, 2);
    const core::TimePoint sentAt = fixture.timers.now() + milliseconds(1);
    fixture.limits.recordResponse(id, incarnation, {}, false, sentAt);
    cr_assert(fixture.limits.limitOf(endpointOf(incarnation)).has_value());
    fixture.limits.recordResponse(id, incarnation, {}, true, sentAt);
    cr_assert_not(fixture.limits.limitOf(endpointOf(incarnation)).has_value());
}
