#include "decisions/routing/domainoptions.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::decisions::routing {

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

DomainOptions::DomainOptions(const std::vector<EndpointOption> &options)
{
    m_domainOf.reserve(options.size());
    std::size_t last = 0;
    for (const EndpointOption &option : options) {
        last = indexOf(option, last);
        m_domainOf.push_back(last);
        if (option.isEjected || option.wasTried)
            continue;
        DomainState &state = m_domains[last];
        state.slots += option.slots;
        state.load += option.load;
        state.ownLoad += option.ownLoad;
    }
}

std::size_t DomainOptions::indexOf(const EndpointOption &option, std::size_t expected)
{
    if (expected < m_domains.size() && m_domains[expected].domain == *option.domain)
        return expected;
    const auto found = std::ranges::find(m_domains, *option.domain, &DomainState::domain);
    const auto index = static_cast<std::size_t>(found - m_domains.begin());
    if (found == m_domains.end())
        m_domains.push_back({*option.domain, option.distance});
    return index;
}

double DomainOptions::applyDecision(std::vector<EndpointOption> &options,
                                    const OverflowDecision &decision) const
{
    std::vector<double> costs;
    costs.reserve(m_domains.size());
    for (const DomainState &state : m_domains) {
        const bool isChosen = state.distance == decision.distance
            && (!decision.domain || state.domain == *decision.domain);
        costs.push_back(isChosen ? 0 : costOf(state.distance));
    }
    std::size_t kept = 0;
    double chosen = 0;
    for (std::size_t index = 0; index < options.size(); ++index) {
        const std::size_t domain = m_domainOf[index];
        if (decision.excludesFarther && m_domains[domain].distance > decision.distance)
            continue;
        options[index].distanceCost = costs[domain];
        chosen += costs[domain] > 0 ? 0 : 1;
        if (kept != index)
            options[kept] = std::move(options[index]);
        ++kept;
    }
    options.resize(kept);
    return chosen > 0 ? chosen / static_cast<double>(kept) : 1;
}

} // namespace jackdawlead::decisions::routing
