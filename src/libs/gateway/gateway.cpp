#include "gateway/gateway.h"

#include "decisions/idleconnectionlimit.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <csignal>
#include <utility>
#include <vector>

namespace jackdawlead::gateway {

namespace {

// Retry interval of waiting requests: adapters become usable with time, and other daemons free
// slots.
constexpr core::Duration retryPeriod = std::chrono::milliseconds(20);
constexpr core::Duration stopCheckPeriod = std::chrono::milliseconds(50);
// The load balancer probes once a second and removes a daemon after two failed probes; until then
// new connections arrive.
constexpr core::Duration rotationLeaveTime = std::chrono::milliseconds(2600);
// Subtracted from the time until SIGKILL, for the last answers in flight.
constexpr core::Duration stopMargin = std::chrono::milliseconds(400);
// Part of that time in which a request is sent although only a prediction lets it end in time. Most
// clients are sent elsewhere by then, and what takes several times longer still ends.
constexpr double predictionShare = 0.2;
// Requests that take less of that time end in time however much slower they become.
constexpr double negligibleShare = 0.05;
// For answers to requests that are still open then; they need one event loop iteration.
constexpr core::Duration finalAnswersTime = std::chrono::milliseconds(150);
// A handover stops loads for some seconds, so that it must not follow from a path that fails for a
// moment.
constexpr core::Duration handoverDelay = std::chrono::seconds(1);
// By then all daemons have reported to a new coordinator, and upgrades of a host are over.
constexpr core::Duration directoryCleaningPeriod = std::chrono::seconds(60);
constexpr std::string_view backoffCause
    = "endpoint wants nothing more before the connection is open";

// A relay's own watch may receive nothing until it ends; answerTime covers the answer in flight.
core::Duration maxUpdateAge(const fleet::Bounds &bounds)
{
    constexpr core::Duration answerTime = std::chrono::milliseconds(300);
    return answerTime
        + core::scaled(FleetWatch::watchWait(bounds), StoreTransport::relayWaitFraction);
}

// The remaining memory is for state, heads, and copies that are made while bytes are passed on.
constexpr double bufferFraction = 0.4;

std::size_t bufferLimit(const fleet::HostSettings &settings)
{
    return static_cast<std::size_t>(bufferFraction * static_cast<double>(settings.memoryLimit));
}

decisions::OrderLeaseLimits leaseLimits(const fleet::HostSettings &settings)
{
    decisions::OrderLeaseLimits limits;
    limits.takeoverDelay = settings.bounds.lease;
    limits.isFirstStart = settings.isFirstStart;
    limits.candidacyDelay = decisions::candidacyDelay(settings.availableCores);
    return limits;
}

} // namespace

Gateway::Gateway(fleet::HostSettings settings, SettingsReader readSettings)
    : m_settings(std::move(settings))
    , m_readSettings(std::move(readSettings))
    , m_buffers(bufferLimit(m_settings))
    , m_timers(m_loop)
    , m_controlClient(m_loop, m_timers)
    , m_storeTransport(m_controlClient, m_timers, m_settings.store)
    , m_store(
          [this](const net::HttpRequest &request, core::Duration timeout,
                 http::ControlClient::Handler handler) {
              m_storeTransport.call(request, timeout, std::move(handler));
          },
          [this](const platform::WatchRequest &watch, core::Duration margin,
                 StoreTransport::AnswerHandler handler) {
              m_storeTransport.watch(watch, margin, std::move(handler));
          })
    , m_relay(m_timers, maxUpdateAge(m_settings.bounds))
    , m_profiler([this] { return m_timers.now(); })
    , m_watch(m_store, m_timers, m_relay, m_settings.bounds, watchHandlers())
    , m_pool(m_loop, m_timers)
    , m_limits(m_timers, m_metrics, limitHandlers())
    , m_customers(m_settings.host, m_timers, m_controlClient, m_metrics, customerHandlers())
    , m_forwarder(m_loop, m_timers, m_controlClient)
    , m_paths(m_loop, m_timers, m_watch, m_pool, m_forwarder, m_metrics, pathHandlers())
    , m_forwardedRequests(
          m_loop, m_timers, m_watch, m_pool, m_buffers, m_metrics,
          {.isInterrupted
           = [this](const core::EndpointId &id) { return m_paths.isInterrupted(id); },
           .isStopping = [this] { return m_context.stopRequestedAt.has_value(); }})
    , m_crashes(m_loop, m_timers, m_watch, m_pool, m_metrics, crashHandlers())
    , m_streams(m_store, m_timers, m_settings.host)
    , m_forecast(m_pool, m_settings.forecastsStreams)
    , m_overflow(m_settings, m_watch, m_metrics)
    , m_context {.settings = m_settings,
                 .loop = m_loop,
                 .timers = m_timers,
                 .watch = m_watch,
                 .pool = m_pool,
                 .limits = m_limits,
                 .customers = m_customers,
                 .crashes = m_crashes,
                 .streams = m_streams,
                 .paths = m_paths,
                 .forecast = m_forecast,
                 .forwarder = m_forwarder,
                 .overflow = m_overflow,
                 .metrics = m_metrics,
                 .work = m_profiler,
                 .buffers = m_buffers,
                 .placement = {},
                 .budgets = {},
                 .runTimes = {},
                 .refusalLimits = {},
                 .cost = {},
                 .demand = {},
                 .waiting = {},
                 .placementMisses = {},
                 .leaving = {},
                 .isLoadingPossible = [this] { return m_peerLink.isLoadingPossibleSoon(); },
                 .timeUntilLoadsResume = [this] { return m_peerLink.remainingFailoverTime(); },
                 .onNewDemand = [this] { m_peerLink.scheduleDemandReport(); },
                 .onEndpointBackoff
                 = [this](const core::EndpointId &id) { giveUpConnecting(id, backoffCause); },
                 .random = std::mt19937_64(std::random_device()()),
                 .stopRequestedAt = {},
                 .answersDueAt = {},
                 .predictionsUntil = {}}
    , m_election(m_store, m_timers, m_settings.host, PeerLink::addressOf(m_settings),
                 leaseLimits(m_settings), [this] { return m_peerLink.isCoordinatorReachable(); })
    , m_directory(
          m_store, m_timers, m_settings, PeerLink::addressOf(m_settings),
          [this](std::vector<net::Address> peers) { m_forwarder.setPeers(std::move(peers)); })
    , m_peerLink(m_context, m_controlClient, m_storeTransport, m_relay, m_election, m_directory,
                 [this] { handleView(); })
    , m_coordinator(m_settings, m_timers, m_controlClient, m_watch, m_limits, m_election, m_metrics,
                    m_profiler, m_context.cost,
                    [this](const net::Address &peer, const PeerView &view) {
                        m_peerLink.sendView(peer, view);
                    })
    , m_callerServer(
          m_loop, m_timers,
          [this](std::shared_ptr<http::ServerExchange> exchange) { serve(std::move(exchange)); },
          &m_buffers)
    , m_readinessServer(m_loop, m_timers,
                        [this](const std::shared_ptr<http::ServerExchange> &exchange) {
                            answerReadiness(*exchange);
                        })
    , m_metricsServer(m_loop, m_timers,
                      [this](const std::shared_ptr<http::ServerExchange> &exchange) {
                          answerMetrics(*exchange);
                      })
{ }

absl::Status Gateway::start()
{
    std::signal(SIGPIPE, SIG_IGN);
    if (absl::Status status = m_callerServer.listen(m_settings.callerAddress); !status.ok())
        return status;
    if (absl::Status status = m_readinessServer.listen(m_settings.readinessAddress); !status.ok())
        return status;
    if (m_settings.metricsPort != 0) {
        const net::Address metrics {m_settings.callerAddress.ip, m_settings.metricsPort};
        if (absl::Status status = m_metricsServer.listen(metrics); !status.ok())
            return status;
    }
    if (absl::Status status = m_peerLink.start(m_coordinator, m_forwardedRequests); !status.ok())
        return status;
    m_loop.onSignal(SIGTERM, [this] { stop(); });
    m_loop.onSignal(SIGHUP, [this] { reloadSettings(); });
    m_election.addSharedState(
        {.field = "shared",
         .encode = [this] { return encodeStates(m_crashes.states()); },
         .apply
         = [this](const auto &value) { m_crashes.applyStates(decodeStates(value), "the store"); }});
    m_election.addSharedState(
        {.field = "softwareVersions",
         .encode = [this] { return m_streams.encodeHistory(); },
         .apply = [this](const auto &value) { m_streams.applyHistory(value); },
         .applyNone = [this] { m_streams.setPastKnown(); }});
    m_election.addSharedState(m_coordinator.quotaHolders());
    m_storeTransport.setPeerFinder([this] { return m_peerLink.reachablePeer(); });
    m_watch.start();
    m_election.start();
    m_coordinator.start();
    StreamVersions::EndpointList list;
    list.endpoints = [this]() -> const std::map<core::EndpointId, fleet::Endpoint> & {
        return m_watch.endpoints();
    };
    list.confirmedAt = [this] { return m_watch.endpointsConfirmedAt(); };
    list.confirm = [this] { m_watch.confirmEndpoints(); };
    list.isStoreOut
        = [this] { return !m_watch.isStoreReachable() && m_storeTransport.isStoreLostAtPeer(); };
    m_streams.start(std::move(list), [this] { return m_election.isHolder(); });
    m_pathTimer = m_timers.every(PathMonitor::checkPeriod, [this] { checkPaths(); });
    m_directoryTimer = m_timers.every(directoryCleaningPeriod, [this] { cleanDirectory(); });
    m_retryTimer = m_timers.every(retryPeriod, [this] { retryWaitingRequests(); });
    observability::log({.step = "start",
                        .message = absl::StrCat("callers at ", m_settings.callerAddress.toString(),
                                                ", store at ", m_settings.store.toString())});
    return absl::OkStatus();
}

void Gateway::run()
{
    m_loop.run();
    observability::log({.step = "stop", .message = "stopped"});
}

void Gateway::answerReadiness(http::ServerExchange &exchange) const
{
    if (!platform::isReadinessRequest(exchange.head)) {
        exchange.respond(404, {}, {});
        return;
    }
    const bool isReady = m_watch.isInitialized() && !m_context.stopRequestedAt;
    exchange.respond(isReady ? 200 : 503, {}, {});
}

void Gateway::answerMetrics(http::ServerExchange &exchange)
{
    if (exchange.head.target != "/metrics") {
        exchange.respond(404, {}, {});
        return;
    }
    m_metrics.setGeneration(
        m_watch.routes() ? static_cast<double>(m_watch.routes()->generation().value()) : 0);
    m_metrics.setEndpoints(static_cast<double>(m_watch.endpoints().size()));
    m_metrics.setStoreReachable(m_watch.isStoreReachable());
    m_metrics.setStreamRecordCalls(static_cast<double>(m_streams.storeCalls()));
    m_metrics.setStoreEra(static_cast<double>(m_store.era().value()));
    m_metrics.setIsCoordinator(m_election.isHolder());
    m_metrics.setRequestsInProgress(static_cast<double>(m_requests.size()));
    m_metrics.setBufferedBytes(static_cast<double>(m_buffers.used()));
    m_customers.updateMetrics();
    m_metrics.setControlCalls(static_cast<double>(m_controlClient.callCount()));
    exchange.respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.render());
}

