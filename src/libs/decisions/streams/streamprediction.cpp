#include "decisions/streams/streamprediction.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace jackdawlead::decisions::streams {

namespace {

// Part of the targets that predictions may use; links and the daemons' own work take the rest.
constexpr double usableShare = 0.9;
// A slow endpoint has less time for prompts in each gap and holds its streams for longer.
constexpr double capacityExponent = 1.3;
// Sound endpoints of a deployment differ by a factor of 2.5.
constexpr double slowRatio = 3;
constexpr double slowCapacityShare = 0.25;

} // namespace

StreamPrediction predictStream(const EngineTimes &times, const StreamDemand &demand,
                               const EndpointState &endpoint)
{
    const double factor = endpoint.timeFactor;
    const double batch = std::min<double>(endpoint.requests + 1, endpoint.slots);
    const core::Duration pause = core::scaled(times.pause(batch), factor);
    const double secondsPerToken = core::toSeconds(times.readTime(1000)) * factor / 1000;
    const core::Duration usableGap = core::scaled(demand.targetGap, usableShare);
    const double usableTokens = std::max(0.0, core::toSeconds(usableGap - pause)) / secondsPerToken;
    const double ownTokens = endpoint.ownTokens + demand.promptTokens;
    StreamPrediction prediction;
    const auto reading = std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>((ownTokens + endpoint.otherTokens) * secondsPerToken));
    prediction.gap = pause + reading;
    prediction.firstEvent = reading + pause / 2;
    prediction.usedBudget = usableTokens > 0 ? ownTokens / usableTokens : ownTokens;
    prediction.keepsTargets = prediction.gap <= usableGap
        && prediction.firstEvent <= core::scaled(demand.timeLeft, usableShare);
    prediction.keepsShare = prediction.keepsTargets
        && (endpoint.ownTokens == 0 || prediction.usedBudget <= endpoint.share);
    return prediction;
}

double streamCapacity(int slots, double timeFactor, double typicalFactor)
{
    const double capacity = slots * std::pow(timeFactor, -capacityExponent);
    return timeFactor > typicalFactor * slowRatio ? capacity * slowCapacityShare : capacity;
}

double typicalFactorOf(std::vector<double> timeFactors)
{
    if (timeFactors.empty())
        return 1;
    const auto middle
        = timeFactors.begin() + static_cast<std::ptrdiff_t>((timeFactors.size() - 1) / 2);
    std::ranges::nth_element(timeFactors, middle);
    return *middle;
}

} // namespace jackdawlead::decisions::streams
