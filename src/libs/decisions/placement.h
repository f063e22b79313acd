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
    int outstanding = 0; ///< Requests of this daemon that have not finished there.
    bool isHomeRegion = true;
};

struct PlacementLimits
{
    /// An endpoint above this multiple of the mean outstanding requests is tried after the others.
    double boundedLoadFactor = 1.5;
    /// Up to this number of outstanding requests an endpoint keeps its position. Using another one
    /// costs a load, which pays off only when the preferred endpoint's batch is well filled.
    int boundedLoadFloor = 32;
};

/// Orders all candidates by weighted rendezvous hash; candidates in the caller's region come first.
/// The same candidates give the same order on every daemon. Thread safety: any thread.
std::vector<PlacementCandidate> rendezvousOrder(const core::AdapterVersion &adapter,
                                                std::vector<PlacementCandidate> candidates);

/// Returns the endpoints to try, in order. The first `preferredCount` of the rendezvous order share
/// the traffic by least outstanding requests; an endpoint over the bound is tried after the others.
/// Precondition: preferredCount is at least 1. Thread safety: any thread.
std::vector<core::EndpointId> placementOrder(const core::AdapterVersion &adapter,
                                             const std::vector<PlacementCandidate> &candidates,
                                             std::size_t preferredCount,
                                             const PlacementLimits &limits);

/// Returns the endpoints to try, with `preferredEndpoint` first while it is within the bound. It is
/// selected by the owner of the first endpoint of the rendezvous order (PreferredEndpointSelector).
/// Thread safety: any thread.
std::vector<core::EndpointId> placementOrder(const core::AdapterVersion &adapter,
                                             const std::vector<PlacementCandidate> &candidates,
                                             const core::EndpointId &preferredEndpoint,
                                             const PlacementLimits &limits);

/// The rendezvous score of `node` for `key`; the node with the highest score is chosen. Thread
/// safety: any thread.
double rendezvousScore(const std::string &key, const std::string &node, double weight);

} // namespace jackdawlead::decisions
