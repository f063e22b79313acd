#include "gateway/requesttask.h"

#include "core/text.h"
#include "gateway/sendlimits.h"
#include "net/guard.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// Extra time for the endpoint's own answer to an expired deadline; the clients' limit is 250 ms.
constexpr core::Duration deadlineGrace = std::chrono::milliseconds(120);
// An adapter takes 250 ms to load; the remaining time covers orders that precede the load. A client
// that is refused retries only once, after the target latency, so that a longer wait is better.
constexpr core::Duration maxLoadWait = std::chrono::milliseconds(2500);
// From the order of a load to the first event: the load, its margin and the prefill.
constexpr core::Duration timeFromLoadToAnswer = std::chrono::milliseconds(400);
// Fraction of the target latency that a request may wait for a free slot and still be on time.
constexpr double capacityWaitFraction = 0.6;
constexpr double deadlineWaitFraction = 0.4;
// Clients disconnect after a gap of two seconds, four target latencies or eight target gaps,
// whichever is longest.
constexpr core::Duration minToleratedGap = std::chrono::seconds(2);
constexpr int toleratedLatencies = 4;
constexpr int toleratedGaps = 8;
constexpr core::Duration loadRetryAfter = std::chrono::milliseconds(900);
constexpr core::Duration quarantineRetryAfter = std::chrono::minutes(5);
constexpr core::Duration startRetryAfter = std::chrono::milliseconds(500);
// After its start a daemon reads configuration and endpoints within some ten milliseconds if the
// store answers; a refused client retries half a second later at the earliest.
constexpr core::Duration maxConfigurationWait = std::chrono::milliseconds(500);
// How long a request with a part that may crash endpoints is held back before its first send.
constexpr core::Duration maxSuspectHold = std::chrono::milliseconds(500);
constexpr std::string_view noHolderCause = "no endpoint holds what is asked for";
constexpr std::string_view permitCause = "request limits of the endpoints are reached";

} // namespace

RequestTask::RequestTask(RequestContext &context, std::shared_ptr<http::ServerExchange> exchange,
                         DoneHandler onDone)
    : m_context(context)
    , m_exchange(std::move(exchange))
    , m_onDone(std::move(onDone))
    , m_finder(m_context, m_fields)
    , m_attempts(m_context.buffers, attemptHandlers())
    , m_failureShare(m_context.buffers)
{ }

// Its attempts end with it, which counts as the end of the request.
RequestTask::~RequestTask()
{
    m_isDone = true;
}

void RequestTask::runGuarded(const std::function<void()> &work)
{
    const auto self = shared_from_this();
    if (net::runGuarded("request", work) || m_isDone)
        return;
    observability::log({.level = observability::LogLevel::Error,
                        .step = "give up",
                        .message = "request aborted after an exception",
                        .peer = attempt().endpoint.value(),
                        .request = m_fields.id.value()});
    net::runGuarded("request", [this] {
        m_exchange->abort();
        finish();
    });
}

