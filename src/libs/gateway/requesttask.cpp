#include "gateway/requesttask.h"

#include "core/text.h"
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
// A send with less time left than this cannot be answered: half of the shortest work of 20 ms is
// reading, and a region away costs 60 ms.
constexpr core::Duration leastTimeLeft = std::chrono::milliseconds(80);
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
// Sends that are certain not to have run do not use up the route's attempts, but they must end.
constexpr int maxSends = 4;
// A stream that broke off goes on for as long as its caller waits; each send takes from the budget.
constexpr int maxSendsOfStream = 8;
// An answer of more bytes is passed on only as a whole, so this bounds what a daemon holds for it.
constexpr std::size_t maxBufferedAnswer = 4 * 1024 * 1024;
constexpr std::size_t maxUnsentBytes = 256 * 1024;
constexpr core::Duration busyRetryAfter = std::chrono::milliseconds(400);
constexpr core::Duration loadRetryAfter = std::chrono::milliseconds(900);
// Callers leave a stream after a gap of two seconds at least; a second run needs half of that.
constexpr core::Duration leastStall = std::chrono::milliseconds(1100);
constexpr int slowEndpointFactor = 2; ///< Callers of streams leave after 3.2 s and more.
/// Until it is looked again for an endpoint in place of a silent one.
constexpr core::Duration replacementPause = std::chrono::milliseconds(100);
constexpr int stalledGaps = 4; ///< Target pauses after which a stream counts as stalled.
constexpr core::Duration quarantineRetryAfter = std::chrono::minutes(5);
constexpr core::Duration startRetryAfter = std::chrono::milliseconds(500);
// A daemon that starts reads configuration and endpoints within some ten milliseconds while the
// store answers; a caller that is sent away comes back half a second later at the earliest.
constexpr core::Duration startWait = std::chrono::milliseconds(500);
// At-most-once work whose caller is gone runs on; the endpoint ends it at its deadline, which is
// 4 s for such work on both deployments.
constexpr core::Duration unattendedTime = std::chrono::seconds(10);
// What a stream and a whole answer may take when a daemon stops; the longest streams of both
// deployments take five seconds.
constexpr core::Duration timeForStream = std::chrono::milliseconds(5200);
constexpr core::Duration timeForAnswer = std::chrono::milliseconds(2500);
constexpr double spreadOfRetryAfter = 0.5;
constexpr std::string_view dataField = "data:"; ///< Of an event; comments have none.
constexpr std::string_view noHolder = "no endpoint holds what is asked for";

long long inMilliseconds(core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

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

template <typename Work> void RequestTask::attempt(const Work &work)
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
    m_exchange->setGoneHandler([this] { callerLeft(); });
    m_exchange->setDrainedHandler([this] { slowDown(); });
    attempt([this] {
        m_fields = platform::readCallerFields(m_exchange->head);
        resolveOrWait();
    });
}

void RequestTask::resolveOrWait()
{
    if (m_context.watch.isComplete()) {
        resolve();
        return;
    }
    m_isWaiting = !m_context.stopBegan && m_context.watch.isStarting()
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
    m_service = decisions::RouteTable::chooseTarget(*m_route, m_context.draw());
    m_finder.setService(m_service);
    m_context.budgets[m_service].requestCame(now());
    if (!m_fields.adapter.isEmpty())
        ++m_context.demand[adapterKey()];
    m_deadlineTimer = m_context.timers.once(deadline() + deadlineGrace - now(),
                                            [this] { attempt([this] { deadlinePassed(); }); });
    choose();
}

