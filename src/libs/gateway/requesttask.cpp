#include "gateway/requesttask.h"

#include "gateway/requestlimits.h"
#include "net/guard.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// The endpoint's own answer to a deadline is waited for this long; the callers' bound is 250 ms.
constexpr core::Duration deadlineGrace = std::chrono::milliseconds(120);
// An adapter takes 250 ms to load; the rest is room for orders in front of it. A caller that is
// sent away comes back once, after the target latency, so that waiting longer serves it better.
constexpr core::Duration loadWait = std::chrono::milliseconds(2500);
// From the order of a load to the first event: the load, its margin, and reading a prompt.
constexpr core::Duration timeFromLoadToAnswer = std::chrono::milliseconds(400);
// Part of the target latency that a request may wait for a free slot and still be on time.
constexpr double capacityWaitPart = 0.6;
constexpr double deadlineWaitPart = 0.4;
// Callers bear a gap of two seconds, four target latencies or eight target pauses, whichever is
// longest, and leave then.
constexpr core::Duration leastBearableGap = std::chrono::seconds(2);
constexpr int bearableLatencies = 4;
constexpr int bearablePauses = 8;
constexpr core::Duration loadRetryAfter = std::chrono::milliseconds(900);
constexpr core::Duration quarantineRetryAfter = std::chrono::minutes(5);
constexpr core::Duration startRetryAfter = std::chrono::milliseconds(500);
// A daemon that starts reads configuration and endpoints within some ten milliseconds while the
// store answers; a caller that is sent away comes back half a second later at the earliest.
constexpr core::Duration startWait = std::chrono::milliseconds(500);
// What a stream and a whole answer may take when a daemon stops; the longest streams of both
// deployments take five seconds.
constexpr core::Duration timeForStream = std::chrono::milliseconds(5200);
constexpr core::Duration timeForAnswer = std::chrono::milliseconds(2500);
constexpr std::string_view noHolder = "no endpoint holds what is asked for";

} // namespace

RequestTask::RequestTask(RequestContext &context, std::shared_ptr<http::ServerExchange> exchange,
                         DoneHandler onDone)
    : m_context(context)
    , m_exchange(std::move(exchange))
    , m_onDone(std::move(onDone))
    , m_finder(m_context, m_fields)
{ }

RequestTask::~RequestTask()
{
    dropConnection();
}

void RequestTask::attempt(const std::function<void()> &work)
{
    const auto self = shared_from_this();
    if (net::runGuarded("request", work) || m_isDone)
        return;
    observability::log({.level = observability::LogLevel::Error,
                        .step = "give up",
                        .message = "an exception ended the request",
                        .peer = m_endpoint.value(),
                        .request = m_fields.id.value()});
    net::runGuarded("request", [this] {
        m_exchange->abort();
        finish();
    });
}

void RequestTask::start()
{
    m_exchange->setDisconnectHandler([this] { callerLeft(); });
    m_exchange->setDrainedHandler([this] { slowDown(); });
    attempt([this] {
        m_fields = platform::parseRequestFields(m_exchange->head);
        resolveOrWait();
    });
}

void RequestTask::resolveOrWait()
{
    if (m_context.watch.isInitialized()) {
        resolve();
        return;
    }
    m_isWaiting = !m_context.stopRequestedAt && m_context.watch.isInitializing()
        && now() - m_exchange->receivedAt < startWait;
    if (!m_isWaiting)
        refuse("no configuration is known yet", startRetryAfter);
}

void RequestTask::resolve()
{
    m_routes = m_context.watch.routes();
    m_route = m_routes->find(m_exchange->head.headers.value("Host"), m_exchange->head.target);
    if (m_route == nullptr) {
        fail(404, "no route");
        return;
    }
    if (!canEndBeforeStop()) {
        refuse("the daemon is stopping", busyRetryAfter);
        return;
    }
    if (m_context.crashes.isQuarantined(fingerprint(), now())) {
        refuse("request was running when endpoints died", quarantineRetryAfter);
        return;
    }
    m_service = decisions::RouteTable::chooseTarget(*m_route, m_context.uniformRandom());
    m_finder.setService(m_service);
    m_context.budgets[m_service].recordRequest(now());
    if (!m_fields.adapter.isEmpty())
        ++m_context.demand[adapterKey()];
    m_deadlineTimer = m_context.timers.once(deadline() + deadlineGrace - now(),
                                            [this] { attempt([this] { deadlinePassed(); }); });
    choose();
}

