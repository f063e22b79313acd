#include "gateway/coordinator.h"

#include "observability/log.h"
#include "platform/decoder.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway {

namespace {

constexpr core::Duration tickPeriod = std::chrono::milliseconds(50);
constexpr core::Duration summaryPeriod = std::chrono::seconds(1);
// Combines planning requests that arrive at nearly the same time, because a pass over all endpoints
// takes some tenths of a millisecond.
constexpr core::Duration planDelay = std::chrono::milliseconds(5);
// Reports have some kilobytes. An endpoint that answers without end must not take more, because all
// endpoints may be asked at the same time.
constexpr std::size_t maxEndpointResponseBytes = 64UL * 1024;
// Planning takes at most a fifth of the time, so that a daemon with a small CPU share has
// the remainder for orders, reports and the requests of its own clients.
constexpr int planningPauseFactor = 4;
// A daemon reports every 750 ms at the latest; it counts as stopped when three reports in a row are
// missing.
constexpr core::Duration daemonTimeout = std::chrono::milliseconds(2500);
// Longer than two report intervals, because a daemon may miss one view.
constexpr core::Duration leavingRetention = std::chrono::seconds(3);
// Endpoints respond within milliseconds, those in another region after 60 ms.
constexpr core::Duration orderTimeout = std::chrono::milliseconds(200);
// An order without a response is resent with the same expected revision, so that the endpoint
// executes only one of the two.
constexpr int maxOrderSends = 3;
constexpr core::Duration reportTimeout = std::chrono::milliseconds(600);
// An endpoint that is in back-off for any daemon counts as overloaded, so that its adapters are
// copied to other endpoints.
constexpr double backoffUtilization = 2;

decisions::OrderOutcome outcomeOf(platform::OrderResult result)
{
    switch (result) {
    case platform::OrderResult::Accepted:
        return decisions::OrderOutcome::Accepted;
    case platform::OrderResult::AlreadyApplied:
        return decisions::OrderOutcome::AlreadyApplied;
    case platform::OrderResult::Conflict:
        return decisions::OrderOutcome::Conflict;
    case platform::OrderResult::Refused:
        return decisions::OrderOutcome::Refused;
    case platform::OrderResult::Unknown:
        break;
    }
    return decisions::OrderOutcome::Unknown;
}

bool isReport(const http::Response &response)
{
    return response.status == 200 && platform::decodeReport(response.body).ok();
}

constexpr const char *nameOf(decisions::OrderOutcome outcome)
{
    switch (outcome) {
    case decisions::OrderOutcome::Accepted:
        return "accepted";
    case decisions::OrderOutcome::AlreadyApplied:
        return "done";
    case decisions::OrderOutcome::Conflict:
        return "conflict";
    case decisions::OrderOutcome::Refused:
        return "refused";
    case decisions::OrderOutcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace

Coordinator::Coordinator(const fleet::HostSettings &settings, net::TimerService &timers,
                         http::ControlClient &controlClient, FleetWatch &watch, RateLimits &limits,
                         CoordinatorElection &election, observability::GatewayMetrics &metrics,
                         observability::EventLoopProfiler &profiler,
                         const decisions::RequestCostEstimator &requestCost, ViewSender sendView)
    : m_settings(settings)
    , m_timers(timers)
    , m_controlClient(controlClient)
    , m_watch(watch)
    , m_limits(limits)
    , m_election(election)
    , m_metrics(metrics)
    , m_profiler(profiler)
    , m_requestCost(requestCost)
    , m_sendView(std::move(sendView))
    , m_planner({})
{ }

Coordinator::~Coordinator()
{
    *m_isAlive = false;
}

void Coordinator::start()
{
    m_tickDueAt = m_timers.now() + tickPeriod;
    m_tickTimer = m_timers.every(tickPeriod, [this] {
        m_profiler.recordTimerDelay(m_tickDueAt);
        m_tickDueAt = m_timers.now() + tickPeriod;
        const observability::EventLoopProfiler::Scope scope(m_profiler, "ticks");
        tick();
    });
}

// The delay of the timers distinguishes an overloaded coordinator from endpoints that do not
// respond; the times of the summary show which work causes the load.
void Coordinator::writeSummary()
{
    const core::TimePoint now = m_timers.now();
    if (now - m_lastSummaryAt < summaryPeriod || m_planner.endpoints().empty())
        return;
    m_lastSummaryAt = now;
    std::size_t needingReport = 0;
    std::size_t withOrder = 0;
    for (const auto &[id, state] : m_planner.endpoints()) {
        needingReport += state.needsReport ? 1 : 0;
        withOrder += state.hasPendingOrder ? 1 : 0;
    }
    const int daemonCount = static_cast<int>(m_daemons.size());
    const bool isOverloaded = m_profiler.longestTimerDelay() > tickPeriod * 2;
    const auto level = isOverloaded ? observability::LogLevel::Warn : observability::LogLevel::Info;
    observability::log({.level = level,
                        .step = "coordinator",
                        .message = absl::StrCat(
                            m_profiler.takeSummary(), "; daemons ", daemonCount, ", endpoints ",
                            m_planner.endpoints().size(), ", with a pending order ", withOrder,
                            ", without a report ", needingReport,
                            ", adapters with waiting requests ", waitingRequests().size(),
                            ", report interval ", core::toMilliseconds(m_pace.period(daemonCount)),
                            " ms, minimum interval of demand reports ",
                            core::toMilliseconds(m_pace.demandPause(daemonCount)),
                            " ms, concurrent load limit ", m_planner.concurrentLoadLimit())});
}

void Coordinator::tick()
{
    if (!m_election.isHolder()) {
        m_wasHolder = false;
        m_metrics.setDaemonsWithoutKeys(0);
        return;
    }
    if (!m_wasHolder)
        becomeHolder();
    writeSummary();
    updateLoads();
    updateReadiness();
    updateRequestLimits();
    updateRelays();
    updateForwarders();
    if (m_crashes.update(m_timers.now()))
        scheduleViewsForAll();
    if (!m_election.canIssueOrders())
        return;
    requestReports();
    schedulePlanning();
    m_planner.demand().prune(m_timers.now());
}

// State from an earlier term as holder may be outdated, so all endpoints are read again and have to
// report.
void Coordinator::becomeHolder()
{
    m_wasHolder = true;
    m_holderSince = m_timers.now();
    m_token = m_election.lease().record()->token;
    m_permitIssuer.reset();
    m_quotas.beginTerm(m_token, m_holderSince);
    for (const auto &[id, endpoint] : m_watch.endpoints())
        updateEndpoint(endpoint);
    for (const auto &[id, state] : m_planner.endpoints())
        m_planner.requireReport(id);
}

std::optional<net::Address> Coordinator::anyLiveDaemon() const
{
    const core::TimePoint now = m_timers.now();
    for (const auto &[host, daemon] : m_daemons) {
        if (host != m_settings.host && now - daemon.reportedAt <= daemonTimeout)
            return daemon.address;
    }
    return std::nullopt;
}

void Coordinator::updateEndpoint(const fleet::Endpoint &endpoint)
{
    if (!m_watch.routes())
        return;
    const fleet::ServiceSpec *service = m_watch.routes()->service(endpoint.service);
    if (service == nullptr || !service->engine)
        return;
    const auto region = m_settings.regions.find(endpoint.domain);
    m_planner.setEndpoint(endpoint,
                          region == m_settings.regions.end() ? core::RegionId() : region->second,
                          *service->engine);
}

void Coordinator::removeEndpoint(const core::EndpointId &id)
{
    m_planner.removeEndpoint(id);
    m_contents.remove(id);
}

void Coordinator::setAnnouncedVersion(const fleet::AnnouncedVersion &version)
{
    m_planner.recordAnnouncedVersion(version);
}

void Coordinator::updateLoads()
{
    const core::TimePoint now = m_timers.now();
    const auto silentDaemons = std::erase_if(m_daemons, [now](const auto &entry) {
        return now - entry.second.reportedAt > daemonTimeout;
    });
    m_areForwardersOutdated |= silentDaemons > 0;
    std::erase_if(m_leavingEndpoints, [now](const auto &entry) {
        return now - entry.second.reportedAt > leavingRetention;
    });
    m_streams.update(m_watch.endpoints(), m_settings.regions, now);
    m_totalLoad.clear();
    for (const auto &[host, daemon] : m_daemons) {
        for (const auto &[id, load] : daemon.load)
            m_totalLoad[id] += load;
    }
    std::set<core::EndpointId> endpointsInBackoff;
    for (const auto &[host, daemon] : m_daemons)
        endpointsInBackoff.insert(daemon.endpointsInBackoff.begin(),
                                  daemon.endpointsInBackoff.end());
    for (const auto &[id, state] : m_planner.endpoints()) {
        const auto load = m_totalLoad.find(id);
        const double sum = load == m_totalLoad.end() ? 0 : load->second;
        m_planner.setLoad(
            id, endpointsInBackoff.contains(id) ? backoffUtilization : sum / state.endpoint.slots);
    }
}

void Coordinator::mergeAdaptersInUse()
{
    std::map<core::EndpointId, decisions::AdapterSet> inUse;
    for (const auto &[host, daemon] : m_daemons) {
        for (const auto &[id, keys] : daemon.inUse)
            inUse[id].insert(keys.begin(), keys.end());
    }
    m_planner.setInUse(std::move(inUse));
}

void Coordinator::updateRelays()
{
    std::vector<decisions::RelayCandidate> candidates;
    candidates.reserve(m_daemons.size());
    for (const auto &[host, daemon] : m_daemons)
        candidates.push_back({host, daemon.domain, daemon.availableCores, host == m_settings.host,
                              daemon.isStoreReachable});
    m_relays.update(candidates, m_timers.now());
}

PeerView Coordinator::handleReport(const PeerReport &report)
{
    if (!m_election.isHolder())
        return {};
    if (!m_wasHolder)
        becomeHolder();
    const observability::EventLoopProfiler::Scope scope(m_profiler, "daemon reports");
    const core::TimePoint now = m_timers.now();
    Daemon &daemon = m_daemons[report.host];
    if (auto address = platform::decodeAddress(report.peerAddress); address.ok())
        daemon.address = *std::move(address);
    daemon.domain = report.domain;
    daemon.region = report.region;
    daemon.availableCores = report.availableCores;
    const bool isNewDaemon = daemon.reportedAt == core::TimePoint();
    daemon.reportedAt = now;
    daemon.isStoreReachable = report.isStoreReachable;
    m_areForwardersOutdated |= isNewDaemon || daemon.sendsForOthers != report.sendsForOthers;
    daemon.sendsForOthers = report.sendsForOthers;
    daemon.understandsCustomers = report.understandsCustomers;
    daemon.waiting = report.waiting;
    daemon.pinned = report.pinned;
    if (report.isViewRequested) {
        daemon.load = report.load;
        m_streams.addReport(report.host, report.domain, report.streams, now);
        daemon.inUse = report.inUse;
        daemon.endpoints = report.endpoints;
        daemon.endpointsInBackoff = report.endpointsInBackoff;
    }
    for (const auto &[key, count] : report.demand)
        m_planner.demand().add(key, report.region, count, now);
    for (const auto &[id, keys] : report.placementMisses) {
        for (const fleet::AdapterKey &key : keys) {
            m_planner.recordPlacementMiss(id, key, now);
            m_contents.scheduleResend(id, key);
        }
    }
    if (m_crashes.addReport(report.crashes, now))
        scheduleViewsForAll();
    for (const auto &[id, startTime] : report.leaving)
        recordLeavingEndpoint(id, startTime);
    m_limits.applyUpdates(report.limits, report.host.value());
    for (const core::EndpointId &id : report.unreachable)
        m_planner.markUnreachable(id, now);
    if (!report.demand.empty())
        schedulePlanning();
    daemon.knownRevision = report.token == m_token ? report.knownRevision : 0;
    m_lastReportKind = report.isViewRequested ? decisions::ReportPace::Kind::Regular
                                              : decisions::ReportPace::Kind::Demand;
    PeerView view = report.isViewRequested ? fullViewFor(report.host, daemon) : baseViewFor(daemon);
    view.grants = issuePermits(report);
    if (report.quota)
        view.quota = m_quotas.answer(report.host, *report.quota, now);
    return view;
}

void Coordinator::recordLeavingEndpoint(const core::EndpointId &id, fleet::StartTime startTime)
{
    m_leavingEndpoints[id] = {startTime, m_timers.now()};
    m_watch.markEndpointLeaving(id, startTime);
}

void Coordinator::applyEndpointState(const core::EndpointId &id, const http::Response &response,
                                     core::TimePoint sentAt)
{
    const fleet::Endpoint *endpoint = m_watch.endpoint(id);
    if (endpoint == nullptr)
        return;
    if (platform::announcesLeaving(response.headers, id))
        recordLeavingEndpoint(id, endpoint->startTime);
    m_limits.recordResponse(id, endpoint->startTime,
                            platform::parseRequestLimit(response.status, response.headers, id),
                            false, sentAt);
}

void Coordinator::requestReports()
{
    for (const core::EndpointId &id : m_planner.endpointsNeedingReport(m_timers.now())) {
        const fleet::Endpoint *endpoint = m_watch.endpoint(id);
        if (endpoint == nullptr || m_pendingReports.contains(id)
            || !m_permitIssuer.canCharge(id, m_timers.now()))
            continue;
        m_pendingReports.insert(id);
        takePermit(id);
        const core::TimePoint sentAt = m_timers.now();
        m_controlClient.call(
            endpoint->address, platform::makeReportRequest(id), reportTimeout,
            [this, alive = m_isAlive, id, sentAt](auto response) {
                if (!*alive)
                    return;
                const observability::EventLoopProfiler::Scope scope(m_profiler, "endpoint reports");
                m_pendingReports.erase(id);
                if (response.ok())
                    applyEndpointState(id, *response, sentAt);
                if (!response.ok() || response->status != 200) {
                    m_profiler.count("failed endpoint reports");
                    m_planner.recordReportFailure(id, m_timers.now());
                    return;
                }
                const auto report = platform::decodeReport(response->body);
                if (!report.ok()) {
                    observability::logError(observability::LogLevel::Warn, report.status());
                    m_planner.recordReportFailure(id, m_timers.now());
                    return;
                }
                m_planner.applyReport(id, *report, sentAt);
                schedulePlanning();
            },
            {.maxResponseBytes = maxEndpointResponseBytes,
             .isOwnResponse = [](const http::Response &response) {
                 return response.status != 200 || isReport(response);
             }});
    }
}

void Coordinator::schedulePlanning()
{
    if (m_planTimer.isActive())
        return;
    const core::Duration pause = std::max(
        planDelay, m_lastPlanEndedAt + m_lastPlanDuration * planningPauseFactor - m_timers.now());
    m_planTimer = m_timers.once(pause, [this] { issueOrders(); });
}

void Coordinator::issueOrders()
{
    if (!m_election.canIssueOrders())
        return;
    const observability::EventLoopProfiler::Scope scope(m_profiler, "plans");
    const core::TimePoint begin = m_timers.now();
    m_planner.setRequestCost(m_requestCost);
    m_planner.setWaiting(waitingRequests());
    m_planner.setPinned(pinnedAdapters());
    mergeAdaptersInUse();
    const auto orders = m_planner.plan(begin);
    m_lastPlanEndedAt = m_timers.now();
    m_lastPlanDuration = m_lastPlanEndedAt - begin;
    m_metrics.recordPlanningPass(m_lastPlanDuration, m_planner.concurrentLoadLimit());
    for (const decisions::PlannedOrder &planned : orders)
        sendOrder(planned, 0);
}

std::set<fleet::PinnedAdapter> Coordinator::pinnedAdapters() const
{
    std::set<fleet::PinnedAdapter> pinned;
    for (const auto &[host, daemon] : m_daemons)
        pinned.insert(daemon.pinned.begin(), daemon.pinned.end());
    return pinned;
}

decisions::WaitingCounts Coordinator::waitingRequests() const
{
    decisions::WaitingCounts waiting;
    for (const auto &[host, daemon] : m_daemons) {
        for (const auto &[key, count] : daemon.waiting)
            waiting[key][daemon.region].add(count);
    }
    return waiting;
}

void Coordinator::sendOrder(const decisions::PlannedOrder &planned, int sends)
{
    const fleet::Endpoint *endpoint = m_watch.endpoint(planned.endpoint);
    if (endpoint == nullptr || !m_election.canIssueOrders()) {
        m_planner.recordOrderOutcome(planned, decisions::OrderOutcome::Refused, m_timers.now());
        return;
    }
    platform::Order order;
    order.operation
        = planned.isLoad ? platform::OrderOperation::Load : platform::OrderOperation::Unload;
    order.endpoint = planned.endpoint;
    order.model = planned.model;
    order.adapter = planned.adapter;
    order.version = planned.version;
    order.orderRevision = planned.orderRevision;
    order.holder = m_settings.host;
    order.token = m_election.lease().record()->token;
    const core::TimePoint sentAt = m_timers.now();
    takePermit(planned.endpoint);
    m_controlClient.call(
        endpoint->address, platform::makeOrderRequest(order), orderTimeout,
        [this, alive = m_isAlive, planned, sentAt, sends](auto response) {
            if (!*alive)
                return;
            const observability::EventLoopProfiler::Scope scope(m_profiler, "order responses");
            if (response.ok())
                applyEndpointState(planned.endpoint, *response, sentAt);
            const auto result = response.ok() ? platform::orderResultFromStatus(response->status)
                                              : platform::OrderResult::Unknown;
            handleOrderResponse(planned, outcomeOf(result), response.ok() ? response->status : 0,
                                sentAt, sends + 1);
        },
        {.maxResponseBytes = maxEndpointResponseBytes,
         .needsOwnSuccess = !planned.isLoad,
         .isOwnResponse = [](const http::Response &response) { return !isReport(response); }});
}

void Coordinator::handleOrderResponse(const decisions::PlannedOrder &planned,
                                      decisions::OrderOutcome outcome, int status,
                                      core::TimePoint sentAt, int sends)
{
    observability::log(
        {.step = planned.isLoad ? "order load" : "order unload",
         .message = absl::StrCat(planned.model.value(), "/", planned.adapter.value(), " ",
                                 nameOf(outcome), ", status ", status, " after ",
                                 core::toMilliseconds(m_timers.now() - sentAt), " ms, revision ",
                                 planned.orderRevision, ", sends ", sends),
         .peer = planned.endpoint.value()});
    m_profiler.count(nameOf(outcome));
    m_metrics.recordOrderOutcome(planned.isLoad ? "load" : "unload", nameOf(outcome));
    if (outcome == decisions::OrderOutcome::Unknown && sends < maxOrderSends) {
        sendOrder(planned, sends);
        return;
    }
    // The endpoint executed the earlier send, whose response was lost, and so changed its revision.
    if (outcome == decisions::OrderOutcome::Conflict && sends > 1)
        outcome = decisions::OrderOutcome::Accepted;
    m_planner.recordOrderOutcome(planned, outcome, m_timers.now());
    if (planned.isLoad && outcome == decisions::OrderOutcome::Accepted)
        scheduleViewsForLoad(planned);
    if (!planned.isLoad && m_election.canIssueOrders()) {
        if (const auto load = m_planner.planReservedLoad(planned.endpoint, m_timers.now()))
            sendOrder(*load, 0);
    }
    schedulePlanning();
}

} // namespace jackdawlead::gateway
