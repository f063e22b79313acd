#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <unordered_map>
#include <vector>

namespace jackdawlead::decisions {

/// A preferred endpoint of an adapter, in rendezvous order, as its owner last published it.
struct PreferredEndpointState
{
    core::EndpointId endpoint;
    /// Value of the adapter that a load would evict; zero while a slot is free.
    double evictionCost = 0;
};

/// Selects the active endpoint of the adapters that share one first preferred endpoint. The hash
/// assigns more adapters in steady use to some endpoints than they have slots, and fewer to others.
/// An adapter that its first preferred endpoint does not hold is assigned to the candidate with the
/// lowest eviction cost and stays there while it is in use. Thread safety: one thread at a time.
class PreferredEndpointSelector
{
public:
    /// Precondition: `candidates` is not empty and begins with the first preferred endpoint.
    /// `isHeldAtFirst` is true if that endpoint holds the adapter or waits for it.
    core::EndpointId selectPreferred(const core::AdapterVersion &adapter,
                                     const std::vector<PreferredEndpointState> &candidates,
                                     bool isHeldAtFirst, core::TimePoint now);

private:
    struct Assignment
    {
        core::EndpointId endpoint;
        core::TimePoint usedAt;
    };

    void prune(core::TimePoint now);

    std::unordered_map<core::AdapterVersion, Assignment> m_assignments;
};

} // namespace jackdawlead::decisions
