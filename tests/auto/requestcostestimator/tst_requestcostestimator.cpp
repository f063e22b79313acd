#include "decisions/requestcostestimator.h"

#include <criterion/criterion.h>

#include <cmath>
#include <random>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

/// Requests at engines of one kind: prompts of which a fourth is kept by half of the endpoints, and
/// one in three sends meets another daemon's prompt.
struct Fixture
{
    double tokensPerSecond;
    double meanTokens;
    core::Duration streamTime;
    RequestCostEstimator cost;
    std::mt19937 random {20261204};

    void play(int requests)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        std::lognormal_distribution<double> spread(-0.32, 0.8); // A mean of one.
        for (int request = 0; request < requests; ++request) {
            const int tokens = static_cast<int>(meanTokens * spread(random));
            double read = draw(random) < 0.5 ? tokens * 0.75 : tokens;
            if (draw(random) < 1.0 / 3)
                read += meanTokens * draw(random);
            constexpr double wayAndStep = 0.012;
            const auto first = std::chrono::duration_cast<core::Duration>(
                std::chrono::duration<double>(read / tokensPerSecond + wayAndStep));
            cost.recordFirstEvent(tokens, first, true);
            cost.recordStreamDuration(core::scaled(streamTime, spread(random)));
        }
    }
};

} // namespace

// The bound of a third is that of the tracker for a model that decides. Guards against copies and
// loads that are reckoned with another deployment's engines: before engines
// with half the prompt speed the popular adapter got two copies for the work of five.
Test(requestcostestimator, learnsWhatTheEnginesOfADeploymentDo)
{
    for (const double speed : {20'400.0, 38'400.0, 80'000.0}) {
        Fixture fixture {speed, 2200, std::chrono::milliseconds(600), {}};
        fixture.play(400);
        const double part = 0.6 / 64 + 2200 / speed;
        cr_assert_float_eq(fixture.cost.tokensPerSecond(), speed, speed / 3, "%.0f for %.0f",
                           fixture.cost.tokensPerSecond(), speed);
        cr_assert_float_eq(fixture.cost.endpointSecondsPerRequest(64), part, part / 3,
                           "%.4f for %.4f", fixture.cost.endpointSecondsPerRequest(64), part);
    }
}

// Guards against a speed of the endpoints that is taken from answers that waited behind others.
Test(requestcostestimator, onlyPromptsThatWereAloneTellTheSpeed)
{
    RequestCostEstimator cost;
    const double before = cost.tokensPerSecond();
    for (int request = 0; request < 100; ++request)
        cost.recordFirstEvent(2000, std::chrono::seconds(2), false);
    cr_assert_eq(cost.tokensPerSecond(), before);
}

// Guards against a part that is zero, negative or without bound, which copies are divided by.
Test(requestcostestimator, partStaysWithinBounds)
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
