#include "decisions/endpointchooser.h"

namespace jackdawlead::decisions {

namespace {

double distanceCost(Distance distance, const EndpointChooserLimits &limits)
{
    switch (distance) {
    case Distance::SameDomain:
        return 0;
    case Distance::SameRegion:
        return limits.otherDomain;
    case Distance::OtherRegion:
        break;
    }
    return limits.otherRegion;
}

const EndpointOption *best(const std::vector<EndpointOption> &options, double draw, bool isPicky,
                           const EndpointChooserLimits &limits)
{
    const EndpointOption *chosen = nullptr;
    double least = 0;
    // Ties are common while endpoints are idle; starting at another place each time spreads them.
    const auto offset = static_cast<std::size_t>(draw * static_cast<double>(options.size()));
    for (std::size_t index = 0; index < options.size(); ++index) {
        const EndpointOption &option = options[(index + offset) % options.size()];
        if (isPicky && (option.isPassedOver || option.wasTried))
            continue;
        const double fill = option.load / option.slots;
        if (fill >= limits.fullAt || option.readingTokens >= limits.mostReadingTokens)
            continue;
        const double cost = fill + distanceCost(option.distance, limits)
            + option.readingTokens * limits.perReadingToken;
        if (chosen == nullptr || cost < least) {
            chosen = &option;
            least = cost;
        }
    }
    return chosen;
}

} // namespace

EndpointChoice chooseEndpoint(const std::vector<EndpointOption> &options, double draw,
                              const EndpointChooserLimits &limits)
{
    if (options.empty())
        return {std::nullopt, NoChoice::NoEndpoint};
    const EndpointOption *chosen = best(options, draw, true, limits);
    if (chosen == nullptr)
        chosen = best(options, draw, false, limits);
    if (chosen == nullptr)
        return {std::nullopt, NoChoice::AllFull};
    return {chosen->endpoint, {}};
}

} // namespace jackdawlead::decisions
