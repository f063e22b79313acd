#include "decisions/streams/streamprediction.h"

#include <algorithm>
#include <cmath>

namespace jackdawlead::decisions::streams {

namespace {

// Part of the targets that predictions may use; links and the daemons' own work take the rest.
constexpr double usableShare = 0.9;
// Other daemons' prompts arrive independently; at least one short prompt must be expected although
// none is known.
constexpr double minOtherTokens = 100;
constexpr double gapWeight = 0.5;  ///< Of the expected gap, in utilization.
constexpr double riskWeight = 2.0; ///< Of the probability that streams there are late.

} // namespace

StreamPrediction predictStream(const EngineTimes &times, const StreamDemand &demand,
                               const EndpointState &endpoint)
{
    const double factor = endpoint.timeFactor;
    const double batch = std::min<double>(endpoint.requests + 1, endpoint.slots);
    const core::Duration pause = core::scaled(times.pause(batch), factor);
    const double tokens = endpoint.ownTokens + endpoint.otherTokens + demand.promptTokens;
    const core::Duration reading = core::scaled(times.readTime(tokens), factor);
    StreamPrediction prediction;
    prediction.gap = pause + reading;
    prediction.firstEvent = reading + pause / 2;
    const double gapShare
        = core::toSeconds(prediction.gap) / (core::toSeconds(demand.targetGap) * usableShare);
    const double certainTokens = endpoint.ownTokens + demand.promptTokens;
    const double usableTokens
        = (core::toSeconds(demand.targetGap) * usableShare - core::toSeconds(pause))
        / (core::toSeconds(times.readTime(1000)) * factor / 1000);
    const double others = std::max(minOtherTokens, endpoint.otherTokens);
    const double risk = std::exp(-std::max(0.0, usableTokens - certainTokens) / others);
    prediction.cost = gapWeight * gapShare + riskWeight * risk;
    prediction.keepsTargets
        = gapShare <= 1 && prediction.firstEvent <= core::scaled(demand.timeLeft, usableShare);
    return prediction;
}

} // namespace jackdawlead::decisions::streams
