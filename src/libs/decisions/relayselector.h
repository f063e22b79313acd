#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <vector>

namespace jackdawlead::decisions {

/// A daemon that could pass the store's news on to the others of its failure domain.
struct RelayCandidate
{
    core::HostId host;
    core::FailureDomainId domain;
    double availableCores = 1; ///< In cores.
    bool isCoordinator = false;
    bool isInTouch = true; ///< With the store, on whatever way.
};

/// Chooses one daemon in each failure domain through which the others follow the store. A relay
/// stays while it is present and in touch, since each change costs the others a turn to the store.
/// Thread safety: one thread at a time.
class RelaySelector
{
public:
    /// Takes the daemons that are present now.
    void update(const std::vector<RelayCandidate> &present, core::TimePoint now);
    /// The relay of the domain; nullptr if its daemons ask the store themselves.
    const core::HostId *relayOf(const core::FailureDomainId &domain) const;
    /// The relay of another domain, of the same region if it has one, that stands in for the
    /// domain's own; nullptr if there is none. Neighbours take turns, so that no relay stands in
    /// for all others.
    const core::HostId *
    spareRelayOf(const core::FailureDomainId &domain,
                 const std::map<core::FailureDomainId, core::RegionId> &regions) const;

    /// Fewer daemons than this in a domain save hardly a call and depend on one another for it.
    static constexpr int minDaemons = 4;

private:
    using Candidates = std::vector<RelayCandidate>;

    bool isUsable(const RelayCandidate &candidate, core::TimePoint now) const;
    void updateDomain(const core::FailureDomainId &domain, const Candidates &daemons,
                      core::TimePoint now);

    std::map<core::FailureDomainId, core::HostId> m_relays;
    std::map<core::HostId, core::TimePoint> m_avoidedUntil; ///< Relays that lost the store.
};

} // namespace jackdawlead::decisions