void RequestTask::start()
{
    m_exchange->setDisconnectHandler([this] { handleDisconnect(); });
    m_exchange->setDrainedHandler([this] { applyBackpressure(); });
    runGuarded([this] {
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
        && now() - m_exchange->receivedAt < maxConfigurationWait;
    if (!m_isWaiting)
        refuse("no configuration is known yet", startRetryAfter);
}

void RequestTask::resolve()
{
    m_routes = m_context.watch.routes();
    m_route = m_routes->find(m_exchange->head.headers.value("Host"), m_exchange->head.target);
    if (m_route == nullptr) {
        const http::MessageHead &head = m_exchange->head;
        failIfConfigurationIsCurrent(404,
                                     absl::StrCat("no route for ", head.headers.value("Host"),
                                                  head.target.substr(0, head.target.find('?'))));
        return;
    }
    if (!isAdmitted())
        return;
    m_identity = makeIdentity();
    if (isRejectedForCrashes())
        return;
    m_service = decisions::RouteTable::chooseTarget(*m_route, m_context.uniformRandom());
    m_finder.setService(m_service);
    setStreamTargets();
    m_finder.setTarget(m_route->targetLatency, m_exchange->receivedAt);
    m_context.budgets[m_service].recordRequest(now());
    if (!m_fields.adapter.isEmpty())
        ++m_context.demand[adapterKey()];
    m_deadlineTimer = m_context.timers.once(deadline() + deadlineGrace - now(),
                                            [this] { runGuarded([this] { handleDeadline(); }); });
    if (isTakeUp() && canFinishBeforeStop())
        findOrigin();
    else
        chooseEndpoint();
}

// Before anything counts the request, so that requests without a valid key change nothing.
bool RequestTask::isAdmitted()
{
    using customers::RequestAdmission;
    if (!m_admission)
        m_admission = std::make_unique<RequestAdmission>();
    switch (m_admission->checkKey(m_exchange->head, m_fields, m_routes, *m_route)) {
    case RequestAdmission::Verdict::Granted:
        if (const fleet::Customer *customer = m_admission->customer())
            m_context.metrics.recordCustomerRequest(customer->name.value());
        return !isQuotaUsedUp();
    case RequestAdmission::Verdict::InvalidKey:
        if (failIfConfigurationIsCurrent(401, m_admission->invalidityCause()))
            m_context.metrics.recordInvalidKey();
        return false;
    }
    return false;
}

// A client does not repeat a request after 404 or 401, so that they must not follow from a
// configuration that may lack the route or the key.
bool RequestTask::failIfConfigurationIsCurrent(int status, std::string_view cause)
{
    const auto age = core::toMilliseconds(now() - m_context.watch.configurationConfirmedAt());
    const std::string details
        = absl::StrCat(describeConfiguration(), ", confirmed ", age, " ms ago");
    if (m_context.watch.isConfigurationCurrent(m_exchange->receivedAt)) {
        fail(status, absl::StrCat(core::toAbsl(cause), ", ", details));
        return true;
    }
    m_routes.reset();
    m_route = nullptr;
    m_isWaiting = !m_context.stopRequestedAt && m_context.watch.confirmConfiguration()
        && now() - m_exchange->receivedAt < maxConfigurationWait;
    if (!m_isWaiting)
        refuse("the configuration may be outdated", startRetryAfter,
               absl::StrCat(core::toAbsl(cause), ", ", details));
    return false;
}

bool RequestTask::isRejectedForCrashes()
{
    const auto cause = m_context.crashes.rejectionCause(m_identity);
    if (!cause)
        return false;
    if (const core::PromptPartId *part = m_context.crashes.blockedPart(m_identity))
        observability::log({.step = "blocked part",
                            .message = absl::StrCat("prompt has the blocked part ", part->value()),
                            .request = m_fields.id.value()});
    refuse(*cause, quarantineRetryAfter);
    return true;
}

// A stopping daemon accepts only requests that it can finish; clients retry at another daemon. A
// wrong prediction costs the whole answer, a refusal one retry. A request that ran already has
// nothing to lose by a further send.
bool RequestTask::canFinishBeforeStop() const
{
    if (!m_context.stopRequestedAt)
        return true;
    auto confidence = now() <= m_context.predictionsUntil ? decisions::Confidence::Likely
                                                          : decisions::Confidence::NearlyCertain;
    if (m_runs > 0)
        confidence = decisions::Confidence::Possible;
    const auto expected = m_context.runTimes.longestExpected(m_service, *m_route, confidence);
    return decisions::canEndBy(m_context.answersDueAt, now(), deadline() - now(), expected);
}

core::TimePoint RequestTask::deadline() const
{
    const core::Duration requestTimeout = m_fields.deadline.value_or(m_route->timeout);
    return m_exchange->receivedAt + std::min(requestTimeout, m_route->timeout);
}

void RequestTask::chooseEndpoint()
{
    m_isWaiting = false;
    if (deadline() - now() < minRemainingTime) {
        refuse("no time is left", busyRetryAfter);
        return;
    }
    // Also before a further send: its answer would be cut off, although the request ran.
    if (!canFinishBeforeStop()) {
        refuse("the daemon is stopping", busyRetryAfter);
        return;
    }
    if (m_origin && !m_finder.isVersionServing()) {
        refuse("no endpoint has the software version at which the stream began", versionRetryAfter);
        return;
    }
    if (m_isForwarding && now() >= waitDeadline(decisions::NoEndpointReason::AllFull)) {
        refuse("no endpoint takes the stream that broke off", busyRetryAfter);
        return;
    }
    // The part may have been blocked while the request waited.
    if (m_context.crashes.blockedPart(m_identity) != nullptr && isRejectedForCrashes())
        return;
    // Meanwhile the part is found to be sound or blocked, if other requests with it are running.
    m_isWaiting = m_sends == 0 && m_context.crashes.hasSuspect(m_identity)
        && now() < m_exchange->receivedAt + maxSuspectHold;
    if (m_isWaiting)
        return;
    const auto choice = m_finder.choose(now());
    if (choice.reason == decisions::NoEndpointReason::RateLimited) {
        const bool isSameWait = m_awaitedPermit && m_finder.needsPermit(*m_awaitedPermit, now());
        waitForPermit(isSameWait ? *m_awaitedPermit : *choice.preferred);
        return;
    }
    setWaitsForPermit({});
    if (!choice.endpoint) {
        waitOrRefuse(choice.reason);
        return;
    }
    if (choice.preferred && !std::exchange(m_isPreferenceRecorded, true))
        m_context.limits.recordPreference(*choice.preferred);
    if (m_needsRetryBudget && !m_context.budgets[m_service].tryTake(now())) {
        waitForRetryBudget();
        return;
    }
    const fleet::Endpoint &endpoint = *m_context.watch.endpoint(*choice.endpoint);
    const bool mayBeginStream = m_route->isStream && !m_origin;
    m_isWaiting = mayBeginStream
        && !m_context.streams.mayBegin(m_fields.id, {m_service, endpoint.softwareVersion});
    if (m_isWaiting && now() >= waitDeadline(decisions::NoEndpointReason::AllFull))
        refuse("another software version cannot be recorded", busyRetryAfter);
    if (m_isWaiting || m_isDone)
        return;
    if (!tryCharge())
        return;
    m_needsRetryBudget = false;
    send(endpoint);
}

// One target latency is subtracted because the next endpoint needs up to that for its first event.
core::Duration RequestTask::maxResumeWait() const
{
    const core::Duration toleratedGap
        = std::max({minToleratedGap, m_route->targetLatency * toleratedLatencies,
                    m_route->targetGap * toleratedGaps});
    return toleratedGap - m_route->targetLatency;
}

core::TimePoint RequestTask::waitDeadline(decisions::NoEndpointReason reason) const
{
    const core::TimePoint limit = waitDeadlineFromArrival(reason);
    if (!m_interruptedAt)
        return limit;
    return std::max(limit,
                    (m_isForwarding ? m_times.lastAt() : *m_interruptedAt) + maxResumeWait());
}

core::TimePoint RequestTask::waitDeadlineFromArrival(decisions::NoEndpointReason reason) const
{
    const core::TimePoint arrival = m_exchange->receivedAt;
    const core::Duration maxWaitByDeadline
        = core::scaled(deadline() - arrival, deadlineWaitFraction);
    if (reason == decisions::NoEndpointReason::NoCandidates)
        return arrival + std::min(maxLoadWait, maxWaitByDeadline);
    return arrival
        + std::min(core::scaled(m_route->targetLatency, capacityWaitFraction), maxWaitByDeadline);
}

void RequestTask::waitOrRefuse(decisions::NoEndpointReason reason)
{
    const bool needsLoad = reason == decisions::NoEndpointReason::NoCandidates;
    // The endpoints that could resume an interrupted stream may be full only briefly.
    const bool isWaitPointless = needsLoad && !m_isForwarding
        && (m_fields.model.isEmpty() || !m_context.isLoadingPossible());
    if (isWaitPointless) {
        refuse(noHolderCause, std::max(loadRetryAfter, m_context.timeUntilLoadsResume()));
        return;
    }
    const core::TimePoint backoffEnd
        = needsLoad ? now() : m_finder.earliestBackoffEnd(now()).value_or(now());
    if (now() >= waitDeadline(reason) || backoffEnd > waitDeadline(reason)) {
        refuse(needsLoad ? noHolderCause : "all endpoints are full",
               needsLoad ? loadRetryAfter : std::max(busyRetryAfter, backoffEnd - now()));
        return;
    }
    m_isWaiting = true;
    setWaitsForLoad(needsLoad);
}

void RequestTask::waitForPermit(const core::EndpointId &id)
{
    const fleet::Endpoint *endpoint = m_context.watch.endpoint(id);
    const RateLimits::Queue queue = m_context.limits.queueFor(*endpoint);
    const bool isFirstCheck = !m_awaitedPermit;
    const bool canOthersServe = m_finder.hasUnlimitedEndpoint();
    // Under overload a queue would make all requests late that the endpoint accepts. Only those
    // wait then which can be in time, and permits that nobody waits for serve later requests at
    // once.
    const bool isInTime
        = now() + queue.expectedWait <= waitDeadline(decisions::NoEndpointReason::AllFull);
    const bool isPointless = isFirstCheck && !canOthersServe && queue.isOverloaded && !isInTime;
    if (isPointless || now() >= waitDeadline(decisions::NoEndpointReason::NoCandidates)) {
        m_context.limits.recordRefusal(id);
        refuse(permitCause, std::max(busyRetryAfter, queue.expectedWait));
        return;
    }
    if (isFirstCheck) {
        m_context.metrics.recordHeldRequest();
        observability::log(
            {.step = "wait for permit",
             .message = absl::StrCat("request limit reached, expected wait ",
                                     std::lround(core::toSeconds(queue.expectedWait) * 1000),
                                     " ms, ", queue.ahead, " ahead"),
             .peer = id.value(),
             .request = m_fields.id.value()});
    }
    m_isWaiting = true;
    setWaitsForPermit(id);
    // An endpoint without a limit can load the adapter meanwhile.
    setWaitsForLoad(canOthersServe && !m_fields.adapter.isEmpty() && m_context.isLoadingPossible());
}

void RequestTask::setWaitsForPermit(const std::optional<core::EndpointId> &id)
{
    if (m_awaitedPermit == id)
        return;
    if (m_awaitedPermit)
        m_context.limits.removeWaiting(*m_awaitedPermit);
    m_awaitedPermit = id;
    if (id)
        m_context.limits.addWaiting(*id);
}

// Waiting helps because each new request adds to the retry budget.
void RequestTask::waitForRetryBudget()
{
    setWaitsForLoad(false);
    m_isWaiting = now() < waitDeadline(decisions::NoEndpointReason::AllFull);
    if (!m_isWaiting)
        refuse("the budget of repeated sends is used up", busyRetryAfter);
}

// Reports the demand to the coordinator at once, but only once per wait: a waiting request looks
// for an endpoint fifty times a second, and a report each time kept the coordinator of 195 daemons
// from sending orders.
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
        if (m_origin)
            m_context.waiting.removePinned({key, m_origin->version});
        return;
    }
    if (m_origin)
        m_context.waiting.addPinned({key, m_origin->version});
    const bool isFirst = !m_context.waiting.contains(key) || m_origin;
    m_context.waiting.add(key, startDeadline);
    if (isFirst)
        m_context.onNewDemand();
}