void Gateway::serve(std::shared_ptr<http::ServerExchange> exchange)
{
    const observability::EventLoopProfiler::Scope scope(m_profiler, "callers' requests");
    const std::uint64_t number = m_nextRequest++;
    const auto task = std::make_shared<RequestTask>(
        m_context, std::move(exchange), [this, number](const std::shared_ptr<RequestTask> &done) {
            // The task is on the stack, so it is destroyed in the next event loop iteration.
            m_requests.erase(number);
            m_loop.post([done] {});
        });
    m_requests[number] = task;
    task->start();
}

void Gateway::applyConfiguration()
{
    const fleet::CallerLimits &limits = m_watch.routes()->configuration().limits;
    http::ServerLimits server;
    if (limits.headerBytes > 0)
        server.message.headerBytes = limits.headerBytes;
    if (limits.bodyBytes > 0)
        server.message.bodyBytes = limits.bodyBytes;
    if (limits.headerTimeout > core::Duration::zero())
        server.headerTimeout = limits.headerTimeout;
    if (limits.idleTimeout > core::Duration::zero())
        server.idleTimeout = limits.idleTimeout;
    m_callerServer.setLimits(server);
    for (const fleet::ServiceSpec &service : m_watch.routes()->configuration().services) {
        decisions::RetryBudgetLimits budget;
        budget.window = m_settings.bounds.budgetWindow;
        budget.ratio = m_settings.bounds.budgetRatio;
        budget.slack = m_settings.bounds.budgetSlack;
        m_context.budgets[service.service].setLimits(budget);
    }
    updateIdleLimits();
    m_context.runTimes.retainRoutes(m_watch.routes()->configuration().routes);
    m_streams.setLongestStream(m_watch.routes()->longestStream());
    m_coordinator.applyConfiguration();
    m_customers.applyConfiguration(m_watch.routes()->configuration(), m_settings.bounds);
}

