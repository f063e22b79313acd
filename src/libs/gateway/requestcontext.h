#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/crashtracker.h"
#include "decisions/endpointchooser.h"
#include "decisions/placementview.h"
#include "decisions/requestcostestimator.h"
#include "decisions/retrybudget.h"
#include "decisions/waitinglist.h"
#include "fleet/hostsettings.h"
#include "gateway/endpointpool.h"
#include "gateway/fleetwatch.h"
#include "observability/eventloopprofiler.h"
#include "observability/gatewaymetrics.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace jackdawlead::gateway {

/// What all requests of a daemon share. Thread safety: the loop's thread only.
struct RequestContext
{
    const fleet::HostSettings &settings;
    net::EventLoop &loop;
    net::TimerService &timers;
    FleetWatch &watch;
    EndpointPool &pool;
    observability::GatewayMetrics &metrics;
    observability::EventLoopProfiler &work;
    decisions::PlacementView placement;
    std::map<core::ServiceId, decisions::RetryBudget> budgets;
    decisions::CrashTracker crashes;
    decisions::RequestCostEstimator cost; ///< Of the requests for models.
    /// Requests for adapters since the last report to the coordinator.
    std::unordered_map<fleet::AdapterKey, int> demand;
    /// Requests that wait until an endpoint holds the adapter.
    decisions::WaitingList waiting;
    /// Endpoints that lacked what they were believed to hold, since the last report.
    std::map<core::EndpointId, std::set<fleet::AdapterKey>> placementMisses;
    /// Endpoints that told this daemon that they leave, since the last report.
    std::map<core::EndpointId, fleet::StartTime> leaving;
    /// Whether some daemon gives orders, or may soon after the start, so that waiting for a load
    /// makes sense.
    std::function<bool()> isLoadingPossible;
    /// When loads go on, if no daemon gives orders now.
    std::function<core::Duration()> timeUntilLoadsResume;
    /// Tells the coordinator at once about new demand.
    std::function<void()> onNewDemand;
    /// An endpoint wants nothing more from this daemon for a while.
    std::function<void(const core::EndpointId &)> onEndpointBackoff;
    /// Daemons that report to the coordinator, as it last told; one while none is known.
    int daemonCount = 1;
    /// How often a daemon reports its load; what is known of the others' is about as old.
    core::Duration reportPeriod {};
    std::mt19937_64 random;
    /// When SIGTERM came, if it came.
    std::optional<core::TimePoint> stopRequestedAt;

    double uniformRandom() { return std::uniform_real_distribution<double>(0.0, 1.0)(random); }
};

} // namespace jackdawlead::gateway
