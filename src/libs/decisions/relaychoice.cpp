#include "decisions/relaychoice.h"

#include <algorithm>
#include <tuple>

namespace jackdawlead::decisions {

namespace {

/// The coordinator has most to do already; of the others the one with the largest share.
bool isBetter(const RelayCandidate &left, const RelayCandidate &right)
{
    return std::tie(left.isCoordinator, right.processorShare, left.host)
        < std::tie(right.isCoordinator, left.processorShare, right.host);
}

} // namespace

void RelayChoice::update(const std::vector<RelayCandidate> &present)
{
    std::map<core::FailureDomainId, std::vector<RelayCandidate>> domains;
    for (const RelayCandidate &candidate : present)
        domains[candidate.domain].push_back(candidate);
    std::erase_if(m_relays, [&domains](const auto &entry) {
        const auto daemons = domains.find(entry.first);
        return daemons == domains.end() || daemons->second.size() < leastDaemons
            || std::ranges::find(daemons->second, entry.second, &RelayCandidate::host)
            == daemons->second.end();
    });
    for (const auto &[domain, daemons] : domains) {
        if (daemons.size() >= leastDaemons && !m_relays.contains(domain))
            m_relays[domain] = std::ranges::min_element(daemons, isBetter)->host;
    }
}

const core::HostId *RelayChoice::relayOf(const core::FailureDomainId &domain) const
{
    const auto found = m_relays.find(domain);
    return found == m_relays.end() ? nullptr : &found->second;
}

} // namespace jackdawlead::decisions