void Gateway::updateIdleLimits()
{
    m_idleLimitDaemonCount = m_context.daemonCount;
    if (!m_watch.routes())
        return;
    for (const fleet::ServiceSpec &service : m_watch.routes()->configuration().services) {
        if (service.maxConnections > 0)
            m_pool.setIdleLimit(
                service.service,
                decisions::idleConnectionLimit(service.maxConnections, m_context.daemonCount));
    }
}

void Gateway::giveUpConnecting(const core::EndpointId &id, std::string_view cause)
{
    // Iterates over a copy, because a request may end and be erased while it selects an endpoint.
    const auto requests = m_requests;
    for (const auto &[number, task] : requests)
        task->giveUpConnecting(id, cause);
}

void Gateway::handleInterruptedPath(const core::EndpointId &id)
{
    // Iterates over a copy, because a request may end and be erased while it selects an endpoint.
    const auto requests = m_requests;
    for (const auto &[number, task] : requests)
        task->handleInterruptedPath(id);
}

std::vector<std::shared_ptr<RequestTask>>
Gateway::requestsQueuedAtOlderVersions(const fleet::AnnouncedVersion &newest) const
{
    std::vector<std::shared_ptr<RequestTask>> requests;
    for (const auto &[number, task] : m_requests) {
        if (task->isQueuedAtOlderVersion(newest))
            requests.push_back(task);
    }
    return requests;
}

