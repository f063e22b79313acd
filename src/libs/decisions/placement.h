#pragma once

#include "core/ids.h"

#include <cstddef>
#include <vector>

namespace jackdawlead::decisions {

/// An endpoint that may serve an adapter.
struct PlacementCandidate
{
    core::EndpointId endpoint;
    double weight = 1.0; ///< Relative capacity; greater than zero.
    int outstanding = 0; ///< Requests that this daemon has sent there and not yet settled.
    bool isHomeRegion = true;
};

struct PlacementLimits
{
    /// An endpoint above this multiple of the mean outstanding work passes requests on.
    double boundedLoadFactor = 1.5;
    /// Below this number of outstanding requests an endpoint is never passed over. A pass-over
    /// costs a load, which pays only when the batch of the home is well filled.
    int boundedLoadFloor = 32;
};

/// Orders all candidates by weighted rendezvous hash; candidates of the home region come first.
/// The same candidates give the same order on every daemon. Thread safety: any thread.
std::vector<PlacementCandidate> rendezvousOrder(const core::AdapterVersion &adapter,
                                                std::vector<PlacementCandidate> candidates);

/// Chooses the endpoints to try, in order. The first `activeHomes` of the rendezvous order share
/// the traffic by least outstanding work; an endpoint over the bound is tried after the others.
/// Precondition: activeHomes is at least 1. Thread safety: any thread.
std::vector<core::EndpointId> placementOrder(const core::AdapterVersion &adapter,
                                             const std::vector<PlacementCandidate> &candidates,
                                             std::size_t activeHomes,
                                             const PlacementLimits &limits);

/// The same with one active home, which the owner of the first home named
/// (PreferredEndpointSelector). It is tried first while it is within the bound. Thread safety: any
/// thread.
std::vector<core::EndpointId> placementOrder(const core::AdapterVersion &adapter,
                                             const std::vector<PlacementCandidate> &candidates,
                                             const core::EndpointId &activeHome,
                                             const PlacementLimits &limits);

/// A rendezvous score of `node` for `key`; the greatest score wins. Thread safety: any thread.
double rendezvousScore(const std::string &key, const std::string &node, double weight);

} // namespace jackdawlead::decisions
