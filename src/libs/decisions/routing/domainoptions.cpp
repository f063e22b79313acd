#include "decisions/routing/domainoptions.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::decisions {

namespace {

// In utilization, which is at most 1.6 for an endpoint that takes requests: an option of a domain
// with a higher cost is used only if there is no other.
constexpr double costStep = 10;

double costOf(Distance distance)
{
    switch (distance) {
    case Distance::SameDomain:
        return costStep;
    case Distance::SameRegion:
        return 2 * costStep;
    case Distance::OtherRegion:
        break;
    }
    return 3 * costStep;
}

} // namespace

void DomainOptions::add(const EndpointOption &option, const core::FailureDomainId &domain)
{
    auto state = std::ranges::find(m_domains, domain, &DomainState::domain);
    if (state == m_domains.end())
        state = m_domains.insert(state, {domain, option.distance});
    m_domainOf.push_back(static_cast<std::size_t>(state - m_domains.begin()));
    if (option.isEjected || option.wasTried)
        return;
    state->slots += option.slots;
    state->load += option.load;
    state->ownLoad += option.ownLoad;
}

double DomainOptions::applyDecision(std::vector<EndpointOption> &options,
                                    const OverflowDecision &decision) const
{
    std::size_t kept = 0;
    double chosen = 0;
    for (std::size_t index = 0; index < options.size(); ++index) {
        const DomainState &state = m_domains[m_domainOf[index]];
        if (decision.excludesFarther && state.distance > decision.distance)
            continue;
        const bool isChosen = state.distance == decision.distance
            && (!decision.domain || state.domain == *decision.domain);
        options[index].distanceCost = isChosen ? 0 : costOf(state.distance);
        chosen += isChosen ? 1 : 0;
        if (kept != index)
            options[kept] = std::move(options[index]);
        ++kept;
    }
    options.resize(kept);
    return chosen > 0 ? chosen / static_cast<double>(kept) : 1;
}

} // namespace jackdawlead::decisions
