#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <vector>

namespace jackdawlead::decisions {

/// A daemon that could forward changes in the store to the other daemons of its failure domain.
struct RelayCandidate
{
    core::HostId host;
    core::FailureDomainId domain;
    double availableCores = 1; ///< CPU cores that the daemon may use.
    bool isCoordinator = false;
    bool isInTouch = true; ///< Reaches the store, directly or through another daemon.
};

/// Selects one daemon in each failure domain as the relay through which the others follow the
/// store. A relay is kept while it is present and reaches the store, since each change costs the
/// other daemons one call to the store. Thread safety: one thread at a time.
class RelaySelector
{
public:
    /// Updates the selection for the daemons that are present now.
    void update(const std::vector<RelayCandidate> &present, core::TimePoint now);
    /// The relay of the domain; nullptr if its daemons call the store directly.
    const core::HostId *relayOf(const core::FailureDomainId &domain) const;
    /// The relay of another domain, in the same region if there is one, that replaces the domain's
    /// own relay; nullptr if there is none. Each domain gets the next one in cyclic order, so that
    /// no relay is the spare of all other domains.
    const core::HostId *
    spareRelayOf(const core::FailureDomainId &domain,
                 const std::map<core::FailureDomainId, core::RegionId> &regions) const;

    /// With fewer daemons in a domain a relay saves hardly any calls and makes them depend on one
    /// another.
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