// A stopping daemon takes nothing that it would have to cut off; callers find another one.
bool RequestTask::canEndBeforeStop() const
{
    if (!m_context.stopBegan)
        return true;
    const core::Duration left
        = *m_context.stopBegan + m_context.settings.bounds.grace - m_exchange->receivedAt;
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
    if (deadline() - now() < leastTimeLeft) {
        refuse("no time is left", busyRetryAfter);
        return;
    }
    if (m_isRelaying && now() >= waitLimit(decisions::NoChoice::AllFull)) {
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

core::TimePoint RequestTask::waitLimit(decisions::NoChoice reason) const
{
    const core::TimePoint limit = waitLimitFromArrival(reason);
    if (!m_brokeAt)
        return limit;
    return std::max(limit, (m_isRelaying ? m_times.lastAt() : *m_brokeAt) + resumeWait());
}

core::TimePoint RequestTask::waitLimitFromArrival(decisions::NoChoice reason) const
{
    const core::TimePoint arrival = m_exchange->receivedAt;
    const core::Duration mostOfDeadline = core::scaled(deadline() - arrival, deadlineWaitPart);
    if (reason == decisions::NoChoice::NoEndpoint)
        return arrival + std::min(loadWait, mostOfDeadline);
    return arrival
        + std::min(core::scaled(m_route->targetLatency, capacityWaitPart), mostOfDeadline);
}

void RequestTask::waitFor(decisions::NoChoice reason)
{
    const bool needsLoad = reason == decisions::NoChoice::NoEndpoint;
    // The holders of a stream that broke off may only be full for a moment.
    const bool isHopeless = needsLoad && !m_isRelaying
        && (m_fields.model.isEmpty() || !m_context.isLoadingPossible());
    if (isHopeless) {
        refuse(noHolder, std::max(loadRetryAfter, m_context.untilLoadsResume()));
        return;
    }
    const core::TimePoint restEnd
        = needsLoad ? now() : m_finder.firstRestEnd(now()).value_or(now());
    if (now() >= waitLimit(reason) || restEnd > waitLimit(reason)) {
        refuse(needsLoad ? noHolder : "all endpoints are full",
               needsLoad ? loadRetryAfter : std::max(busyRetryAfter, restEnd - now()));
        return;
    }
    m_isWaiting = true;
    setWaitsForLoad(needsLoad);
}

// Each request that comes adds to the budget.
void RequestTask::waitForBudget()
{
    setWaitsForLoad(false);
    m_isWaiting = now() < waitLimit(decisions::NoChoice::AllFull);
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
    const core::TimePoint latestStart
        = m_exchange->receivedAt + m_route->targetLatency - timeFromLoadToAnswer;
    if (!isWaiting) {
        m_context.waiting.remove(key, latestStart);
        return;
    }
    const bool isFirst = !m_context.waiting.contains(key);
    m_context.waiting.add(key, latestStart);
    if (isFirst)
        m_context.onDemand();
}

void RequestTask::endpointsChanged()
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
    if (m_isDone || !m_isSent || m_endpoint != id || m_connection->hasSent())
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
    m_finder.tried(endpoint.id);
    m_isSent = true;
    m_sentAt = now();
    if (m_sends == 1)
        m_context.metrics.sentAfter(m_sentAt - m_exchange->receivedAt);
    m_answerBody.clear();
    m_isStream = false;
    m_headAt = {};
    m_heldEvents.clear();
    m_startLoad
        = m_context.pool.load(endpoint.id, endpoint.slots) + m_context.pool.others(endpoint.id);
    constexpr double fillOfFew = 0.5;
    m_isAlone
        = m_context.pool.reading(endpoint.id) == 0 && m_startLoad < fillOfFew * endpoint.slots;
    m_context.pool.began(endpoint.id, adapterKey());
    m_readingTokens = m_fields.promptTokens;
    m_context.pool.readingBegan(endpoint.id, m_readingTokens);
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
    request.bytes = platform::writeForwardedRequest(m_exchange->head, m_exchange->body, forward);
    request.isHead = m_exchange->head.method == "HEAD";
    request.idField = platform::requestIdField();
    request.id = m_fields.id.value();
    http::ExchangeObserver observer;
    observer.onHead = [this](http::MessageHead &head) { headArrived(head); };
    observer.onBody = [this](const std::string &bytes) { bodyArrived(bytes); };
    observer.onEnd = [this](http::ExchangeEnd end) { exchangeEnded(end); };
    m_connection = m_context.pool.take(endpoint, !m_route->mayRunAgain());
    m_connection->send(request, std::move(observer));
    armStallTimer();
}

core::Duration RequestTask::stallLimit() const
{
    if (m_isRelaying)
        return std::max<core::Duration>(leastStall, m_route->targetGap * stalledGaps);
    return std::max<core::Duration>(leastStall, m_route->targetLatency * 2);
}

// One timer a request is set anew only when it fires, since events are many and stalls are few.
void RequestTask::armStallTimer()
{
    if (!m_route->mayRunAgain())
        return;
    const core::TimePoint heardAt = std::max({m_sentAt, m_headAt, m_times.lastAt()});
    // An endpoint that answers others is slow; only this connection may have gone silent.
    const bool isEndpointSilent = now() - m_context.pool.heardAt(m_endpoint) >= stallLimit();
    const core::Duration limit
        = isEndpointSilent ? stallLimit() : stallLimit() * slowEndpointFactor;
    const core::Duration left = heardAt + limit - now();
    if (left <= core::Duration::zero()) {
        endpointStalled();
        return;
    }
    m_stallTimer = m_context.timers.once(left, [this] {
        if (m_isSent && !m_isDone)
            attempt([this] { armStallTimer(); });
    });
}

// A request that only waits in the endpoint's queue is better off there than without any endpoint,
// or at the end of the same queue. A connection that was open before may have gone silent.
bool RequestTask::canBeReplaced()
{
    if (!m_exchange->isOpen() || !m_context.budgets[m_service].has(now())
        || m_context.crashes.deaths(fingerprint(), now()) > 1)
        return false;
    const auto choice = m_finder.choose(now());
    return choice.endpoint && (*choice.endpoint != m_endpoint || m_connection->wasUsed());
}

void RequestTask::endpointStalled()
{
    // Without a further run to be had, waiting is all that is left.
    const bool isLastRun = m_runs + 1 >= m_route->maxAttempts
        || m_sends >= (m_isRelaying ? maxSendsOfStream : maxSends);
    if (isLastRun || deadline() - now() < leastTimeLeft)
        return;
    if (!canBeReplaced()) {
        m_stallTimer = m_context.timers.once(replacementPause, [this] {
            if (m_isSent && !m_isDone)
                attempt([this] { armStallTimer(); });
        });
        return;
    }
    dropConnection();
    m_brokeAt = now();
    m_context.pool.health(m_endpoint).answeredFailure(now());
    sendFailed(Failure::MayHaveRun, "endpoint was silent for too long");
}

void RequestTask::headArrived(http::MessageHead &head)
{
    m_traits = platform::readAnswerTraits(head);
    m_headAt = now();
    m_context.pool.heard(m_endpoint);
    noteEndpointState(head);
    m_isStream
        = m_route->isStream && head.status == 200 && m_traits.isStamped && !m_traits.isEncoded;
    m_answer = std::move(head);
}

// Not before the first event: until then an endpoint that breaks off leaves room for another answer
// than a closed connection.
void RequestTask::startRelaying()
{
    if (m_isRelaying)
        return;
    m_isRelaying = true;
    m_exchange->startChunked(m_answer.status, platform::answerFieldsForCaller(m_answer));
}

// Other requests may end by what the endpoint says, so that it is taken from the loop.
void RequestTask::noteEndpointState(const http::MessageHead &head)
{
    const bool isLeaving = platform::saysLeaving(head.headers, m_endpoint);
    const fleet::Endpoint *endpoint = m_context.watch.endpoint(m_endpoint);
    if (endpoint == nullptr || (!isLeaving && !m_traits.restFor))
        return;
    if (m_traits.restFor)
        m_context.pool.restUntil(*endpoint, now() + *m_traits.restFor);
    m_context.loop.post([&context = m_context, isLeaving, id = m_endpoint, born = endpoint->born] {
        if (isLeaving) {
            context.leaving[id] = born;
            context.watch.endpointLeaves(id, born);
        } else {
            context.onEndpointRests(id);
        }
    });
}

void RequestTask::bodyArrived(std::string_view bytes)
{
    if (!m_isStream) {
        if (m_answerBody.size() + bytes.size() > maxBufferedAnswer)
            breakExchange(); // Too large to be passed on whole, and perhaps without end.
        else if (!m_isDone)
            m_answerBody.append(bytes);
        return;
    }
    if (m_isBrokenStream)
        return;
    std::string events;
    const auto lastId = m_events.lastId();
    m_isBrokenStream = m_events.take(bytes, events) == EventFilter::Verdict::Broken;
    if (m_isBrokenStream)
        breakExchange(); // What follows may be without end.
    // Comments, which an endpoint in trouble may go on to send, are no progress.
    const bool hasProgress = m_events.lastId() != lastId
        || (!m_events.lastId() && events.find(dataField) != std::string::npos);
    if (hasProgress) {
        m_context.pool.heard(m_endpoint);
        learnCost();
        readingEnded();
        m_times.eventsCame(now());
        startRelaying();
    }
    m_heldEvents += events;
    if (!m_isRelaying && m_heldEvents.size() > maxUnsentBytes)
        breakExchange(); // Comments without end, and no event.
    if (!m_isRelaying || m_heldEvents.empty())
        return;
    m_exchange->writeChunk(std::exchange(m_heldEvents, {}));
    slowDown();
}

void RequestTask::breakExchange()
{
    m_context.loop.post([weak = weak_from_this(), send = m_sends] {
        const auto self = weak.lock();
        if (!self || !self->m_isSent || self->m_sends != send)
            return;
        self->attempt([&self] {
            self->m_connection->abandon();
            self->exchangeEnded(http::ExchangeEnd::Malformed);
        });
    });
}

void RequestTask::learnCost()
{
    if (m_readingTokens == 0)
        return;
    m_context.cost.firstEventCame(m_readingTokens, now() - m_sentAt, m_isAlone);
    m_context.pool.setTokensPerSecond(m_context.cost.tokensPerSecond());
}

void RequestTask::readingEnded()
{
    m_context.pool.readingEnded(m_endpoint, std::exchange(m_readingTokens, 0));
}

void RequestTask::logIfLate() const
{
    if (!m_times.isLate(*m_route, m_exchange->receivedAt))
        return;
    observability::log({.level = observability::LogLevel::Info,
                        .step = "late",
                        .message = absl::StrCat(m_times.describe(m_exchange->receivedAt, m_sentAt),
                                                ", in progress there ", std::lround(m_startLoad)),
                        .peer = m_endpoint.value(),
                        .request = m_fields.id.value()});
}

void RequestTask::slowDown()
{
    if (m_connection && m_isSent)
        m_connection->setReading(m_exchange->pendingOutput() < maxUnsentBytes);
}

void RequestTask::exchangeEnded(http::ExchangeEnd end)
{
    m_isSent = false;
    if (end == http::ExchangeEnd::Complete)
        m_context.pool.heard(m_endpoint);
    readingEnded();
    m_context.pool.ended(m_endpoint, adapterKey());
    m_context.pool.giveBack(m_endpoint, std::move(m_connection));
    if (m_isDone) {
        // The caller left while work ran that must not be cut off.
        m_onDone(shared_from_this());
        return;
    }
    if (end == http::ExchangeEnd::Complete && m_traits.isNotRun) {
        notRun();
        return;
    }
    if (m_isStream || m_isRelaying) {
        streamEnded(end);
        return;
    }
    if (end == http::ExchangeEnd::Complete) {
        answerBuffered();
        return;
    }
    connectionBroke(end);
    if (end == http::ExchangeEnd::ConnectFailed)
        sendFailed(Failure::NotSent, "cannot connect");
    else
        sendFailed(Failure::MayHaveRun, "connection broke before the answer was complete");
}

void RequestTask::connectionBroke(http::ExchangeEnd end)
{
    decisions::EndpointHealth &health = m_context.pool.health(m_endpoint);
    const bool wasUnreachable = health.isUnreachable(now());
    health.broke(now());
    if (end == http::ExchangeEnd::Broken)
        m_context.crashes.broke(fingerprint(), m_endpoint, now());
    if (wasUnreachable || !health.isUnreachable(now()))
        return;
    const fleet::Endpoint *endpoint = m_context.watch.endpoint(m_endpoint);
    const std::int64_t born = endpoint == nullptr ? 0 : endpoint->born.count();
    observability::log({.level = observability::LogLevel::Warn,
                        .step = "endpoint",
                        .message = "unreachable: connections broke in a row",
                        .peer = m_endpoint.value()});
    m_context.crashes.died(m_endpoint,
                           decisions::DeathId(absl::StrCat(m_endpoint.value(), "@", born)), now());
}

// Host, path and body are the same each time such a request comes; its id is not.
decisions::Fingerprint RequestTask::fingerprint() const
{
    const http::MessageHead &head = m_exchange->head;
    return decisions::fingerprintOf(
        core::CustomerId(head.headers.value("Host")),
        {core::AdapterId(absl::StrCat(m_fields.model.value(), "/", m_fields.adapter.value())),
         head.target},
        m_exchange->body);
}

void RequestTask::streamEnded(http::ExchangeEnd end)
{
    if (end == http::ExchangeEnd::Complete && m_isStream && !m_isBrokenStream) {
        m_context.pool.health(m_endpoint).succeeded();
        logIfLate();
        if (m_times.hasEvents()) {
            m_context.metrics.firstEvent(m_times.firstAt() - m_exchange->receivedAt);
            m_context.metrics.longestPause(m_times.longestPause());
            if (m_sends == 1)
                m_context.cost.streamEnded(m_times.lastAt() - m_times.firstAt());
        }
        m_status = m_answer.status;
        startRelaying();
        m_exchange->writeChunk(m_heldEvents + m_events.rest());
        m_exchange->finishChunked();
        finish();
        return;
    }
    m_isBrokenStream = false;
    connectionBroke(end);
    if (end == http::ExchangeEnd::ConnectFailed) {
        m_finder.refused(now());
        sendFailed(Failure::NotSent, "cannot connect");
        return;
    }
    m_brokeAt = now();
    sendFailed(Failure::MayHaveRun, "stream broke");
}

void RequestTask::answerBuffered()
{
    const bool isUsable = !m_traits.isEncoded && (m_traits.isStamped || m_answer.status >= 300);
    const bool isFailure = m_answer.status >= 500;
    if (!isUsable) {
        m_context.pool.health(m_endpoint).answeredFailure(now());
        sendFailed(Failure::MayHaveRun, "answer is not the endpoint's own");
        return;
    }
    if (!isFailure)
        m_context.pool.health(m_endpoint).succeeded();
    else
        m_context.pool.health(m_endpoint).answeredFailure(now());
    const bool isLate = deadline() - now() < leastTimeLeft;
    if (isFailure && !isLate && mayTryAgain(Failure::MayHaveRun)) {
        choose();
        return;
    }
    m_exchange->respond(m_answer.status, platform::answerFieldsForCaller(m_answer), m_answerBody);
    m_status = m_answer.status;
    finish();
}

void RequestTask::notRun()
{
    m_finder.refused(now());
    if (m_traits.isOtherInstance) {
        const fleet::AdapterKey key = adapterKey();
        m_context.placement.contradicted(m_endpoint, key);
        m_context.contradictions[m_endpoint].insert(key);
    }
    sendFailed(Failure::NotRun,
               m_traits.isOtherInstance ? "endpoint lacks model, adapter or version"
                                        : "endpoint refused");
}

bool RequestTask::mayTryAgain(Failure failure)
{
    if (failure == Failure::MayHaveRun) {
        ++m_runs;
        if (!m_route->mayRunAgain() || m_runs >= m_route->maxAttempts)
            return false;
    }
    if (m_sends >= (m_isRelaying ? maxSendsOfStream : maxSends) || !m_exchange->isOpen())
        return false;
    // A request that was running when two endpoints died is not carried to a third one by us.
    if (failure == Failure::MayHaveRun && m_context.crashes.deaths(fingerprint(), now()) > 1)
        return false;
    // The budget counts what arrives at endpoints.
    if (failure == Failure::NotSent)
        return true;
    m_needsBudget = m_isRelaying;
    return m_needsBudget || m_context.budgets[m_service].tryTake(now());
}

void RequestTask::sendFailed(Failure failure, std::string_view cause)
{
    const bool isRepeated = mayTryAgain(failure);
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = isRepeated ? "send again" : "give up",
         .message = absl::StrCat(core::toAbsl(cause), ", sends ", m_sends, ", may have run ",
                                 m_runs, ", status ", m_answer.status),
         .peer = m_endpoint.value(),
         .request = m_fields.id.value()});
    if (isRepeated) {
        m_context.metrics.sentAgain(std::string(cause));
        choose();
        return;
    }
    if (m_isRelaying) {
        abortStream(cause);
        return;
    }
    if (m_runs == 0)
        refuse(cause, busyRetryAfter);
    else
        fail(502, cause);
}

