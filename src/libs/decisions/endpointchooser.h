#pragma once

#include "core/ids.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace jackdawlead::decisions {

enum class Distance { SameDomain, SameRegion, OtherRegion };

/// What is predicted for a stream at an endpoint.
struct StreamRating
{
    double capacity = 1;      ///< Slots, weighted by the endpoint's speed.
    double cost = 0;          ///< In utilization.
    bool keepsTargets = true; ///< Otherwise it is not chosen.
};

/// An endpoint that could take a request now.
struct EndpointOption
{
    core::EndpointId endpoint;
    int slots = 1;
    double load = 0;              ///< Slots that all daemons' known requests occupy.
    double ownLoad = 0;           ///< Of them, those of this daemon's requests.
    int pendingPrefillTokens = 0; ///< Prompt tokens sent by this daemon and not prefilled yet.
    Distance distance = Distance::SameDomain;
    /// Valid during the choice; a copy for each option made a choice noticeably slower.
    const core::FailureDomainId *domain = nullptr;
    /// Replaces the constant cost of the distance, in utilization; see DomainOverflow.
    std::optional<double> distanceCost {};
    bool isConnected = true;    ///< An idle connection is open.
    bool isEjected = false;     ///< See EndpointHealth.
    bool wasTried = false;      ///< This request was sent to it before.
    bool mustNotRefuse = false; ///< Gets only requests for which it has a free slot.
    bool needsPermit = false;   ///< Its request limit allows no request of this daemon now.
    /// Replaces the slots, the costs and the limit of pending prefill tokens.
    std::optional<StreamRating> stream;
};

struct EndpointChooserLimits
{
    /// Utilization from which an endpoint receives no further requests. A short queue in front of
    /// its slots keeps the batch full; a longer one only adds waiting time.
    double maxUtilization = 1.6;
    /// The same for an endpoint that must not refuse: without a queue.
    double maxUtilizationWithoutQueue = 1.0;
    /// Cost of a pending prefill token, in utilization. Concurrent prompts are prefilled one after
    /// the other, and all streams of the endpoint pause meanwhile.
    double prefillTokenCost = 1.0 / 8000;
    /// Pending prefill tokens from which an endpoint receives no further prompt: 8,000 tokens
    /// together cause a pause of 250 ms, and up to three daemons send to one endpoint at a time.
    int maxPendingPrefillTokens = 1500;
    /// Cost of another failure domain, in utilization: traffic between domains is charged.
    double crossDomainCost = 0.1;
    /// Cost of a new connection, in utilization: it is charged and takes a round trip.
    double newConnectionCost = 0.1;
    /// Cost of another region, in utilization: it adds 60 ms, and traffic costs four times as much
    /// as between domains.
    double crossRegionCost = 0.5;
};

/// Why no endpoint was chosen.
enum class NoEndpointReason {
    NoCandidates,
    AllFull,
    RateLimited, ///< The endpoint that would be chosen needs a permit, and all others are full.
};

struct EndpointChoice
{
    std::optional<core::EndpointId> endpoint;
    NoEndpointReason reason = NoEndpointReason::NoCandidates; ///< Only if there is no endpoint.
    /// The endpoint that would be chosen if it did not need a permit; empty if it is the same.
    std::optional<core::EndpointId> preferred;
};

/// Chooses an endpoint by utilization and distance. Endpoints that need a permit are not chosen;
/// those that are ejected or were tried already are chosen only if there are no others.
/// `unreportedPerEndpoint` is the estimated number of requests that other daemons have sent to each
/// endpoint since the loads were reported. At zero the least utilized endpoint is chosen; the
/// higher it is, the more evenly the choice is spread, because many daemons that all choose the
/// least utilized endpoint overload it. `draw` is uniform in [0, 1). Thread safety: any thread.
EndpointChoice chooseEndpoint(const std::vector<EndpointOption> &options, double draw,
                              double unreportedPerEndpoint = 0,
                              const EndpointChooserLimits &limits = {});

} // namespace jackdawlead::decisions
