#include "gateway/peerlink.h"

#include "decisions/reportpace.h"
#include "gateway/messageencoding.h"
#include "observability/log.h"
#include "platform/decoder.h"
#include "platform/watchcodec.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// Combines demand that arrives at nearly the same time.
constexpr core::Duration demandDelay = std::chrono::milliseconds(5);
constexpr core::Duration callTimeout = std::chrono::milliseconds(500);
// The coordinator counts as unreachable after two report intervals plus this time without a view.
constexpr core::Duration coordinatorTimeoutMargin = std::chrono::milliseconds(300);
// After all daemons were killed, a former holder takes over its record after 0.1 s, and the others
// reach it with their next report. Equals the time for which a request waits for the first
// configuration.
constexpr core::Duration firstCoordinatorWait = std::chrono::milliseconds(500);
// Daemons of a system start within 0.2 s of each other, so the first report often arrives before
// the coordinator's lease is valid; the next one must arrive well within the wait.
constexpr core::Duration firstReportPeriod = firstCoordinatorWait / 4;
// Time from the loss of the coordinator until the other daemons can consider its lease invalid, in
// addition to the takeover delay of its successor. Observed in the log of quiet-1, in which the
// coordinator was disconnected.
constexpr core::Duration failoverTime = std::chrono::milliseconds(3000);
// The longest call is a watch, of 3.2 s on the grown deployments.
constexpr core::Duration forwardTimeout = std::chrono::seconds(6);
constexpr char reportMethod[] = "report";
constexpr char viewMethod[] = "view";

} // namespace

PeerLink::PeerLink(RequestContext &context, http::ControlClient &controlClient,
                   StoreTransport &storeTransport, WatchRelay &relay, CoordinatorElection &election,
                   PeerDirectory &directory, std::function<void()> onView)
    : m_context(context)
    , m_controlClient(controlClient)
    , m_storeTransport(storeTransport)
    , m_relay(relay)
    , m_election(election)
    , m_directory(directory)
    , m_onView(std::move(onView))
{ }

PeerLink::~PeerLink()
{
    *m_isAlive = false;
}

net::Address PeerLink::addressOf(const fleet::HostSettings &settings)
{
    return {settings.callerAddress.ip, settings.firstPeerPort};
}

absl::Status PeerLink::start(Coordinator &coordinator, ForwardedRequests &forwardedRequests)
{
    m_coordinator = &coordinator;
    m_startedAt = m_context.timers.now();
    m_context.reportPeriod = decisions::ReportPace::minPeriod;
    bindMethods(coordinator);
    m_server = std::make_unique<http::Server>(
        m_context.loop, m_context.timers,
        [this, &forwardedRequests](const std::shared_ptr<http::ServerExchange> &exchange) {
            if (forwardedRequests.serve(exchange))
                return;
            if (exchange->head.target.starts_with(StoreTransport::forwardPrefix)) {
                serveForwardedCall(exchange);
                return;
            }
            if (exchange->head.target.starts_with(StoreTransport::relayPrefix)) {
                serveWatch(exchange);
                return;
            }
            if (exchange->head.target == leaseRecordPath) {
                serveLeaseRecord(*exchange);
                return;
            }
            if (exchange->head.method != "POST" || exchange->head.target != peerCallPath) {
                exchange->respond(404, {}, {});
                return;
            }
            const observability::EventLoopProfiler::Scope scope(m_context.work, "calls of daemons");
            const core::TimePoint begin = m_context.timers.now();
            const rpc::JsonText reply = m_dispatcher.dispatch({exchange->body});
            if (m_election.isHolder())
                m_coordinator->recordReportDuration(m_context.timers.now() - begin);
            exchange->respond(200, {{"Content-Type", "application/json"}}, reply.text);
        });
    m_election.setRecordReader([this](auto handler) { readLeaseRecord(std::move(handler)); });
    scheduleReport();
    return m_server->listen(addressOf(m_context.settings));
}

void PeerLink::serveWatch(const std::shared_ptr<http::ServerExchange> &exchange)
{
    const std::string_view target = exchange->head.target;
    const auto watch
        = platform::parseRelayWatchTarget(target.substr(sizeof StoreTransport::relayPrefix - 1));
    if (watch)
        m_relay.serve(*watch, exchange);
    else
        exchange->respond(404, {}, {});
}