void RequestTask::deadlinePassed()
{
    if (m_isDone)
        return;
    if (m_isRelaying) {
        abortStream("the deadline has passed");
        return;
    }
    if (m_isSent || m_runs > 0)
        fail(504, "no answer within the deadline");
    else
        refuse("no endpoint within the deadline", busyRetryAfter);
}

void RequestTask::endBeforeStop()
{
    if (m_isDone)
        return;
    attempt([this] {
        constexpr std::string_view cause = "the daemon stops";
        if (m_isRelaying)
            abortStream(cause);
        else if (m_isSent || m_runs > 0)
            fail(504, cause);
        else
            refuse(cause, busyRetryAfter);
    });
}

void RequestTask::callerLeft()
{
    if (m_isDone)
        return;
    const bool mustFinish = m_isSent && !m_route->mayRunAgain() && !m_route->isStream;
    observability::log({.level = observability::LogLevel::Debug,
                        .step = "caller left",
                        .message = mustFinish ? "work goes on" : "work is cut off",
                        .peer = m_endpoint.value(),
                        .request = m_fields.id.value()});
    finish();
}

void RequestTask::refuse(std::string_view cause, core::Duration retryAfter)
{
    if (m_isRelaying) {
        abortStream(cause);
        return;
    }
    // A refusal promises that nothing ran.
    if (m_runs > 0) {
        fail(502, cause);
        return;
    }
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = "refuse",
         .message = absl::StrCat(
             core::toAbsl(cause), ", model ", m_fields.model.value(), "/", m_fields.adapter.value(),
             ", held ", inMilliseconds(now() - m_exchange->receivedAt), " ms, sends ", m_sends),
         .peer = m_endpoint.value(),
         .request = m_fields.id.value()});
    const core::Duration delay
        = core::scaled(retryAfter, 1.0 + spreadOfRetryAfter * m_context.draw());
    m_exchange->respond(503, platform::retryAfterFields(delay), {});
    m_context.metrics.refused(std::string(cause));
    m_status = 503;
    finish();
}

