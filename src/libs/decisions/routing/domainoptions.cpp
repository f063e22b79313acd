#include "decisions/routing/domainoptions.h"

#include <algorithm>

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

void DomainOptions::add(const EndpointOption &option, const core::FailureDomainId &domain,
                        double ownLoad)
{
    auto state = std::ranges::find(m_domains, domain, &DomainState::domain);
    if (state == m_domains.end())
        state = m_domains.insert(state, {domain, option.distance});
    m_domainOf.push_back(static_cast<std::size_t>(state - m_domains.begin()));
    if (option.isEjected || option.wasTried)
        return;
    state->slots += option.slots;
    state->load += option.load;
    state->ownLoad += ownLoad;
}

double DomainOptions::applyCosts(std::vector<EndpointOption> &options,
                                 const core::FailureDomainId &domain) const
{
    double chosen = 0;
    for (std::size_t index = 0; index < options.size(); ++index) {
        const DomainState &state = m_domains[m_domainOf[index]];
        const bool isChosen = state.domain == domain;
        options[index].distanceCost = isChosen ? 0 : costOf(state.distance);
        chosen += isChosen ? 1 : 0;
    }
    return chosen > 0 ? chosen / static_cast<double>(options.size()) : 1;
}

} // namespace jackdawlead::decisions