// A stopping daemon takes nothing that it would have to cut off; callers find another one.
bool RequestTask::canEndBeforeStop() const
{
    if (!m_context.stopRequestedAt)
        return true;
    const core::Duration left
        = *m_context.stopRequestedAt + m_context.settings.bounds.grace - m_exchange->receivedAt;
    return left > (m_route->isStream ? timeForStream : timeForAnswer);
}

core::TimePoint RequestTask::deadline() const
{
    const core::Duration patience = m_fields.deadline.value_or(m_route->timeout);
    return m_exchange->receivedAt + std::min(patience, m_route->timeout);
}

void RequestTask::choose()
{
    m_isWaiting = false;
    if (deadline() - now() < minRemainingTime) {
        refuse("no time is left", busyRetryAfter);
        return;
    }
    if (m_isRelaying && now() >= waitLimit(decisions::NoEndpointReason::AllFull)) {
        refuse("no endpoint takes the stream that broke off", busyRetryAfter);
        return;
    }
    const auto choice = m_finder.choose(now());
    if (!choice.endpoint) {
        waitFor(choice.reason);
        return;
    }
    if (m_needsBudget && !m_context.budgets[m_service].tryTake(now())) {
        waitForBudget();
        return;
    }
    m_needsBudget = false;
    send(*m_context.watch.endpoint(*choice.endpoint));
}

// The next endpoint needs up to a target latency for its first event.
core::Duration RequestTask::resumeWait() const
{
    const core::Duration bearable
        = std::max({leastBearableGap, m_route->targetLatency * bearableLatencies,
                    m_route->targetGap * bearablePauses});
    return bearable - m_route->targetLatency;
}

core::TimePoint RequestTask::waitLimit(decisions::NoEndpointReason reason) const
{
    const core::TimePoint limit = waitLimitFromArrival(reason);
    if (!m_brokeAt)
        return limit;
    return std::max(limit, (m_isRelaying ? m_times.lastAt() : *m_brokeAt) + resumeWait());
}

core::TimePoint RequestTask::waitLimitFromArrival(decisions::NoEndpointReason reason) const
{
    const core::TimePoint arrival = m_exchange->receivedAt;
    const core::Duration mostOfDeadline = core::scaled(deadline() - arrival, deadlineWaitPart);
    if (reason == decisions::NoEndpointReason::NoCandidates)
        return arrival + std::min(loadWait, mostOfDeadline);
    return arrival
        + std::min(core::scaled(m_route->targetLatency, capacityWaitPart), mostOfDeadline);
}

void RequestTask::waitFor(decisions::NoEndpointReason reason)
{
    const bool needsLoad = reason == decisions::NoEndpointReason::NoCandidates;
    // The holders of a stream that broke off may only be full for a moment.
    const bool isHopeless = needsLoad && !m_isRelaying
        && (m_fields.model.isEmpty() || !m_context.isLoadingPossible());
    if (isHopeless) {
        refuse(noHolder, std::max(loadRetryAfter, m_context.timeUntilLoadsResume()));
        return;
    }
    const core::TimePoint backoffEnd
        = needsLoad ? now() : m_finder.earliestBackoffEnd(now()).value_or(now());
    if (now() >= waitLimit(reason) || backoffEnd > waitLimit(reason)) {
        refuse(needsLoad ? noHolder : "all endpoints are full",
               needsLoad ? loadRetryAfter : std::max(busyRetryAfter, backoffEnd - now()));
        return;
    }
    m_isWaiting = true;
    setWaitsForLoad(needsLoad);
}

