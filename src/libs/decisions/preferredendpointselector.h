#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <unordered_map>
#include <vector>

namespace jackdawlead::decisions {

/// A home of an adapter, in rendezvous order, as its owner last published it.
struct PreferredEndpointState
{
    core::EndpointId endpoint;
    /// The value of the adapter that a load would displace; zero while a slot is empty.
    double evictionCost = 0;
};

/// Chooses the active home of the adapters whose first home is one endpoint. The hash gives some
/// endpoints more adapters in steady use than they have slots and others fewer; an adapter that is
/// absent at its first home goes to the one of its first homes where it displaces the least. It
/// then stays there while it is in use. Thread safety: one thread at a time.
class PreferredEndpointSelector
{
public:
    /// Precondition: `homes` is not empty and begins with the first home. `isHeldAtFirst` tells
    /// whether the first home has the adapter or waits for it.
    core::EndpointId selectPreferred(const core::AdapterVersion &adapter,
                                     const std::vector<PreferredEndpointState> &homes,
                                     bool isHeldAtFirst, core::TimePoint now);

private:
    struct Moved
    {
        core::EndpointId endpoint;
        core::TimePoint usedAt;
    };

    void prune(core::TimePoint now);

    std::unordered_map<core::AdapterVersion, Moved> m_moved;
};

} // namespace jackdawlead::decisions
