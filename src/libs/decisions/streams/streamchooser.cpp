#include "decisions/streams/streamchooser.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::decisions::streams {

StreamChoice chooseForStream(std::vector<StreamOption> options, const EngineTimes &times,
                             const StreamDemand &demand, bool mayWait, double draw,
                             double unreportedPerEndpoint)
{
    // Costs are in utilization, so that the capacities have to be slots on average.
    double slots = 0;
    double capacity = 0;
    std::vector<double> factors;
    factors.reserve(options.size());
    for (const StreamOption &option : options)
        factors.push_back(option.state.timeFactor);
    const double typicalFactor = typicalFactorOf(std::move(factors));
    for (StreamOption &option : options) {
        option.option.stream.emplace();
        option.option.stream->capacity
            = streamCapacity(option.state.slots, option.state.timeFactor, typicalFactor);
        slots += option.state.slots;
        capacity += option.option.stream->capacity;
    }
    std::vector<EndpointOption> shared;
    std::vector<EndpointOption> all;
    all.reserve(options.size());
    for (StreamOption &option : options) {
        const StreamPrediction prediction = predictStream(times, demand, option.state);
        StreamRating &rating = *option.option.stream;
        rating.capacity *= slots / capacity;
        rating.cost = prediction.usedBudget;
        rating.keepsTargets = prediction.keepsTargets || !mayWait;
        if (option.state.share > 0 && prediction.keepsShare && !option.option.isEjected
            && !option.option.wasTried)
            shared.push_back(option.option);
        all.push_back(std::move(option.option));
    }
    EndpointChoice choice = chooseEndpoint(shared, draw);
    if (choice.endpoint)
        return {std::move(choice), StreamChoiceKind::Share};
    choice = chooseEndpoint(all, draw, unreportedPerEndpoint);
    const bool isChosen = choice.endpoint.has_value();
    return {std::move(choice), isChosen ? StreamChoiceKind::Other : StreamChoiceKind::Held};
}

} // namespace jackdawlead::decisions::streams
