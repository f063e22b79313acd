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
    int maxConcurrentLoadsPerEndpoint = 4; ///< The endpoints' own limit.
    core::Duration adapterLoadTime = std::chrono::milliseconds(250);
    /// A replacement in place waits for the runs of the older version, which are streams.
    core::Duration replacementTime = std::chrono::milliseconds(2000);
    core::Duration warmLoadTime = std::chrono::milliseconds(30);
    int maxConcurrentModelLoads = 4; ///< More at once make each of them slower.
    /// The part of the ceiling on model loads that is used; lost answers may hide some loads.
    double modelLoadShare = 0.9;
    core::Duration modelLoadWindow = std::chrono::seconds(5);
    /// The part of an endpoint that one adapter should fill before it gets another copy.
    double scaleOutUtilization = 0.5;
    /// The same for a copy that takes the place of another adapter. While all places are taken, a
    /// copy that others could do without keeps a waiting request from its adapter.
    double scaleOutUtilizationWithEviction = 0.8;
    /// Below this rate a region uses another region's copy instead of loading its own: a load costs
    /// about as much as ten requests across the regions' link, and adapters stay for some 10 s.
    double minRegionalRate = 1.0;
    /// What a load costs in the choice of an endpoint if it never held the adapter, and what it
    /// costs to use another region. An adapter that was held before loads ten times as fast and
    /// does not burden the store.
    double coldLoadCost = 1.0;
    double crossRegionCost = 0.6;
    /// Under this rate no request is expected while an adapter is replaced.
    double idleRate = 0.05;
    /// An adapter that was loaded this recently is not evicted.
    core::Duration minResidenceTime = std::chrono::milliseconds(350);
    /// What a request that can only be answered late counts in the order of loads: the late answer
    /// is worth less to its caller, and the load it takes makes others late.
    double lateRequestWeight = 0.1;
    /// About how long an adapter stays once it is loaded, to compare requests that wait now with
    /// requests that are expected.
    core::Duration expectedResidenceTime = std::chrono::seconds(2);
    /// A report that is asked for this long after an order was sent tells of it: its values are
    /// some hundred milliseconds old, and an order takes 60 ms to another region and back.
    core::Duration maxReportLag = std::chrono::milliseconds(600);
    /// How long what a daemon tells of an endpoint that it cannot reach counts.
    core::Duration unreachablePeriod = std::chrono::milliseconds(800);
    /// A load that ends later than predicted is given this much more time.
    core::Duration lateLoadExtension = std::chrono::milliseconds(150);
    core::Duration lateLoadWindow = std::chrono::milliseconds(1000);
    core::Duration resyncInterval = std::chrono::seconds(4);
    /// An unload that is not done after this is taken not to be under way, which happens when its
    /// order was answered and not carried out; the longest streams take five seconds.
    core::Duration unloadTimeout = std::chrono::seconds(8);
    /// Between two reports of an endpoint whose contents are doubtful: its values lag by some
    /// hundred milliseconds, so that earlier ones would tell the same, and each report is priced.
    core::Duration minReportInterval = std::chrono::milliseconds(300);
};

using AdapterSet = std::unordered_set<fleet::AdapterKey>;

/// An order that the planner wants to be given now.
struct PlannedOrder
{
    core::EndpointId endpoint;
    bool isLoad = true;
    core::ModelId model;
    core::AdapterId adapter; ///< Empty for the base model.
    std::optional<int> version;
    std::uint64_t orderRevision = 0;
};

/// How an order ended, as far as its coordinator can know.
enum class OrderOutcome { Accepted, AlreadyApplied, Conflict, Refused, Unknown };

/// What an endpoint holds and can be used for, as the planner believes.
struct PlacedAdapter
{
    int version = 1;
    core::TimePoint usableAt;
    core::TimePoint loadedAt;
    core::TimePoint fetchedAt;    ///< While it is brought from the store.
    bool isUnloading = false;     ///< An unload waits for its runs.
    bool isOverdue = false;       ///< Its load was found unfinished when it should have ended.
    bool isReplacement = false;   ///< The load under way replaces an older version.
    bool isUnconfirmed = false;   ///< The endpoint said that it lacks it; its place still counts.
    core::TimePoint changedAt {}; ///< When an order about it was given or answered last.
};

/// What the planner believes of one life of an endpoint.
struct EndpointState
{
    fleet::Endpoint endpoint;
    core::RegionId region;
    std::optional<fleet::EngineSpec> engine;
    /// What the endpoint has accepted is unknown: it gets no order before its report.
    bool needsReport = true;
    /// Some of its contents are doubtful, which does not keep orders back.
    bool hasUnconfirmedContents = false;
    bool hasPendingOrder = false;
    std::uint64_t orderRevision = 0;
    core::TimePoint lastOrderAt;
    core::TimePoint lastReportAt;
    core::TimePoint reportFailedAt; ///< When it did not answer the question for one last.
    std::map<core::ModelId, core::TimePoint> models; ///< With the time of their end of load.
    std::unordered_map<fleet::AdapterKey, PlacedAdapter> adapters;
    std::set<fleet::AdapterKey> heldBefore;
    /// When adapters were unloaded, as far as a report may still tell of them.
    std::unordered_map<fleet::AdapterKey, core::TimePoint> unloadedAt;
    AdapterSet inUse; ///< By requests in progress, as the daemons last told.
    /// The adapter for which a place is being made.
    std::optional<fleet::AdapterKey> reservedFor;
    double load = 0; ///< Requests in progress per slot.
    core::TimePoint unreachableUntil;
};

using EndpointStates = std::map<core::EndpointId, EndpointState>;

} // namespace jackdawlead::decisions