void Gateway::seekNewerVersions(const fleet::AnnouncedVersion &newest)
{
    for (const auto &task : requestsQueuedAtOlderVersions(newest))
        task->seekNewerVersion();
}

void Gateway::giveUpOlderVersions(const fleet::AnnouncedVersion &newest)
{
    for (const auto &task : requestsQueuedAtOlderVersions(newest))
        task->giveUpOlderVersion(newest);
}

void Gateway::checkPaths()
{
    std::vector<SentRequest> unanswered;
    for (const auto &[number, task] : m_requests)
        task->addUnanswered(unanswered);
    m_paths.checkProgress(unanswered);
}

// The other daemons must not use this one as a way to the endpoints. Orders are not sent through
// another daemon, because endpoints may tell their senders apart by the address.
void Gateway::handleCutOff()
{
    m_peerLink.scheduleDemandReport();
    m_handoverTimer.cancel();
    if (!m_paths.isCutOff()) {
        m_election.setEligible(true);
        return;
    }
    m_handoverTimer
        = m_timers.once(handoverDelay, [this] { m_election.setEligible(!m_paths.isCutOff()); });
    for (const auto &[id, endpoint] : m_watch.endpoints())
        handleInterruptedPath(id);
}

// Once in each term of a coordinator, because entries are written only in upgrades.
void Gateway::cleanDirectory()
{
    const auto &record = m_election.lease().record();
    if (!m_election.isHolder() || !record || record->token == m_cleanedInTerm)
        return;
    if (const auto hosts = m_coordinator.hostsAfter(directoryCleaningPeriod); !hosts.empty()) {
        m_cleanedInTerm = record->token;
        m_directory.removeAllBut(hosts);
    }
}