void RequestTask::retryIfWaiting()
{
    if (!isWaiting() || m_isDone)
        return;
    runGuarded([this] {
        if (attempt().awaitsRecord)
            forwardEvents();
        else if (!m_routes)
            resolveOrWait();
        else if (isTakeUp() && !m_origin)
            findOrigin();
        else
            chooseEndpoint();
    });
}

void RequestTask::send(const fleet::Endpoint &endpoint)
{
    setWaitsForLoad(false);
    ++m_sends;
    auto next = std::make_unique<RequestAttempt>(m_context.buffers);
    next->number = m_sends;
    next->endpoint = endpoint.id;
    next->incarnation = endpoint.startTime;
    next->softwareVersion = endpoint.softwareVersion;
    next->adapterVersion = m_finder.heldVersion(endpoint.id, now());
    next->sentAt = now();
    next->loadAtSend = m_context.pool.load(endpoint.id, endpoint.slots)
        + m_context.pool.otherDaemonsLoad(endpoint.id);
    constexpr double lowUtilization = 0.5;
    next->wasLightlyLoaded = m_context.pool.pendingPrefillTokens(endpoint.id) == 0
        && next->loadAtSend < lowUtilization * endpoint.slots;
    next->pendingPrefillTokens = m_fields.promptTokens;
    if (isForecast())
        predictStream(endpoint, *next);
    platform::ForwardFields forward;
    if (m_isForwarding) {
        next->events = attempt().events;
        next->events.startNextRun();
        forward.lastEventId = next->events.lastId();
    } else if (isTakeUp()) {
        next->events.startAfter(*m_fields.lastEventId);
    }
    m_attempts.add(std::move(next));

    m_finder.markTried(endpoint.id);
    attempt().overflow = m_context.overflow.recordSend(
        m_service, endpoint.id, m_sends == 1, attempt().loadAtSend / endpoint.slots, now());
    if (m_sends == 1)
        m_context.metrics.recordWaitTime(attempt().sentAt - m_exchange->receivedAt);
    m_context.pool.beginRequest(endpoint.id, adapterKey());
    attempt().isCounted = true;
    m_context.limits.takePermit(endpoint);
    m_context.pool.beginPrefill(endpoint.id, attempt().pendingPrefillTokens);
    forward.endpoint = endpoint.id;
    forward.deadline = deadline() - now();
    m_admission->addTo(forward, *m_context.watch.routes());
    if (m_finder.expectedVersion())
        forward.adapterVersion = attempt().adapterVersion;
    startExchange(endpoint, forward);
    logRepeatedSend();
    armStallTimer();
}