void RequestTask::abortStream(std::string_view cause)
{
    const core::TimePoint brokeAt = m_brokeAt.value_or(now());
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = "abort stream",
         .message = absl::StrCat(
             core::toAbsl(cause), ", ", inMilliseconds(now() - m_exchange->receivedAt),
             " ms after its arrival and ", inMilliseconds(now() - brokeAt),
             " ms after an endpoint broke off, sends ", m_sends, ", may have run ", m_runs),
         .peer = m_endpoint.value(),
         .request = m_fields.id.value()});
    m_exchange->abort();
    finish();
}

void RequestTask::fail(int status, std::string_view cause)
{
    observability::log({.level = observability::LogLevel::Info,
                        .step = "fail",
                        .message = absl::StrCat("status ", status, ", ", core::toAbsl(cause)),
                        .peer = m_endpoint.value(),
                        .request = m_fields.id.value()});
    m_exchange->respond(status, {}, {});
    m_status = status;
    finish();
}

void RequestTask::dropConnection()
{
    if (!m_connection)
        return;
    if (m_isSent) {
        readingEnded();
        m_context.pool.ended(m_endpoint, adapterKey());
    }
    m_isSent = false;
    m_connection->abandon();
    m_context.pool.giveBack(m_endpoint, std::move(m_connection));
}

void RequestTask::finish()
{
    m_isDone = true;
    m_isWaiting = false;
    setWaitsForLoad(false);
    m_deadlineTimer.cancel();
    m_stallTimer.cancel();
    m_context.metrics.answered(m_status, now() - m_exchange->receivedAt);
    // At-most-once work that was sent keeps its connection until it ends; all else is cut off.
    const bool mustFinish
        = m_isSent && m_route != nullptr && !m_route->mayRunAgain() && !m_route->isStream;
    if (mustFinish) {
        m_deadlineTimer = m_context.timers.once(unattendedTime, [this] {
            dropConnection();
            m_onDone(shared_from_this());
        });
        return;
    }
    dropConnection();
    m_onDone(shared_from_this());
}

} // namespace jackdawlead::gateway