void Gateway::handleView()
{
    if (m_idleLimitDaemonCount != m_context.daemonCount)
        updateIdleLimits();
    m_streams.setDaemonCount(m_context.daemonCount);
    retryWaitingRequests();
}

void Gateway::retryWaitingRequests()
{
    const observability::EventLoopProfiler::Scope scope(m_profiler, "endpoint selection");
    std::vector<std::shared_ptr<RequestTask>> waiting;
    for (const auto &[number, task] : m_requests) {
        if (task->isWaiting())
            waiting.push_back(task);
    }
    for (const auto &task : waiting)
        task->retryIfWaiting();
}

void Gateway::reloadSettings()
{
    const auto settings = m_readSettings();
    if (!settings.ok()) {
        // Keeps the current settings, because a faulty file must not stop a running daemon.
        observability::logError(observability::LogLevel::Error, settings.status());
        return;
    }
    m_settings.bounds = settings->bounds;
    m_settings.regions = settings->regions;
    observability::log({.step = "reload", .message = "SIGHUP received, settings reloaded"});
    if (m_watch.routes())
        applyConfiguration();
}

void Gateway::stop()
{
    if (m_context.stopRequestedAt)
        return;
    m_context.stopRequestedAt = m_timers.now();
    m_context.answersDueAt
        = m_timers.now() + m_settings.bounds.grace - stopMargin - finalAnswersTime;
    const core::Duration answerTime = m_context.answersDueAt - m_timers.now();
    m_context.predictionsUntil = m_timers.now() + core::scaled(answerTime, predictionShare);
    m_context.runTimes.beginObservation(m_timers.now(), core::scaled(answerTime, negligibleShare));
    observability::log({.step = "stop", .message = "SIGTERM received"});
    m_callerServer.disableKeepAlive();
    m_election.release();
    m_directory.withdraw();
    m_stopTimer = m_timers.every(stopCheckPeriod, [this] { checkStopped(); });
}

void Gateway::checkRunTimes()
{
    std::vector<decisions::RequestInProgress> requests;
    requests.reserve(m_requests.size());
    for (const auto &[number, task] : m_requests) {
        if (const auto request = task->inProgress())
            requests.push_back(*request);
    }
    m_context.runTimes.checkInProgress(requests, m_timers.now());
}

void Gateway::checkStopped()
{
    checkRunTimes();
    if (m_timers.now() - *m_context.stopRequestedAt < rotationLeaveTime)
        return;
    m_callerServer.closeIdle();
    const bool isDone = m_requests.empty() && m_forwardedRequests.inProgress() == 0
        && m_callerServer.openConnectionCount() == 0;
    if (isDone || m_timers.now() > m_context.answersDueAt + finalAnswersTime) {
        m_loop.stop();
        return;
    }
    if (m_timers.now() <= m_context.answersDueAt)
        return;
    // Iterates over a copy, because a request may end and be erased.
    const auto requests = m_requests;
    for (const auto &[number, task] : requests)
        task->finishForShutdown();
}

} // namespace jackdawlead::gateway
