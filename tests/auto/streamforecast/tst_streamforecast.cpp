#include "auto/streamforecast/streampolicies.h"

#include <criterion/criterion.h>

#include <numeric>

using namespace jackdawlead;
using namespace jackdawlead::decisions;
using namespace jackdawlead::decisions::streams;
using namespace jackdawlead::testsupport;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t seed = 20261207;
constexpr core::TimePoint begin {seconds(1000)};

StreamScenario shortScenario(double requestsPerSecond, int holders = 0)
{
    StreamScenario scenario;
    scenario.seed = seed;
    scenario.requestsPerSecond = requestsPerSecond;
    scenario.holders = holders;
    scenario.length = seconds(25);
    scenario.warmUp = seconds(5);
    return scenario;
}

StreamOption optionAt(const std::string &id, double timeFactor, int ownTokens, double share)
{
    StreamOption option;
    option.option.endpoint = core::EndpointId(id);
    option.option.slots = 32;
    option.state.slots = 32;
    option.state.timeFactor = timeFactor;
    option.state.ownTokens = ownTokens;
    option.state.share = share;
    return option;
}

StreamDemand shortPrompt(bool mayWait)
{
    return {.promptTokens = 826,
            .targetGap = milliseconds(300),
            .timeLeft = milliseconds(900),
            .mayAwaitShare = false,
            .mayAwaitTargets = mayWait};
}

} // namespace

// A choice that ignores the speed of the endpoints or the prompts of other daemons is late for more
// streams than half of those of the choice by load.
Test(streamforecast, lateStreamsAreAtMostHalf)
{
    for (const int holders : {0, 6}) {
        const StreamScenario scenario = shortScenario(450, holders);
        const StreamResult byLoad = StreamSimulation<PresentChooser>(scenario).run();
        const StreamResult forecast = StreamSimulation<ForecastChooser>(scenario).run();
        cr_expect(forecast.late * 2 <= byLoad.late, "seed %llu, holders %d: %d of %d, by load %d",
                  static_cast<unsigned long long>(seed), holders, forecast.late, forecast.streams,
                  byLoad.late);
    }
}

// An estimate that takes prompts for slowness, or one daemon's samples for all, is off by more than
// a tenth once an endpoint has given 40 answers.
Test(streamforecast, estimateIsWithinATenthAfterFortyAnswers)
{
    StreamScenario scenario = shortScenario(400);
    scenario.length = seconds(8); // 53 answers of each endpoint on average.
    StreamSimulation<ForecastChooser> simulation(scenario);
    simulation.run();
    int wrong = 0;
    int checked = 0;
    for (int endpoint = 0; endpoint < scenario.endpoints; ++endpoint) {
        const SimulatedEngine &engine = simulation.engines()[static_cast<std::size_t>(endpoint)];
        const double truth = engine.timeFactor() * SimulatedEngine::tokensPerEvent
            * (SimulatedEngine::stepMilliseconds
               + SimulatedEngine::stepMillisecondsPerStream * engine.requests());
        for (int daemon = 0; daemon < scenario.daemons; ++daemon) {
            const double factor
                = simulation.policy().estimatedFactor(daemon, endpoint, simulation.now());
            const double predicted
                = core::toSeconds(EngineTimes::pause(engine.requests())) * 1000 * factor;
            ++checked;
            wrong += std::abs(predicted / truth - 1) > 0.1 ? 1 : 0;
        }
    }
    cr_expect(wrong * 10 <= checked, "seed %llu: %d of %d estimates are off",
              static_cast<unsigned long long>(seed), wrong, checked);
}

// An endpoint that turns slow and is taken for a fast one keeps its part of the new streams.
Test(streamforecast, slowEndpointKeepsATenthOfItsStreams)
{
    StreamScenario scenario = shortScenario(400);
    const StreamResult usual = [&scenario] {
        StreamScenario sound = scenario;
        sound.slowAt = seconds(10);
        sound.slowFactor = 1;
        return StreamSimulation<ForecastChooser>(sound).run();
    }();
    scenario.slowAt = seconds(10);
    const StreamResult slow = StreamSimulation<ForecastChooser>(scenario).run();
    cr_expect(slow.sentToSlow * 10 <= usual.sentToSlow, "seed %llu: %d, usually %d",
              static_cast<unsigned long long>(seed), slow.sentToSlow, usual.sentToSlow);
}

// An endpoint that has recovered and is never tried again is lost.
Test(streamforecast, recoveredEndpointGetsStreamsAgain)
{
    EndpointSpeed speed;
    core::TimePoint now = begin;
    for (int pause = 0; pause < 30; ++pause)
        speed.recordPause(16, milliseconds(pause < 15 ? 50 : 175), now += milliseconds(50));
    cr_expect(speed.timeFactor(now, 1) > 3);
    speed.setReported(milliseconds(175), now);
    cr_expect(speed.timeFactor(now + seconds(1), 1) > 3);
    cr_expect(speed.timeFactor(now + seconds(11), 1) < 1.5);
    for (int pause = 0; pause < 12; ++pause)
        speed.recordPause(16, milliseconds(50), now += milliseconds(50));
    cr_expect_float_eq(speed.timeFactor(now, 1), 1, 0.1);
}