void PeerLink::applyRelays(const PeerView &view)
{
    const net::Address self = addressOf(m_context.settings);
    const auto otherDaemon = [&self](const std::string &text) {
        auto address = platform::decodeAddress(text);
        return address.ok() && *address != self ? std::optional(*std::move(address)) : std::nullopt;
    };
    const bool isRelay = view.relayAddress == self.toString();
    const bool wasDirect = !m_storeTransport.hasRelay();
    m_storeTransport.setRelays(otherDaemon(view.relayAddress), otherDaemon(view.spareRelayAddress));
    m_storeTransport.setIsRelay(isRelay);
    if (isRelay)
        m_relay.activate(wasDirect);
    else
        m_relay.deactivate();
}

// A new coordinator does not know all daemons yet, and one of an earlier release states none, which
// does not mean that there are none.
void PeerLink::applyForwarders(const PeerView &view)
{
    m_directory.setNeeded(!view.forwarders);
    if (!view.forwarders || (!view.isCounted && m_context.forwarder.hasPeers()))
        return;
    std::vector<net::Address> peers;
    for (const std::string &text : *view.forwarders) {
        if (auto address = platform::decodeAddress(text); address.ok())
            peers.push_back(*std::move(address));
    }
    m_context.forwarder.setPeers(std::move(peers));
}

// The calling daemon applies the call's own timeout; this one exceeds the longest call, a watch.
void PeerLink::serveForwardedCall(const std::shared_ptr<http::ServerExchange> &exchange)
{
    net::HttpRequest request;
    request.method = exchange->head.method;
    request.path = exchange->head.target.substr(sizeof StoreTransport::forwardPrefix - 1);
    request.body = exchange->body;
    if (!request.body.empty())
        request.headers.add("Content-Type", "application/json");
    m_storeTransport.forwardToStore(request, forwardTimeout, [exchange](auto response) {
        if (!response.ok()) {
            exchange->abort();
            return;
        }
        const auto era = platform::parseStoreEra(response->headers);
        exchange->respond(response->status,
                          era ? platform::storeResponseFields(*era)
                              : net::Headers {{"Content-Type", "application/json"}},
                          response->body);
    });
}

std::optional<net::Address> PeerLink::reachablePeer() const
{
    const auto &record = m_election.lease().record();
    if (record && record->holder != m_context.settings.host && isCoordinatorReachable())
        return record->address;
    return m_coordinator == nullptr ? std::nullopt : m_coordinator->anyLiveDaemon();
}

void PeerLink::bindMethods(Coordinator &coordinator)
{
    m_dispatcher.bind({reportMethod}, [this, &coordinator](const rpc::JsonText &params) {
        const auto report = decodePeerReport(params.text, m_context.timers.now());
        if (!report.ok())
            return rpc::RpcResult {std::string(report.status().message()), {}};
        const PeerView view = coordinator.handleReport(*report);
        return rpc::RpcResult {{}, {encode(view, m_context.timers.now())}};
    });
    m_dispatcher.bind({customers::quotaMethod}, [&coordinator](const rpc::JsonText &params) {
        const auto call = customers::decodeQuotaCall(params.text);
        if (!call.ok())
            return rpc::RpcResult {std::string(call.status().message()), {}};
        const auto answer = coordinator.handleQuotaCall(*call);
        return answer ? rpc::RpcResult {{}, {customers::encode(*answer)}}
                      : rpc::RpcResult {"not the coordinator", {}};
    });
    m_dispatcher.bind({viewMethod}, [this](const rpc::JsonText &params) {
        const auto view = decodePeerView(params.text, m_context.timers.now());
        if (!view.ok())
            return rpc::RpcResult {std::string(view.status().message()), {}};
        applyView(*view);
        return rpc::RpcResult {{}, {"{}"}};
    });
}

void PeerLink::scheduleDemandReport()
{
    if (m_demandTimer.isActive())
        return;
    const core::Duration remaining = m_lastReportAt + m_demandPause - m_context.timers.now();
    m_demandTimer
        = m_context.timers.once(std::max(demandDelay, remaining), [this] { sendReport(false); });
}

std::optional<net::Address> PeerLink::coordinatorElsewhere() const
{
    const auto &record = m_election.lease().record();
    const bool isElsewhere
        = record && !record->isReleased && record->holder != m_context.settings.host;
    return isElsewhere ? std::optional(record->address) : std::nullopt;
}

bool PeerLink::isCoordinatorReachable() const
{
    return m_context.timers.now() - m_lastViewAt
        < m_context.reportPeriod * 2 + coordinatorTimeoutMargin
        && m_lastViewAt != core::TimePoint();
}

bool PeerLink::isAwaitingFirstCoordinator() const
{
    return m_lastViewAt == core::TimePoint()
        && m_context.timers.now() - m_startedAt < firstCoordinatorWait;
}

