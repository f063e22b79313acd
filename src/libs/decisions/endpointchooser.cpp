#include "decisions/endpointchooser.h"

#include <algorithm>

namespace jackdawlead::decisions {

namespace {

double distanceCost(Distance distance, const EndpointChooserLimits &limits)
{
    switch (distance) {
    case Distance::SameDomain:
        return 0;
    case Distance::SameRegion:
        return limits.crossDomainCost;
    case Distance::OtherRegion:
        break;
    }
    return limits.crossRegionCost;
}

struct Candidate
{
    const EndpointOption *option = nullptr;
    double cost = 0; ///< In fill.
};

std::vector<Candidate> candidatesOf(const std::vector<EndpointOption> &options, bool isPicky,
                                    const EndpointChooserLimits &limits)
{
    std::vector<Candidate> candidates;
    candidates.reserve(options.size());
    for (const EndpointOption &option : options) {
        if (isPicky && (option.isEjected || option.wasTried))
            continue;
        const double fill = option.load / option.slots;
        if (fill >= limits.maxUtilization
            || option.pendingPrefillTokens >= limits.maxPendingPrefillTokens)
            continue;
        candidates.push_back({&option,
                              fill + distanceCost(option.distance, limits)
                                  + (option.isConnected ? 0 : limits.newConnectionCost)
                                  + option.pendingPrefillTokens * limits.prefillTokenCost});
    }
    return candidates;
}

/// The cost up to which `unseen` requests fill the candidates, the cheapest first. The candidates
/// are sorted by cost.
double fillLevel(const std::vector<Candidate> &candidates, double unseen)
{
    double slots = 0;
    double level = candidates.front().cost;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const double next = candidates[index].cost;
        const double needed = (next - level) * slots;
        if (needed >= unseen)
            break;
        unseen -= needed;
        level = next;
        slots += candidates[index].option->slots;
    }
    return slots > 0 ? level + unseen / slots : level;
}

const EndpointOption *leastOf(const std::vector<Candidate> &candidates, double draw)
{
    // Ties are common while endpoints are idle; the draw spreads them.
    const auto ties = std::ranges::count(candidates, candidates.front().cost, &Candidate::cost);
    return candidates[static_cast<std::size_t>(draw * static_cast<double>(ties))].option;
}

// Load interpretation (Dahlin): what others sent since the loads were told is assumed to have gone
// where it should, so that each candidate is drawn by what is missing there.
const EndpointOption *best(std::vector<Candidate> candidates, double draw, double unseenPerEndpoint)
{
    if (candidates.empty())
        return nullptr;
    std::ranges::stable_sort(candidates, {}, &Candidate::cost);
    const double level
        = fillLevel(candidates, unseenPerEndpoint * static_cast<double>(candidates.size()));
    double total = 0;
    for (const Candidate &candidate : candidates)
        total += std::max(0.0, level - candidate.cost) * candidate.option->slots;
    if (total <= 0)
        return leastOf(candidates, draw);
    double left = draw * total;
    for (const Candidate &candidate : candidates) {
        left -= std::max(0.0, level - candidate.cost) * candidate.option->slots;
        if (left < 0)
            return candidate.option;
    }
    return candidates.front().option;
}

} // namespace

EndpointChoice chooseEndpoint(const std::vector<EndpointOption> &options, double draw,
                              double unseenPerEndpoint, const EndpointChooserLimits &limits)
{
    if (options.empty())
        return {std::nullopt, NoEndpointReason::NoCandidates};
    const EndpointOption *chosen
        = best(candidatesOf(options, true, limits), draw, unseenPerEndpoint);
    if (chosen == nullptr)
        chosen = best(candidatesOf(options, false, limits), draw, unseenPerEndpoint);
    if (chosen == nullptr)
        return {std::nullopt, NoEndpointReason::AllFull};
    return {chosen->endpoint, {}};
}

} // namespace jackdawlead::decisions
