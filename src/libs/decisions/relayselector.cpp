#include "decisions/relayselector.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace jackdawlead::decisions {

namespace {

// A former relay reaches the store through the next relay long before it reaches the store
// directly, so that it seems usable too early.
constexpr core::Duration avoidancePeriod = std::chrono::seconds(10);

/// Prefers daemons other than the coordinator, which has the highest load, then those with the most
/// cores.
bool isBetter(const RelayCandidate &left, const RelayCandidate &right)
{
    return std::tie(left.isCoordinator, right.availableCores, left.host)
        < std::tie(right.isCoordinator, left.availableCores, right.host);
}

} // namespace

bool RelaySelector::isUsable(const RelayCandidate &candidate, core::TimePoint now) const
{
    const auto avoided = m_avoidedUntil.find(candidate.host);
    return candidate.isInTouch && (avoided == m_avoidedUntil.end() || avoided->second <= now);
}

void RelaySelector::update(const std::vector<RelayCandidate> &present, core::TimePoint now)
{
    std::map<core::FailureDomainId, Candidates> domains;
    for (const RelayCandidate &candidate : present)
        domains[candidate.domain].push_back(candidate);
    std::erase_if(m_relays, [&domains](const auto &entry) {
        const auto daemons = domains.find(entry.first);
        return daemons == domains.end() || daemons->second.size() < minDaemons;
    });
    std::erase_if(m_avoidedUntil, [now](const auto &entry) { return entry.second <= now; });
    for (const auto &[domain, daemons] : domains) {
        if (daemons.size() >= minDaemons)
            updateDomain(domain, daemons, now);
    }
}

void RelaySelector::updateDomain(const core::FailureDomainId &domain, const Candidates &daemons,
                                 core::TimePoint now)
{
    Candidates usable;
    std::ranges::copy_if(daemons, std::back_inserter(usable),
                         [&](const RelayCandidate &daemon) { return isUsable(daemon, now); });
    const auto relay = m_relays.find(domain);
    if (relay != m_relays.end()) {
        const auto current = std::ranges::find(daemons, relay->second, &RelayCandidate::host);
        const bool isPresent = current != daemons.end();
        // While no daemon reaches the store, a change of the relay is useless.
        if (isPresent && (current->isInTouch || usable.empty()))
            return;
        if (isPresent)
            m_avoidedUntil[relay->second] = now + avoidancePeriod;
    }
    const Candidates &candidates = usable.empty() ? daemons : usable;
    m_relays[domain] = std::ranges::min_element(candidates, isBetter)->host;
}

const core::HostId *RelaySelector::relayOf(const core::FailureDomainId &domain) const
{
    const auto found = m_relays.find(domain);
    return found == m_relays.end() ? nullptr : &found->second;
}

const core::HostId *
RelaySelector::spareRelayOf(const core::FailureDomainId &domain,
                            const std::map<core::FailureDomainId, core::RegionId> &regions) const
{
    const auto regionOf = [&regions](const core::FailureDomainId &id) {
        const auto found = regions.find(id);
        return found == regions.end() ? core::RegionId() : found->second;
    };
    const core::RegionId region = regionOf(domain);
    const core::HostId *fallback = nullptr;
    auto next = m_relays.upper_bound(domain);
    for (std::size_t visited = 0; visited < m_relays.size(); ++visited, ++next) {
        if (next == m_relays.end())
            next = m_relays.begin();
        if (next->first == domain)
            continue;
        if (regionOf(next->first) == region)
            return &next->second;
        if (fallback == nullptr)
            fallback = &next->second;
    }
    return fallback;
}

} // namespace jackdawlead::decisions