void RequestTask::startExchange(const fleet::Endpoint &endpoint,
                                const platform::ForwardFields &forward)
{
    http::OutgoingRequest request;
    request.bytes = platform::formatForwardedRequest(m_exchange->head, m_exchange->body, forward);
    request.isHead = m_exchange->head.method == "HEAD";
    request.idField = platform::requestIdField();
    request.id = m_fields.id.value();
    http::ExchangeObserver observer;
    const int number = attempt().number;
    observer.onHead = [this, number](http::MessageHead &head) {
        if (m_attempts.select(number))
            handleHead(head);
    };
    observer.onBody = [this, number](const std::string &bytes) {
        if (m_attempts.select(number))
            handleBody(bytes);
    };
    observer.onEnd = [this, number](http::ExchangeEnd end) {
        if (m_attempts.select(number))
            handleExchangeEnd(end);
    };
    auto connection = takeConnection(endpoint);
    if (attempt().via) {
        request.bytes
            = RequestForwarder::wrap(request.bytes, endpoint.id, m_fields.id, *attempt().via,
                                     m_route->isRepeatable(), request.isHead);
        request.isHead = false;
    }
    connection->setReadEnabled(!m_isReadPaused);
    m_attempts.start(std::move(connection), request, std::move(observer));
}

} // namespace jackdawlead::gateway
