#pragma once

#include "decisions/routing/domainstate.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace jackdawlead::decisions::routing {

/// Groups the endpoints that could take one request by their failure domain. Thread safety: one
/// thread at a time.
class DomainOptions
{
public:
    /// Options that are ejected or were tried belong to their domain, but don't count as capacity.
    /// Precondition: each option states its domain.
    explicit DomainOptions(const std::vector<EndpointOption> &options);
    const std::vector<DomainState> &domains() const { return m_domains; }
    /// Sets costs that make the chooser prefer the domain of the decision, then the others by
    /// distance, and removes the options that the decision excludes. Returns the chosen part of
    /// the options. Precondition: `options` are those of the constructor.
    double applyDecision(std::vector<EndpointOption> &options,
                         const OverflowDecision &decision) const;

private:
    /// Index in m_domains of the option's domain, which is added if it is new.
    std::size_t indexOf(const EndpointOption &option, std::size_t expected);

    std::vector<DomainState> m_domains;
    std::vector<std::size_t> m_domainOf; ///< Index in m_domains for each option.
};

} // namespace jackdawlead::decisions::routing
