#pragma once

#include "fleet/hostsettings.h"
#include "gateway/coordinator.h"
#include "gateway/coordinatorelection.h"
#include "gateway/crashguard.h"
#include "gateway/customers/customerlimits.h"
#include "gateway/endpointpool.h"
#include "gateway/fleetwatch.h"
#include "gateway/forwardedrequests.h"
#include "gateway/overflowrouter.h"
#include "gateway/pathmonitor.h"
#include "gateway/peerlink.h"
#include "gateway/requestcontext.h"
#include "gateway/requestforwarder.h"
#include "gateway/requesttask.h"
#include "gateway/storetransport.h"
#include "gateway/streamversions.h"
#include "gateway/watchrelay.h"
#include "http/controlclient.h"
#include "http/server.h"
#include "net/eventloop.h"
#include "net/timerservice.h"
#include "platform/objectstoreclient.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace jackdawlead::gateway {

/// One daemon on the users' platform: listens for clients and for the load balancer's probes,
/// serves requests, and exchanges reports and views with the other daemons. Implemented in
/// gateway.cpp and gatewayhandlers.cpp (what its parts tell it). Thread safety: one thread.
class Gateway
{
public:
    /// Reloads the settings. Errors: as at the start.
    using SettingsReader = std::function<absl::StatusOr<fleet::HostSettings>()>;

    Gateway(fleet::HostSettings settings, SettingsReader readSettings);

    /// Errors: an address cannot be listened on.
    absl::Status start();
    /// Serves until all requests have ended after SIGTERM.
    void run();

private:
    void serve(std::shared_ptr<http::ServerExchange> exchange);
    void answerReadiness(http::ServerExchange &exchange) const;
    void applyConfiguration();
    void answerMetrics(http::ServerExchange &exchange);
    void handleView();
    void retryWaitingRequests();
    /// Divides the connection limits of the endpoints among the daemons.
    void updateIdleLimits();
    /// Sends the requests that still wait for a connection to this endpoint to other endpoints.
    void giveUpConnecting(const core::EndpointId &id, std::string_view cause);
    /// The same for own connections, because only another daemon reaches the endpoint.
    void handleInterruptedPath(const core::EndpointId &id);
    /// Ends waits for endpoints that hold an older version of the adapter.
    std::vector<std::shared_ptr<RequestTask>>
    requestsQueuedAtOlderVersions(const fleet::AnnouncedVersion &newest) const;
    void seekNewerVersions(const fleet::AnnouncedVersion &newest);
    void giveUpOlderVersions(const fleet::AnnouncedVersion &newest);
    /// Removes what daemons that were killed left in the directory.
    void cleanDirectory();
    /// Applies changed bounds and regions; addresses change only with a restart.
    void reloadSettings();
    void stop();
    void checkStopped();
    /// Looks for requests whose connections to endpoints bring nothing.
    void checkPaths();
    void handleCutOff();
    /// Compares the expected times of requests with those in progress.
    void checkRunTimes();
    FleetWatch::Handlers watchHandlers();
    RateLimits::Handlers limitHandlers();
    customers::CustomerLimits::Handlers customerHandlers();
    CrashGuard::Handlers crashHandlers();
    PathMonitor::Handlers pathHandlers();

    fleet::HostSettings m_settings;
    SettingsReader m_readSettings;
    decisions::BufferBudget m_buffers; ///< Of the messages of clients and of their answers.
    net::EventLoop m_loop;
    net::TimerService m_timers;
    http::ControlClient m_controlClient;
    StoreTransport m_storeTransport;
    platform::ObjectStoreClient m_store;
    WatchRelay m_relay;
    observability::GatewayMetrics m_metrics;
    observability::EventLoopProfiler m_profiler;
    FleetWatch m_watch;
    EndpointPool m_pool;
    RateLimits m_limits;
    customers::CustomerLimits m_customers;
    RequestForwarder m_forwarder;
    PathMonitor m_paths;
    ForwardedRequests m_forwardedRequests;
    CrashGuard m_crashes;
    StreamVersions m_streams;
    StreamForecast m_forecast;
    OverflowRouter m_overflow;
    RequestContext m_context;
    CoordinatorElection m_election;
    PeerDirectory m_directory;
    PeerLink m_peerLink;
    Coordinator m_coordinator;
    http::Server m_callerServer;
    http::Server m_readinessServer;
    http::Server m_metricsServer;
    std::map<std::uint64_t, std::shared_ptr<RequestTask>> m_requests; ///< In order of arrival.
    std::uint64_t m_nextRequest = 0;
    int m_idleLimitDaemonCount = 0; ///< For which the idle limits were last set.
    net::TimerService::Subscription m_retryTimer;
    net::TimerService::Subscription m_pathTimer;
    net::TimerService::Subscription m_handoverTimer;
    net::TimerService::Subscription m_directoryTimer;
    core::FencingToken m_cleanedInTerm; ///< Of the lease; see cleanDirectory().
    net::TimerService::Subscription m_stopTimer;
};

} // namespace jackdawlead::gateway