// A single slow stream among sound ones must not make its endpoint slow.
Test(streamforecast, oneSlowLinkIsIgnored)
{
    EndpointSpeed speed;
    core::TimePoint now = begin;
    for (int pause = 0; pause < 60; ++pause)
        speed.recordPause(16, milliseconds(pause % 3 == 0 ? 400 : 50), now += milliseconds(20));
    cr_expect_float_eq(speed.timeFactor(now, 1), 1, 0.1, "factor %f", speed.timeFactor(now, 1));
}

// Reports that are absent must not count as endpoints without prompts for ever, nor old ones as
// the present state.
Test(streamforecast, oldReportsLoseTheirWeight)
{
    PrefillForecast forecast;
    cr_expect_not(forecast.isKnown(begin));
    for (int report = 0; report < 20; ++report)
        forecast.setReported(report % 2 == 0 ? 0 : 2000, begin + milliseconds(500) * report);
    const core::TimePoint last = begin + milliseconds(500) * 19;
    cr_expect_float_eq(forecast.tokens(last), 2000, 1);
    cr_expect(forecast.tokens(last + milliseconds(600)) < 1500);
    cr_expect_not(forecast.isKnown(last + seconds(3)));
    cr_expect_float_eq(forecast.tokens(last + seconds(3)), 0, 1e-9);
}

// Parts that overlap, or endpoints without one, would overload some and leave others idle.
Test(streamforecast, sharesAddUpToEachEndpoint)
{
    std::vector<SharedEndpoint> endpoints;
    endpoints.reserve(60);
    for (int index = 0; index < 60; ++index)
        endpoints.push_back(
            {core::EndpointId(std::to_string(100 + index)), index % 3 == 2 ? 16.0 : 52.0});
    std::map<core::EndpointId, double> sums;
    for (std::size_t daemon = 0; daemon < 71; ++daemon) {
        const StreamShares shares = sharesOf(daemon, 71, endpoints);
        cr_expect(shares.size() <= 3 && !shares.empty());
        for (const auto &[id, share] : shares)
            sums[id] += share;
    }
    cr_assert_eq(sums.size(), endpoints.size());
    for (const auto &[id, sum] : sums)
        cr_expect(sum > 0.85 && sum < 1.0001, "%s: %f", id.value().c_str(), sum);
}

// A stream that begins where prompts are being read breaks the target of all streams there.
Test(streamforecast, streamAvoidsEndpointsWithPrompts)
{
    const EngineTimes times;
    const std::vector<StreamOption> options {optionAt("full", 1.7, 4000, 1),
                                             optionAt("free", 1.7, 0, 0)};
    const auto chosen = chooseForStream(options, times, shortPrompt(true), 0.5, 3);
    cr_assert(chosen.choice.endpoint.has_value());
    cr_expect_str_eq(chosen.choice.endpoint->value().c_str(), "free");
}

// A stream that is held back for ever, or sent although a later begin keeps the targets, is late.
Test(streamforecast, streamWaitsWhileAllWouldBeLate)
{
    const EngineTimes times;
    const std::vector<StreamOption> options {optionAt("a", 1.7, 4000, 1),
                                             optionAt("b", 1.7, 9000, 0)};
    const auto held = chooseForStream(options, times, shortPrompt(true), 0.5, 3);
    cr_expect_not(held.choice.endpoint.has_value());
    cr_expect(held.kind == StreamChoiceKind::Held);
    cr_expect(held.choice.reason == NoEndpointReason::AllFull);
    const auto sent = chooseForStream(options, times, shortPrompt(false), 0.5, 3);
    cr_expect(sent.choice.endpoint.has_value());
}

// Slow is not failed: an endpoint that is slow and alone serves all streams.
Test(streamforecast, slowEndpointServesIfItIsAlone)
{
    const EngineTimes times;
    const auto chosen
        = chooseForStream({optionAt("slow", 20, 0, 0)}, times, shortPrompt(false), 0.5, 3);
    cr_expect(chosen.choice.endpoint.has_value());
}

// A target that no endpoint can keep delays all streams if they wait for it.
Test(streamforecast, streamDoesNotWaitForTargetsThatNothingKeeps)
{
    StreamDemand demand = shortPrompt(true);
    demand.targetGap = milliseconds(20);
    demand.mayAwaitShare = true;
    const auto chosen
        = chooseForStream({optionAt("a", 1, 0, 1), optionAt("b", 1, 0, 0)}, {}, demand, 0.5, 3);
    cr_expect(chosen.choice.endpoint.has_value());
}
