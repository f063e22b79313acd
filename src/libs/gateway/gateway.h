#pragma once

#include "fleet/hostsettings.h"
#include "gateway/coordinator.h"
#include "gateway/coordinatorelection.h"
#include "gateway/endpointpool.h"
#include "gateway/fleetwatch.h"
#include "gateway/peerlink.h"
#include "gateway/requestcontext.h"
#include "gateway/requesttask.h"
#include "gateway/storetransport.h"
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

/// One daemon on the users' platform: listens for callers and for the balancer, serves requests,
/// and takes its part in the duties that daemons share. Thread safety: one thread.
class Gateway
{
public:
    /// Reads the settings again. Errors: as at the start.
    using SettingsReader = std::function<absl::StatusOr<fleet::HostSettings>()>;

    Gateway(fleet::HostSettings settings, SettingsReader readSettings);

    /// Errors: an address cannot be listened on.
    absl::Status start();
    /// Serves until SIGTERM has been followed by the end of all requests.
    void run();

private:
    void serve(std::shared_ptr<http::ServerExchange> exchange);
    void answerReadiness(http::ServerExchange &exchange) const;
    void applyConfiguration();
    void answerMetrics(http::ServerExchange &exchange);
    void viewArrived();
    void wakeWaiting();
    /// Divides the endpoints' limits of connections among the daemons.
    void shareConnections();
    /// Requests that are not on their way to the endpoint yet go elsewhere.
    void giveUpConnecting(const core::EndpointId &id, std::string_view cause);
    /// Takes the bounds of changed settings; addresses last as long as the process.
    void reloadSettings();
    void stop();
    void checkStopped();
    FleetWatch::Handlers watchHandlers();

    fleet::HostSettings m_settings;
    SettingsReader m_readSettings;
    net::EventLoop m_loop;
    net::TimerService m_timers;
    http::ControlClient m_caller;
    StoreTransport m_storePath;
    platform::ObjectStoreClient m_store;
    WatchRelay m_relay;
    observability::GatewayMetrics m_metrics;
    observability::EventLoopProfiler m_work;
    FleetWatch m_watch;
    EndpointPool m_pool;
    RequestContext m_context;
    CoordinatorElection m_lease;
    PeerLink m_peers;
    Coordinator m_coordinator;
    http::Server m_callers;
    http::Server m_readiness;
    http::Server m_metricsServer;
    std::map<std::uint64_t, std::shared_ptr<RequestTask>> m_requests; ///< In order of arrival.
    std::uint64_t m_nextRequest = 0;
    int m_sharingDaemons = 0; ///< For which connections were divided last.
    net::TimerService::Subscription m_wake;
    net::TimerService::Subscription m_stopTimer;
};

} // namespace jackdawlead::gateway