bool PeerLink::isLoadingPossibleSoon() const
{
    return isCoordinatorReachable() || isAwaitingFirstCoordinator();
}

core::Duration PeerLink::remainingFailoverTime() const
{
    const core::Duration totalTime = m_context.settings.bounds.lease + failoverTime;
    const core::Duration elapsed = m_context.timers.now() - m_lastViewAt;
    return std::max(core::Duration::zero(), totalTime - elapsed);
}

void PeerLink::scheduleReport()
{
    const core::Duration period
        = isAwaitingFirstCoordinator() ? firstReportPeriod : m_context.reportPeriod;
    m_reportTimer = m_context.timers.once(period, [this] {
        scheduleReport();
        sendReport(true);
    });
}

PeerReport PeerLink::makeReport(bool isViewRequested)
{
    PeerReport report;
    report.isViewRequested = isViewRequested;
    report.host = m_context.settings.host;
    report.region = m_context.settings.region;
    report.domain = m_context.settings.domain;
    report.availableCores = m_context.settings.availableCores;
    report.isStoreReachable = m_context.watch.isStoreReachable();
    report.peerAddress = addressOf(m_context.settings).toString();
    report.demand = std::exchange(m_context.demand, {});
    report.waiting = m_context.waiting.counts(m_context.timers.now());
    report.pinned = m_context.waiting.pinned();
    report.placementMisses = std::exchange(m_context.placementMisses, {});
    report.leaving = std::exchange(m_context.leaving, {});
    report.crashes = m_context.crashes.takeNews();
    report.limits = m_context.limits.takeLearned();
    report.permitDemand = m_context.limits.takeDemand();
    report.quota = m_context.customers.takeReport(isViewRequested);
    report.knownRevision = m_knownRevision;
    report.token = m_coordinatorToken;
    report.sendsForOthers = !m_context.paths.isCutOff();
    report.understandsCustomers = m_context.watch.hasCustomers();
    if (!isViewRequested)
        return report;
    for (const auto &[id, endpoint] : m_context.watch.endpoints()) {
        const double load = m_context.pool.load(id, endpoint.slots);
        if (load > 0)
            report.load[id] = load;
        if (auto inUse = m_context.pool.adaptersInUse(id); !inUse.empty())
            report.inUse[id] = std::move(inUse);
        if (m_context.pool.backoffEnd(endpoint) > m_context.timers.now())
            report.endpointsInBackoff.push_back(id);
    }
    if (m_context.forecast.isEnabled())
        report.streams
            = m_context.forecast.makeReports(m_context.watch.endpoints(), m_context.timers.now());
    report.endpoints = digestOf(m_context.watch.endpoints());
    report.unreachable = m_context.pool.unreachable();
    return report;
}

void PeerLink::sendReport(bool isViewRequested)
{
    const auto &record = m_election.lease().record();
    if (!record || record->isReleased)
        return;
    if (m_isReporting) {
        (isViewRequested ? m_isViewDue : m_isDemandDue) = true;
        return;
    }
    m_lastReportAt = m_context.timers.now();
    // Coordinators of the previous release handle each report as a regular one.
    const PeerReport report = makeReport(isViewRequested || !m_acceptsDemandReports);
    if (record->holder == m_context.settings.host) {
        const PeerView view = m_coordinator->handleReport(report);
        applyView(view);
        if (!view.isCoordinator)
            restoreReport(report);
        return;
    }
    m_isReporting = true;
    m_context.work.count("own reports");
    m_controlClient.call(record->address,
                         peerCall(reportMethod, encode(report, m_context.timers.now())),
                         callTimeout, [this, alive = m_isAlive, report](auto response) {
                             if (!*alive)
                                 return;
                             m_isReporting = false;
                             if (!response.ok() || !applyReply(response->body))
                                 restoreReport(report);
                             if (response.ok())
                                 sendDueReports();
                         });
}

// Content that is reported only once would be lost if no coordinator processed the report. It is
// resent with the next regular report, because resending it immediately would slow down an
// overloaded coordinator further.
void PeerLink::restoreReport(const PeerReport &report)
{
    m_context.leaving.insert(report.leaving.begin(), report.leaving.end());
    m_context.limits.restoreLearned(report.limits);
    m_context.crashes.restoreNews(report.crashes);
    m_context.customers.recordLostReport();
    for (const auto &[id, keys] : report.placementMisses)
        m_context.placementMisses[id].insert(keys.begin(), keys.end());
    restoreDemand(report.demand);
}

void PeerLink::restoreDemand(const std::unordered_map<fleet::AdapterKey, int> &demand)
{
    if (!isAwaitingFirstCoordinator())
        return;
    for (const auto &[key, count] : demand)
        m_context.demand[key] += count;
}

