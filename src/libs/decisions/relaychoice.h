#pragma once

#include "core/ids.h"

#include <map>
#include <vector>

namespace jackdawlead::decisions {

/// A daemon that could pass the store's news on to the others of its failure domain.
struct RelayCandidate
{
    core::HostId host;
    core::FailureDomainId domain;
    double processorShare = 1; ///< In cores.
    bool isCoordinator = false;
};

/// Chooses one daemon in each failure domain through which the others follow the store. A relay
/// stays while it is present, since each change costs the others a turn to the store.
/// Thread safety: one thread at a time.
class RelayChoice
{
public:
    /// Takes the daemons that are present now.
    void update(const std::vector<RelayCandidate> &present);
    /// The relay of the domain; nullptr if its daemons ask the store themselves.
    const core::HostId *relayOf(const core::FailureDomainId &domain) const;

    /// Fewer daemons than this in a domain save hardly a call and depend on one another for it.
    static constexpr int leastDaemons = 4;

private:
    std::map<core::FailureDomainId, core::HostId> m_relays;
};

} // namespace jackdawlead::decisions
