#include "decisions/requestcostestimator.h"

#include <criterion/criterion.h>

#include <cmath>
#include <random>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

/// Simulates requests at engines of one kind: half of the endpoints have a fourth of the prompt in
/// their cache, and one in three requests meets the prompt of another daemon.
struct Fixture
{
    double tokensPerSecond;
    double meanTokens;
    core::Duration streamTime;
    RequestCostEstimator cost;
    std::mt19937 random {20261204};

    void simulate(int requests)
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        std::lognormal_distribution<double> logNormal(-0.32, 0.8); // The mean is one.
        for (int request = 0; request < requests; ++request) {
            const int tokens = static_cast<int>(meanTokens * logNormal(random));
            double prefillTokens = uniform(random) < 0.5 ? tokens * 0.75 : tokens;
            if (uniform(random) < 1.0 / 3)
                prefillTokens += meanTokens * uniform(random);
            constexpr double roundTripAndFirstStep = 0.012;
            const auto timeToFirstEvent
                = std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(
                    prefillTokens / tokensPerSecond + roundTripAndFirstStep));
            cost.recordFirstEvent(tokens, timeToFirstEvent, true);
            cost.recordStreamDuration(core::scaled(streamTime, logNormal(random)));
        }
    }
};

} // namespace

// The bound of one third comes from the tracker and applies to a model on which decisions are
// based. Guards against copies and loads that are computed with the engines of another deployment:
// with engines of half the prefill speed the popular adapter got two copies for the work of five.
Test(requestcostestimator, estimatesEnginesOfDeployment)
{
    for (const double speed : {20'400.0, 38'400.0, 80'000.0}) {
        Fixture fixture {speed, 2200, std::chrono::milliseconds(600), {}};
        fixture.simulate(400);
        const double share = 0.6 / 64 + 2200 / speed;
        cr_assert_float_eq(fixture.cost.tokensPerSecond(), speed, speed / 3, "%.0f for %.0f",
                           fixture.cost.tokensPerSecond(), speed);
        cr_assert_float_eq(fixture.cost.endpointSecondsPerRequest(64), share, share / 3,
                           "%.4f for %.4f", fixture.cost.endpointSecondsPerRequest(64), share);
    }
}

// Guards against a speed estimate from responses that waited behind other requests.
Test(requestcostestimator, promptsAmongOthersDoNotChangeSpeed)
{
    RequestCostEstimator cost;
    const double before = cost.tokensPerSecond();
    for (int request = 0; request < 100; ++request)
        cost.recordFirstEvent(2000, std::chrono::seconds(2), false);
    cr_assert_eq(cost.tokensPerSecond(), before);
}

// Guards against a share of zero, below zero or without bound, because copies are computed by
// division by it.
Test(requestcostestimator, shareStaysWithinBounds)
{
    RequestCostEstimator cost;
    for (int request = 0; request < 1000; ++request) {
        cost.recordFirstEvent(1, core::Duration {1}, true);
        cost.recordFirstEvent(1'000'000, core::Duration {1}, true);
        cost.recordFirstEvent(500, std::chrono::hours(1), true);
        cost.recordStreamDuration(core::Duration {0});
    }
    cr_assert_gt(cost.endpointSecondsPerRequest(64), 0);
    cr_assert(std::isfinite(cost.endpointSecondsPerRequest(0)));
}
