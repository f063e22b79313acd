#include "decisions/streams/streamprediction.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace jackdawlead::decisions::streams {

namespace {

// Part of the targets that predictions may use; links and the daemons' own work take the rest.
constexpr double usableShare = 0.9;
// In seconds; keeps the used part of a gap finite where the pauses alone fill it.
constexpr double minUsableReading = 0.001;
// A part may be smaller than a prompt, so that one may exceed it while hardly any other is read.
constexpr double excessOfOnePrompt = 0.5;
constexpr double fewTokens = 50;
// Sound endpoints of a deployment differ by a factor of 2.5.
constexpr double slowRatio = 3;
constexpr double slowCapacityShare = 0.25;

core::Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

StreamPrediction predictStream(const EngineTimes &times, const StreamDemand &demand,
                               const EndpointState &endpoint)
{
    const double batch = std::min<double>(endpoint.requests + 1, endpoint.slots);
    const double pause = times.pauseSeconds(batch) * endpoint.timeFactor;
    const double perToken = times.readSecondsPerToken() * endpoint.timeFactor;
    const double ownReading = (endpoint.ownTokens + demand.promptTokens) * perToken;
    const double reading = ownReading + endpoint.otherTokens * perToken;
    const double usableGap = core::toSeconds(demand.targetGap) * usableShare;
    const double usableReading = std::max(minUsableReading, usableGap - pause);
    StreamPrediction prediction;
    prediction.gap = fromSeconds(pause + reading);
    prediction.firstEvent = fromSeconds(reading + pause / 2);
    prediction.usedBudget = ownReading / usableReading;
    prediction.keepsTargets = pause + reading <= usableGap
        && reading + pause / 2 <= core::toSeconds(demand.timeLeft) * usableShare;
    prediction.keepsShare = prediction.keepsTargets
        && prediction.usedBudget
            <= endpoint.share + (endpoint.ownTokens < fewTokens ? excessOfOnePrompt : 0);
    return prediction;
}

double streamCapacity(int slots, double timeFactor, double typicalFactor)
{
    const double ratio = timeFactor / typicalFactor;
    const double capacity = slots / (ratio * std::sqrt(ratio));
    return ratio > slowRatio ? capacity * slowCapacityShare : capacity;
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
