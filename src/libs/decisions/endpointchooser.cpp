#include "decisions/endpointchooser.h"

#include <algorithm>
#include <cmath>

namespace jackdawlead::decisions {

namespace {

// Other domains, regions and new connections cost money, so that a stream's weight falls to less
// than a quarter for each 0.1 of such a cost.
constexpr double streamPlaceWeight = 15;

double distanceCost(const EndpointOption &option, const EndpointChooserLimits &limits)
{
    if (option.distanceCost)
        return *option.distanceCost;
    switch (option.distance) {
    case Distance::SameDomain:
        return 0;
    case Distance::SameRegion:
        return limits.crossDomainCost;
    case Distance::OtherRegion:
        break;
    }
    return limits.crossRegionCost;
}

bool takesPrompt(const EndpointOption &option, const EndpointChooserLimits &limits)
{
    return option.stream ? option.stream->keepsTargets
                         : option.pendingPrefillTokens < limits.maxPendingPrefillTokens;
}

double promptCost(const EndpointOption &option, const EndpointChooserLimits &limits)
{
    return option.stream ? option.stream->cost
                         : option.pendingPrefillTokens * limits.prefillTokenCost;
}

/// For the comparison of endpoints; the limit of the utilization applies to the slots.
double capacityOf(const EndpointOption &option)
{
    return option.stream ? option.stream->capacity : option.slots;
}

struct Candidate
{
    const EndpointOption *option = nullptr;
    double cost = 0;      ///< In utilization.
    double placeCost = 0; ///< The part of it for distance and connection.
};

std::vector<Candidate> candidatesOf(const std::vector<EndpointOption> &options, bool excludesFailed,
                                    const EndpointChooserLimits &limits)
{
    std::vector<Candidate> candidates;
    candidates.reserve(options.size());
    for (const EndpointOption &option : options) {
        if (excludesFailed && (option.isEjected || option.wasTried))
            continue;
        const double utilization = option.load / option.slots;
        const double maxUtilization
            = option.mustNotRefuse ? limits.maxUtilizationWithoutQueue : limits.maxUtilization;
        if (utilization >= maxUtilization || !takesPrompt(option, limits))
            continue;
        const double distance = distanceCost(option, limits);
        const double connection = option.isConnected ? 0 : limits.newConnectionCost;
        candidates.push_back(
            {&option,
             option.load / capacityOf(option) + distance + connection + promptCost(option, limits),
             distance + connection});
    }
    return candidates;
}

/// The cost level that the candidates reach when `unreported` requests fill them, the cheapest
/// first. The candidates are sorted by cost.
double waterFillingLevel(const std::vector<Candidate> &candidates, double unreported)
{
    double slots = 0;
    double level = candidates.front().cost;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const double next = candidates[index].cost;
        const double needed = (next - level) * slots;
        if (needed >= unreported)
            break;
        unreported -= needed;
        level = next;
        slots += capacityOf(*candidates[index].option);
    }
    return slots > 0 ? level + unreported / slots : level;
}

const EndpointOption *drawAmongCheapest(const std::vector<Candidate> &candidates, double draw)
{
    // Ties are common while endpoints are idle, so the draw chooses among them.
    const auto ties = std::ranges::count(candidates, candidates.front().cost, &Candidate::cost);
    return candidates[static_cast<std::size_t>(draw * static_cast<double>(ties))].option;
}

// Loads and prompts of other daemons that were reported some hundred milliseconds ago say little
// about the next prompt, so that streams are spread by what the endpoints can take.
const EndpointOption *drawByCapacity(const std::vector<Candidate> &candidates, double draw)
{
    std::vector<double> weights;
    weights.reserve(candidates.size());
    double total = 0;
    for (const Candidate &candidate : candidates) {
        weights.push_back(
            capacityOf(*candidate.option)
            * std::exp(-candidate.cost - (streamPlaceWeight - 1) * candidate.placeCost));
        total += weights.back();
    }
    double remaining = draw * total;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        remaining -= weights[index];
        if (remaining < 0)
            return candidates[index].option;
    }
    return candidates.empty() ? nullptr : candidates.back().option;
}

// Load interpretation (Dahlin): requests that other daemons sent since the loads were reported are
// assumed to have filled the cheapest candidates up to a common level. Each candidate is drawn with
// a probability proportional to the gap between its cost and that level.
const EndpointOption *drawCandidate(std::vector<Candidate> candidates, double draw,
                                    double unreportedPerEndpoint)
{
    if (candidates.empty())
        return nullptr;
    if (candidates.front().option->stream && unreportedPerEndpoint > 0)
        return drawByCapacity(candidates, draw);
    std::ranges::stable_sort(candidates, {}, &Candidate::cost);
    const double level = waterFillingLevel(
        candidates, unreportedPerEndpoint * static_cast<double>(candidates.size()));
    double total = 0;
    for (const Candidate &candidate : candidates)
        total += std::max(0.0, level - candidate.cost) * capacityOf(*candidate.option);
    if (total <= 0)
        return drawAmongCheapest(candidates, draw);
    double remaining = draw * total;
    for (const Candidate &candidate : candidates) {
        remaining -= std::max(0.0, level - candidate.cost) * capacityOf(*candidate.option);
        if (remaining < 0)
            return candidate.option;
    }
    return candidates.front().option;
}

const EndpointOption *chooseOption(const std::vector<EndpointOption> &options, double draw,
                                   double unreportedPerEndpoint,
                                   const EndpointChooserLimits &limits)
{
    const EndpointOption *chosen
        = drawCandidate(candidatesOf(options, true, limits), draw, unreportedPerEndpoint);
    return chosen != nullptr
        ? chosen
        : drawCandidate(candidatesOf(options, false, limits), draw, unreportedPerEndpoint);
}

} // namespace

EndpointChoice chooseEndpoint(const std::vector<EndpointOption> &options, double draw,
                              double unreportedPerEndpoint, const EndpointChooserLimits &limits)
{
    if (options.empty())
        return {std::nullopt, NoEndpointReason::NoCandidates, {}};
    const EndpointOption *preferred = chooseOption(options, draw, unreportedPerEndpoint, limits);
    if (preferred == nullptr)
        return {std::nullopt, NoEndpointReason::AllFull, {}};
    if (!preferred->needsPermit)
        return {preferred->endpoint, {}, {}};
    std::vector<EndpointOption> usable = options;
    std::erase_if(usable, &EndpointOption::needsPermit);
    const EndpointOption *chosen = chooseOption(usable, draw, unreportedPerEndpoint, limits);
    if (chosen == nullptr)
        return {std::nullopt, NoEndpointReason::RateLimited, preferred->endpoint};
    return {chosen->endpoint, {}, preferred->endpoint};
}

} // namespace jackdawlead::decisions
