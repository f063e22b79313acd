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
    double load = 0;              ///< Slots that all daemons' requests occupy, as far as known.
    int pendingPrefillTokens = 0; ///< Prompt tokens of this daemon that it has not read yet.
    Distance distance = Distance::SameDomain;
    bool isConnected = true; ///< A connection is open and free.
    bool isEjected = false;  ///< Failed lately.
    bool wasTried = false;   ///< For this request.
};

struct EndpointChooserLimits
{
    /// Fill beyond which an endpoint takes nothing more: some queue in front of its slots keeps the
    /// batch full, more than this only waits.
    double maxUtilization = 1.6;
    /// What unread prompt tokens cost, in fill per token. Prompts that come together are read one
    /// after the other, and all streams of the endpoint pause meanwhile.
    double prefillTokenCost = 1.0 / 8000;
    /// An endpoint that has this many to read takes no further prompt: 8,000 tokens together make a
    /// pause of 250 ms, and up to three daemons send to one endpoint at the same time.
    int maxPendingPrefillTokens = 1500;
    /// What a caller in another domain costs, in fill: bytes between domains are priced.
    double crossDomainCost = 0.1;
    /// What a new connection costs, in fill: endpoints price it, and it takes a round trip.
    double newConnectionCost = 0.1;
    /// A region away costs 60 ms and four times the price of a byte between domains.
    double crossRegionCost = 0.5;
};

/// Why no endpoint was chosen.
enum class NoEndpointReason { NoCandidates, AllFull };

struct EndpointChoice
{
    std::optional<core::EndpointId> endpoint;
    NoEndpointReason reason = NoEndpointReason::NoCandidates; ///< Only if there is no endpoint.
};

/// Chooses among the least filled endpoints, nearer ones first. Endpoints that failed lately or
/// were tried already are taken only when they are all there is. `unseenPerEndpoint` is how many
/// requests other daemons are likely to have sent to each endpoint since the loads were told: with
/// none the least filled endpoint is taken; the more there are, the more evenly the choice is
/// spread, since many daemons that all take the least filled one overrun it. `draw` in [0, 1)
/// decides. Thread safety: any thread.
EndpointChoice chooseEndpoint(const std::vector<EndpointOption> &options, double draw,
                              double unseenPerEndpoint = 0,
                              const EndpointChooserLimits &limits = {});

} // namespace jackdawlead::decisions
