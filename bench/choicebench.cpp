#include "decisions/endpointchooser.h"
#include "decisions/streams/streamchooser.h"

#include <benchmark/benchmark.h>

#include <random>
#include <string>
#include <vector>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

constexpr unsigned seed = 7;
constexpr int slots = 32;
constexpr double unreportedPerEndpoint = 3.7; ///< 400 streams/s, 60 endpoints, loads 550 ms old.

std::vector<EndpointOption> optionsOf(int endpoints)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> load(4, 24);
    std::vector<EndpointOption> options;
    for (int index = 0; index < endpoints; ++index) {
        EndpointOption option;
        option.endpoint = core::EndpointId("i-0123456789-" + std::to_string(index));
        option.slots = slots;
        option.load = load(random);
        option.isConnected = index % 4 != 0;
        options.push_back(option);
    }
    return options;
}

void chooseByLoad(benchmark::State &state)
{
    const auto options = optionsOf(static_cast<int>(state.range(0)));
    double draw = 0;
    for (auto step : state) {
        // The finder makes the options for each choice.
        const std::vector<EndpointOption> candidates(options.begin(), options.end());
        benchmark::DoNotOptimize(chooseEndpoint(candidates, draw, unreportedPerEndpoint));
        draw = draw > 0.9 ? 0 : draw + 0.09;
    }
}

/// With `sharedEndpoints` of which a part is meant for the daemon.
void chooseByForecast(benchmark::State &state, int sharedEndpoints)
{
    const auto options = optionsOf(static_cast<int>(state.range(0)));
    const streams::EngineTimes times;
    const streams::StreamDemand demand {.promptTokens = 826,
                                        .targetGap = std::chrono::milliseconds(300),
                                        .timeLeft = std::chrono::milliseconds(900),
                                        .mayAwaitShare = false,
                                        .mayAwaitTargets = true};
    double draw = 0;
    for (auto step : state) {
        std::vector<streams::StreamOption> candidates;
        candidates.reserve(options.size());
        for (const EndpointOption &option : options) {
            const auto index = static_cast<int>(candidates.size());
            candidates.push_back({option,
                                  {.timeFactor = index % 3 == 2 ? 1.7 : 0.7,
                                   .slots = slots,
                                   .requests = option.load,
                                   .ownTokens = 0,
                                   .otherTokens = 400,
                                   .share = index < sharedEndpoints ? 0.7 : 0}});
        }
        benchmark::DoNotOptimize(streams::chooseForStream(std::move(candidates), times, demand,
                                                          draw, unreportedPerEndpoint));
        draw = draw > 0.9 ? 0 : draw + 0.09;
    }
}

} // namespace

// The processor time of one choice. Daemons have 0.09 to 0.5 of a core, and each waiting request
// chooses fifty times a second.
BENCHMARK(chooseByLoad)->Arg(6)->Arg(60);
BENCHMARK_CAPTURE(chooseByForecast, ownPart, 2)->Arg(6)->Arg(60);
BENCHMARK_CAPTURE(chooseByForecast, elsewhere, 0)->Arg(6)->Arg(60);
BENCHMARK_MAIN();
