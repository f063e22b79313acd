#pragma once

#include "core/ids.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace jackdawlead::decisions {

enum class Distance { SameDomain, SameRegion, OtherRegion };

/// An endpoint that could take a request now.
struct EndpointOption
{
    core::EndpointId endpoint;
    int slots = 1;
    int inProgress = 0; ///< Requests of all daemons, as far as known.
    Distance distance = Distance::SameDomain;
    bool isPassedOver = false; ///< Failed lately.
    bool wasTried = false;     ///< For this request.
};

struct EndpointChooserLimits
{
    /// Fill beyond which an endpoint takes nothing more: some queue in front of its slots keeps the
    /// batch full, more than this only waits.
    double fullAt = 1.25;
    /// What a caller in another domain costs, in fill: bytes between domains are priced.
    double otherDomain = 0.05;
    /// A region away costs 60 ms and four times the price of a byte between domains.
    double otherRegion = 0.5;
};

/// Why no endpoint was chosen.
enum class NoChoice { NoEndpoint, AllFull };

struct EndpointChoice
{
    std::optional<core::EndpointId> endpoint;
    NoChoice reason = NoChoice::NoEndpoint; ///< Only if there is no endpoint.
};

/// Chooses the least filled endpoint, nearer ones first. Endpoints that failed lately or were tried
/// already are taken only when they are all there is. `draw` in [0, 1) breaks ties.
/// Thread safety: any thread.
EndpointChoice chooseEndpoint(const std::vector<EndpointOption> &options, double draw,
                              const EndpointChooserLimits &limits = {});

} // namespace jackdawlead::decisions
