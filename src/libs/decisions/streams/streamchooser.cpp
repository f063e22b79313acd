#include "decisions/streams/streamchooser.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::decisions::streams {

namespace {

StreamRating ratingOf(const StreamOption &option, const StreamPrediction &prediction,
                      const EngineTimes &times)
{
    return {.capacity
            = streamCapacity(option.state.slots, option.state.timeFactor, times.typicalFactor()),
            .cost = prediction.usedBudget,
            .keepsTargets = prediction.keepsTargets};
}

/// Whether a part of the endpoint is meant for this daemon and a slot is free.
bool hasUsableShare(const StreamOption &option)
{
    return option.state.share > 0 && option.state.requests < option.state.slots
        && !option.option.isEjected && !option.option.wasTried && !option.option.needsPermit;
}

/// Whether the targets are kept there once all prompts are read; otherwise waiting for it is no
/// use.
bool keepsTargetsWhenIdle(const StreamOption &option, const EngineTimes &times,
                          const StreamDemand &demand)
{
    EndpointState idle = option.state;
    idle.ownTokens = 0;
    idle.otherTokens = 0;
    return predictStream(times, demand, idle).keepsTargets;
}

EndpointChoice chooseOwnPart(const std::vector<StreamOption> &options, const EngineTimes &times,
                             const StreamDemand &demand, double draw)
{
    std::vector<EndpointOption> shared;
    for (const StreamOption &option : options) {
        if (!hasUsableShare(option))
            continue;
        const StreamPrediction prediction = predictStream(times, demand, option.state);
        if (!prediction.keepsShare)
            continue;
        shared.push_back(option.option);
        shared.back().stream = ratingOf(option, prediction, times);
    }
    return chooseEndpoint(shared, draw);
}

} // namespace

StreamChoice chooseForStream(std::vector<StreamOption> options, const EngineTimes &times,
                             const StreamDemand &demand, double draw, double unreportedPerEndpoint)
{
    if (EndpointChoice own = chooseOwnPart(options, times, demand, draw); own.endpoint)
        return {std::move(own), StreamChoiceKind::Share};
    const auto mayKeepTargets
        = [&](const StreamOption &option) { return keepsTargetsWhenIdle(option, times, demand); };
    if (demand.mayAwaitShare && std::ranges::any_of(options, [&](const StreamOption &option) {
            return hasUsableShare(option) && mayKeepTargets(option);
        }))
        return {{std::nullopt, NoEndpointReason::AllFull, {}}, StreamChoiceKind::Held};
    const bool mayWait = demand.mayAwaitTargets && std::ranges::any_of(options, mayKeepTargets);
    std::vector<EndpointOption> all;
    all.reserve(options.size());
    for (StreamOption &option : options) {
        StreamRating rating = ratingOf(option, predictStream(times, demand, option.state), times);
        rating.keepsTargets |= !mayWait;
        option.option.stream = rating;
        all.push_back(std::move(option.option));
    }
    EndpointChoice choice = chooseEndpoint(all, draw, unreportedPerEndpoint);
    const bool isChosen = choice.endpoint.has_value();
    return {std::move(choice), isChosen ? StreamChoiceKind::Other : StreamChoiceKind::Held};
}

} // namespace jackdawlead::decisions::streams