bool PeerLink::applyReply(const std::string &body)
{
    const rpc::RpcResult reply = rpc::decodeReply({body});
    if (!reply.ok())
        return false;
    const auto view = decodePeerView(reply.value.text, m_context.timers.now());
    if (!view.ok())
        return false;
    applyView(*view);
    return view->isCoordinator;
}

// Sends the reports that became due while another one was in flight.
void PeerLink::sendDueReports()
{
    const bool isDemandDue = std::exchange(m_isDemandDue, false);
    if (std::exchange(m_isViewDue, false))
        sendReport(true);
    else if (isDemandDue
             && (!m_context.demand.empty() || m_context.limits.isReportDue()
                 || m_context.crashes.isReportDue()))
        scheduleDemandReport();
}

void PeerLink::applyView(const PeerView &view)
{
    // A delayed view of a predecessor must not replace the data of its successor.
    if (!view.isCoordinator || view.token < m_coordinatorToken) {
        if (!view.isCoordinator)
            m_context.customers.recordNoCoordinator();
        return;
    }
    m_lastViewAt = m_context.timers.now();
    const bool isNewCoordinator = view.token != m_coordinatorToken;
    if (isNewCoordinator)
        m_knownRevision = 0;
    m_coordinatorToken = view.token;
    applyContents(view);
    applyRelays(view);
    applyForwarders(view);
    m_context.crashes.applyFleetNews(view.crashes, isNewCoordinator);
    for (const auto &[id, startTime] : view.leaving)
        m_context.watch.markEndpointLeaving(id, startTime);
    m_context.limits.applyUpdates(view.limits, "the coordinator");
    m_context.limits.applyGrants(view.grants, m_lastReportAt);
    m_context.limits.setAreIssued(view.areIssuingPermits);
    m_context.customers.applyAnswer(view.quota);
    applyLoads(view);
    m_context.daemonCount = std::max(1, view.daemonCount);
    using decisions::ReportPace;
    m_acceptsDemandReports = view.reportPeriod > core::Duration::zero();
    m_demandPause = std::min(view.demandPause, ReportPace::maxPeriod);
    m_context.customers.setPause(m_demandPause);
    m_context.reportPeriod
        = std::clamp(view.reportPeriod, ReportPace::minPeriod, ReportPace::maxPeriod);
    if (view.isCounted) {
        m_context.limits.setDaemonCount(view.daemonCount);
        for (auto &[service, budget] : m_context.budgets)
            budget.setDaemonCount(view.daemonCount);
    }
    m_onView();
}

void PeerLink::applyLoads(const PeerView &view)
{
    if (!view.hasLoad)
        return;
    const auto &endpoints = m_context.watch.endpoints();
    const bool isInIdOrder = view.loadsInIdOrder.size() == endpoints.size();
    // Endpoints were added or removed since the report; the next one has the new digest.
    if (!view.loadsInIdOrder.empty() && (!isInIdOrder || view.endpoints != digestOf(endpoints)))
        return;
    if (view.streams && view.streams->promptTokens.size() == endpoints.size() && isInIdOrder
        && m_context.forecast.isEnabled())
        m_context.forecast.applyView(*view.streams, endpoints, m_context.timers.now());
    m_context.loadsReceivedAt = m_context.timers.now();
    std::size_t index = 0;
    for (const auto &[id, endpoint] : endpoints) {
        double totalLoad = 0;
        if (isInIdOrder)
            totalLoad = view.loadsInIdOrder[index++];
        else if (const auto reported = view.load.find(id); reported != view.load.end())
            totalLoad = reported->second;
        m_context.pool.setOtherDaemonsLoad(
            id, std::max(0.0, totalLoad - m_context.pool.load(id, endpoint.slots)));
    }
}

// Ignores a view that arrives after a newer one or builds on a lost one; the next report states the
// known revision, and the coordinator sends the changes since then.
void PeerLink::applyContents(const PeerView &view)
{
    if (view.since > m_knownRevision || view.revision < m_knownRevision)
        return;
    m_knownRevision = view.revision;
    for (const auto &[id, change] : view.contents) {
        if (!m_context.placement.applyUpdate(id, change))
            m_knownRevision = 0;
    }
}

void PeerLink::sendView(const net::Address &peer, const PeerView &view)
{
    if (peer == addressOf(m_context.settings)) {
        applyView(view);
        return;
    }
    m_controlClient.call(peer, peerCall(viewMethod, encode(view, m_context.timers.now())),
                         callTimeout, [](const auto &) {});
}

} // namespace jackdawlead::gateway
