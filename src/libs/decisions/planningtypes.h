#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/waitinglist.h"
#include "fleet/adapterkey.h"
#include "fleet/configuration.h"
#include "fleet/endpoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace jackdawlead::decisions {

struct AdapterPlannerParameters
{
    int maxConcurrentLoadsPerEndpoint = 4; ///< The limit that the endpoints enforce.
    core::Duration adapterLoadTime = std::chrono::milliseconds(250);
    /// Replacing an adapter by a newer version waits for its running requests, which are streams.
    core::Duration replacementTime = std::chrono::milliseconds(2000);
    core::Duration warmLoadTime = std::chrono::milliseconds(30);
    int maxConcurrentModelLoads = 4; ///< More concurrent loads slow down each of them.
    /// Used share of the rate limit of model loads; a load whose response was lost may not be
    /// counted.
    double modelLoadShare = 0.9;
    core::Duration modelLoadWindow = std::chrono::seconds(5);
    /// Utilization of an endpoint by one adapter from which the adapter gets a further copy.
    double scaleOutUtilization = 0.5;
    /// The same if the copy evicts another adapter. While all adapter slots are occupied, a copy
    /// that is not needed delays the first copy of an adapter for which requests wait.
    double scaleOutUtilizationWithEviction = 0.8;
    /// Below this rate a region uses another region's copy instead of loading its own: a load costs
    /// about as much as ten requests over the link between the regions, and adapters stay loaded
    /// for some 10 s.
    double minRegionalRate = 1.0;
    /// Cost that the choice of an endpoint adds for a load by an endpoint that never held the
    /// adapter, and for the use of another region. An adapter that the endpoint held before loads
    /// ten times as fast and does not load the store.
    double coldLoadCost = 1.0;
    double crossRegionCost = 0.6;
    /// Below this rate no request is expected while an adapter is being replaced.
    double idleRate = 0.05;
    /// An adapter that was loaded more recently than this is not evicted.
    core::Duration minResidenceTime = std::chrono::milliseconds(350);
    /// Weight, in the order of loads, of a request that can only be answered late: a late answer is
    /// worth less to its caller, and the load delays other requests.
    double lateRequestWeight = 0.1;
    /// Weight of a stream that broke off, in addition to that of its waiting request: its caller
    /// has a part of the answer, and only endpoints of one software version can go on with it.
    double interruptedStreamWeight = 2.0;
    /// Expected time from the load of an adapter to its eviction, used to compare waiting requests
    /// with expected ones.
    core::Duration expectedResidenceTime = std::chrono::seconds(2);
    /// A report includes the effect of an order if it is requested this long after the order was
    /// sent: its values are some hundred milliseconds old, and an order takes 60 ms to another
    /// region and back.
    core::Duration maxReportLag = std::chrono::milliseconds(600);
    /// How long an endpoint counts as unreachable after a daemon reported that it cannot reach it.
    core::Duration unreachablePeriod = std::chrono::milliseconds(800);
    /// Time added to the predicted end of a load that is overdue.
    core::Duration lateLoadExtension = std::chrono::milliseconds(150);
    core::Duration lateLoadWindow = std::chrono::milliseconds(1000);
    core::Duration resyncInterval = std::chrono::seconds(4);
    /// An unload that takes longer counts as not in progress, because an endpoint may accept the
    /// order and not execute it; the longest streams take five seconds.
    core::Duration unloadTimeout = std::chrono::seconds(8);
    /// Minimum time between two reports of an endpoint with unconfirmed contents: report values lag
    /// by some hundred milliseconds, so that an earlier report would contain the same values, and
    /// each report request has a cost. Also the delay after a report request that failed.
    core::Duration minReportInterval = std::chrono::milliseconds(300);
};

using AdapterSet = std::unordered_set<fleet::AdapterKey>;

/// An order that is to be sent now.
struct PlannedOrder
{
    core::EndpointId endpoint;
    bool isLoad = true;
    core::ModelId model;
    core::AdapterId adapter; ///< Empty for the base model.
    std::optional<int> version;
    std::uint64_t orderRevision = 0;
};

/// Outcome of an order, as far as the coordinator can determine it.
enum class OrderOutcome { Accepted, AlreadyApplied, Conflict, Refused, Unknown };

/// State of one adapter at an endpoint, as the planner expects it.
struct PlacedAdapter
{
    int version = 1;
    core::TimePoint usableAt;
    core::TimePoint loadedAt;
    core::TimePoint fetchedAt;  ///< Expected end of its transfer from the store.
    bool isUnloading = false;   ///< An unload waits for its running requests.
    bool isOverdue = false;     ///< Its load was not finished at the predicted time.
    bool isReplacement = false; ///< The load in progress replaces an older version.
    bool isUnconfirmed = false; ///< The endpoint answered that it lacks it; its slot still counts.
    core::TimePoint changedAt {}; ///< When an order for it was last sent or answered.
};

/// Expected state of one incarnation of an endpoint.
struct EndpointState
{
    fleet::Endpoint endpoint;
    core::RegionId region;
    std::optional<fleet::EngineSpec> engine;
    /// It is unknown which orders the endpoint has accepted: it gets no order before its next
    /// report.
    bool needsReport = true;
    /// Some of its contents are unconfirmed, which does not hold back orders.
    bool hasUnconfirmedContents = false;
    bool hasPendingOrder = false;
    std::uint64_t orderRevision = 0;
    core::TimePoint lastOrderAt;
    core::TimePoint lastReportAt;
    core::TimePoint reportFailedAt; ///< Time of the last report request that failed.
    std::map<core::ModelId, core::TimePoint> models; ///< Expected end of the load of each model.
    std::unordered_map<fleet::AdapterKey, PlacedAdapter> adapters;
    std::set<fleet::AdapterKey> heldBefore;
    /// Unload times of adapters that a lagging report may still list.
    std::unordered_map<fleet::AdapterKey, core::TimePoint> unloadedAt;
    AdapterSet inUse; ///< By requests in progress, from the last daemon reports.
    /// The adapter for which an adapter slot is being freed.
    std::optional<fleet::AdapterKey> reservedFor;
    double load = 0; ///< Requests in progress per slot.
    core::TimePoint unreachableUntil;
    bool isRateLimited = false; ///< Accepts only a limited number of requests per second.
    bool isOrderAllowed = true; ///< The request limit allows an order now.
};

using EndpointStates = std::map<core::EndpointId, EndpointState>;

} // namespace jackdawlead::decisions