// Each request that comes adds to the budget.
void RequestTask::waitForBudget()
{
    setWaitsForLoad(false);
    m_isWaiting = now() < waitLimit(decisions::NoEndpointReason::AllFull);
    if (!m_isWaiting)
        refuse("the budget of repeated sends is used up", busyRetryAfter);
}

// The coordinator is told at once, once for each wait: a request that waits looks for an endpoint
// fifty times a second, and a report each time kept the coordinator of 195 daemons from its orders.
void RequestTask::setWaitsForLoad(bool isWaiting)
{
    if (m_waitsForLoad == isWaiting)
        return;
    m_waitsForLoad = isWaiting;
    const fleet::AdapterKey key = adapterKey();
    const core::TimePoint startDeadline
        = m_exchange->receivedAt + m_route->targetLatency - timeFromLoadToAnswer;
    if (!isWaiting) {
        m_context.waiting.remove(key, startDeadline);
        return;
    }
    const bool isFirst = !m_context.waiting.contains(key);
    m_context.waiting.add(key, startDeadline);
    if (isFirst)
        m_context.onNewDemand();
}

void RequestTask::retryIfWaiting()
{
    if (!m_isWaiting || m_isDone)
        return;
    attempt([this] {
        if (m_routes)
            choose();
        else
            resolveOrWait();
    });
}

// A connection may take a second to open, which is a third of the time after which an endpoint that
// is leaving must get nothing more.
void RequestTask::giveUpConnecting(const core::EndpointId &id, std::string_view cause)
{
    if (m_isDone || !m_isSent || m_endpoint != id || m_connection->mayHaveSent())
        return;
    attempt([this, cause] {
        dropConnection();
        sendFailed(Failure::NotSent, cause);
    });
}

void RequestTask::send(const fleet::Endpoint &endpoint)
{
    setWaitsForLoad(false);
    ++m_sends;
    m_endpoint = endpoint.id;
    m_finder.markTried(endpoint.id);
    m_isSent = true;
    m_sentAt = now();
    if (m_sends == 1)
        m_context.metrics.recordWaitTime(m_sentAt - m_exchange->receivedAt);
    m_answerBody.clear();
    m_isStream = false;
    m_headAt = {};
    m_heldEvents.clear();
    m_startLoad = m_context.pool.load(endpoint.id, endpoint.slots)
        + m_context.pool.otherDaemonsLoad(endpoint.id);
    constexpr double fillOfFew = 0.5;
    m_isAlone = m_context.pool.pendingPrefillTokens(endpoint.id) == 0
        && m_startLoad < fillOfFew * endpoint.slots;
    m_context.pool.beginRequest(endpoint.id, adapterKey());
    m_readingTokens = m_fields.promptTokens;
    m_context.pool.beginPrefill(endpoint.id, m_readingTokens);
    platform::ForwardFields forward;
    forward.endpoint = endpoint.id;
    forward.deadline = deadline() - now();
    forward.adapterVersion = m_finder.expectedVersion(now());
    if (m_isRelaying) {
        m_events.startNextRun();
        forward.lastEventId = m_events.lastId();
    } else {
        m_events = EventFilter();
    }
    http::OutgoingRequest request;
    request.bytes = platform::formatForwardedRequest(m_exchange->head, m_exchange->body, forward);
    request.isHead = m_exchange->head.method == "HEAD";
    request.idField = platform::requestIdField();
    request.id = m_fields.id.value();
    http::ExchangeObserver observer;
    observer.onHead = [this](http::MessageHead &head) { headArrived(head); };
    observer.onBody = [this](const std::string &bytes) { bodyArrived(bytes); };
    observer.onEnd = [this](http::ExchangeEnd end) { exchangeEnded(end); };
    m_connection = m_context.pool.take(endpoint, !m_route->isRepeatable());
    m_connection->send(request, std::move(observer));
    armStallTimer();
}

} // namespace jackdawlead::gateway
