#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/bufferbudget.h"
#include "decisions/endpointchooser.h"
#include "decisions/placementview.h"
#include "decisions/refusallimits.h"
#include "decisions/requestcostestimator.h"
#include "decisions/retrybudget.h"
#include "decisions/runtimes.h"
#include "decisions/waitinglist.h"
#include "fleet/hostsettings.h"
#include "gateway/crashguard.h"
#include "gateway/customers/customerlimits.h"
#include "gateway/endpointpool.h"
#include "gateway/fleetwatch.h"
#include "gateway/overflowrouter.h"
#include "gateway/pathmonitor.h"
#include "gateway/ratelimits.h"
#include "gateway/requestforwarder.h"
#include "gateway/streamforecast.h"
#include "gateway/streamversions.h"
#include "observability/eventloopprofiler.h"
#include "observability/gatewaymetrics.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace jackdawlead::gateway {

/// State that all requests of a daemon share. Thread safety: the event loop's thread only.
struct RequestContext
{
    const fleet::HostSettings &settings;
    net::EventLoop &loop;
    net::TimerService &timers;
    FleetWatch &watch;
    EndpointPool &pool;
    RateLimits &limits;
    customers::CustomerLimits &customers;
    CrashGuard &crashes;
    StreamVersions &streams;
    PathMonitor &paths;
    StreamForecast &forecast;
    RequestForwarder &forwarder;
    OverflowRouter &overflow;
    observability::GatewayMetrics &metrics;
    observability::EventLoopProfiler &work;
    decisions::BufferBudget &buffers;
    decisions::PlacementView placement;
    std::map<core::ServiceId, decisions::RetryBudget> budgets;
    decisions::RunTimes runTimes;
    decisions::RefusalLimits refusalLimits;
    decisions::RequestCostEstimator cost; ///< Of requests for models.
    /// Requests for adapters since the last report to the coordinator.
    std::unordered_map<fleet::AdapterKey, int> demand;
    /// Requests that wait for an endpoint that holds their adapter.
    decisions::WaitingList waiting;
    /// Adapters that endpoints lacked although they were expected there, since the last report.
    std::map<core::EndpointId, std::set<fleet::AdapterKey>> placementMisses;
    /// Endpoints that announced to this daemon that they leave, since the last report.
    std::map<core::EndpointId, fleet::StartTime> leaving;
    /// Whether a request can wait for a load, because a coordinator issues orders or, shortly after
    /// the start, may do so soon.
    std::function<bool()> isLoadingPossible;
    /// Time until loads resume, if no daemon issues orders now.
    std::function<core::Duration()> timeUntilLoadsResume;
    /// Reports new demand to the coordinator at once.
    std::function<void()> onNewDemand;
    /// Called when an endpoint requests a back-off from this daemon.
    std::function<void(const core::EndpointId &)> onEndpointBackoff;
    /// Daemons that report to the coordinator, from its last view; one until the first view.
    int daemonCount = 1;
    /// When the loads of the other daemons last arrived; empty before.
    std::optional<core::TimePoint> loadsReceivedAt {};
    /// Interval of load reports; the known load of the other daemons is about that old.
    core::Duration reportPeriod {};
    std::mt19937_64 random;
    /// When SIGTERM was received; empty until then.
    std::optional<core::TimePoint> stopRequestedAt;
    /// By when answers must be complete, once SIGTERM was received.
    core::TimePoint answersDueAt;
    /// Until when a request is sent if it is likely to end in time, once SIGTERM was received;
    /// later this must be nearly certain.
    core::TimePoint predictionsUntil;

    double uniformRandom() { return std::uniform_real_distribution<double>(0.0, 1.0)(random); }
};

} // namespace jackdawlead::gateway
