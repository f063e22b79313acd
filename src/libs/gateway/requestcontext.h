#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/crashsuspects.h"
#include "decisions/endpointchooser.h"
#include "decisions/placementview.h"
#include "decisions/requestcost.h"
#include "decisions/retrybudget.h"
#include "decisions/waitinglist.h"
#include "fleet/hostsettings.h"
#include "gateway/endpointpool.h"
#include "gateway/fleetwatch.h"
#include "observability/gatewaymetrics.h"
#include "observability/workmeter.h"

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
    observability::WorkMeter &work;
    decisions::PlacementView placement;
    std::map<core::ServiceId, decisions::RetryBudget> budgets;
    decisions::CrashSuspects crashes;
    decisions::RequestCost cost; ///< Of the requests for models.
    /// Requests for adapters since the last report to the coordinator.
    std::unordered_map<fleet::AdapterKey, int> demand;
    /// Requests that wait until an endpoint holds the adapter.
    decisions::WaitingList waiting;
    /// Endpoints that lacked what they were believed to hold, since the last report.
    std::map<core::EndpointId, std::set<fleet::AdapterKey>> contradictions;
    /// Endpoints that told this daemon that they leave, since the last report.
    std::map<core::EndpointId, fleet::BirthTime> leaving;
    /// Whether some daemon gives orders, or may soon after the start, so that waiting for a load
    /// makes sense.
    std::function<bool()> isLoadingPossible;
    /// When loads go on, if no daemon gives orders now.
    std::function<core::Duration()> untilLoadsResume;
    /// Tells the coordinator at once about new demand.
    std::function<void()> onDemand;
    /// An endpoint wants nothing more from this daemon for a while.
    std::function<void(const core::EndpointId &)> onEndpointRests;
    /// Daemons that report to the coordinator, as it last told; one while none is known.
    int daemons = 1;
    /// How often a daemon reports its load; what is known of the others' is about as old.
    core::Duration reportPeriod {};
    std::mt19937_64 random;
    /// When SIGTERM came, if it came.
    std::optional<core::TimePoint> stopBegan;

    double draw() { return std::uniform_real_distribution<double>(0.0, 1.0)(random); }
};

} // namespace jackdawlead::gateway
