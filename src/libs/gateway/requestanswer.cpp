#include "gateway/requesttask.h"

#include "gateway/requestlimits.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// An answer of more bytes is passed on only as a whole, so this bounds what a daemon holds for it.
constexpr std::size_t maxBufferedAnswer = 4 * 1024 * 1024;
constexpr std::size_t maxUnsentBytes = 256 * 1024;
// Callers leave a stream after a gap of two seconds at least; a second run needs half of that.
constexpr core::Duration leastStall = std::chrono::milliseconds(1100);
constexpr int slowEndpointFactor = 2; ///< Callers of streams leave after 3.2 s and more.
// Until it is looked again for an endpoint in place of a silent one.
constexpr core::Duration replacementPause = std::chrono::milliseconds(100);
constexpr int stalledGaps = 4; ///< Target pauses after which a stream counts as stalled.
constexpr std::string_view dataField = "data:"; ///< Of an event; comments have none.

} // namespace

core::Duration RequestTask::stallLimit() const
{
    if (m_isRelaying)
        return std::max<core::Duration>(leastStall, m_route->targetGap * stalledGaps);
    return std::max<core::Duration>(leastStall, m_route->targetLatency * 2);
}

// One timer a request is set anew only when it fires, since events are many and stalls are few.
void RequestTask::armStallTimer()
{
    if (!m_route->isRepeatable())
        return;
    const core::TimePoint lastActivityAt = std::max({m_sentAt, m_headAt, m_times.lastAt()});
    // An endpoint that answers others is slow; only this connection may have gone silent.
    const bool isEndpointSilent = now() - m_context.pool.lastActivityAt(m_endpoint) >= stallLimit();
    const core::Duration limit
        = isEndpointSilent ? stallLimit() : stallLimit() * slowEndpointFactor;
    const core::Duration left = lastActivityAt + limit - now();
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
    if (!m_exchange->isOpen() || !m_context.budgets[m_service].canTake(now())
        || m_context.crashes.crashCount(fingerprint(), now()) > 1)
        return false;
    const auto choice = m_finder.choose(now());
    return choice.endpoint && (*choice.endpoint != m_endpoint || m_connection->isReused());
}

void RequestTask::endpointStalled()
{
    // Without a further run to be had, waiting is all that is left.
    const bool isLastRun = m_runs + 1 >= m_route->maxAttempts
        || m_sends >= (m_isRelaying ? maxSendsPerStream : maxSends);
    if (isLastRun || deadline() - now() < minRemainingTime)
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
    m_context.pool.health(m_endpoint).recordErrorResponse(now());
    sendFailed(Failure::MayHaveRun, "endpoint was silent for too long");
}

void RequestTask::headArrived(http::MessageHead &head)
{
    m_traits = platform::parseResponseTraits(head);
    m_headAt = now();
    m_context.pool.recordActivity(m_endpoint);
    noteEndpointState(head);
    m_isStream = m_route->isStream && head.status == 200 && m_traits.isStamped
        && !m_traits.hasContentEncoding;
    m_answer = std::move(head);
}

// Not before the first event: until then an endpoint that breaks off leaves room for another answer
// than a closed connection.
void RequestTask::startRelaying()
{
    if (m_isRelaying)
        return;
    m_isRelaying = true;
    m_exchange->startChunked(m_answer.status, platform::forwardedResponseHeaders(m_answer));
}

// Other requests may end by what the endpoint says, so that it is taken from the loop.
void RequestTask::noteEndpointState(const http::MessageHead &head)
{
    const bool isLeaving = platform::announcesLeaving(head.headers, m_endpoint);
    const fleet::Endpoint *endpoint = m_context.watch.endpoint(m_endpoint);
    if (endpoint == nullptr || (!isLeaving && !m_traits.retryAfter))
        return;
    if (m_traits.retryAfter)
        m_context.pool.setBackoff(*endpoint, now() + *m_traits.retryAfter);
    m_context.loop.post(
        [&context = m_context, isLeaving, id = m_endpoint, startTime = endpoint->startTime] {
            if (isLeaving) {
                context.leaving[id] = startTime;
                context.watch.markEndpointLeaving(id, startTime);
            } else {
                context.onEndpointBackoff(id);
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
    m_isBrokenStream = m_events.feed(bytes, events) == EventFilter::Result::Broken;
    if (m_isBrokenStream)
        breakExchange(); // What follows may be without end.
    // Comments, which an endpoint in trouble may go on to send, are no progress.
    const bool hasProgress = m_events.lastId() != lastId
        || (!m_events.lastId() && events.find(dataField) != std::string::npos);
    if (hasProgress) {
        m_context.pool.recordActivity(m_endpoint);
        learnCost();
        endPrefill();
        m_times.recordEvents(now());
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
    m_context.cost.recordFirstEvent(m_readingTokens, now() - m_sentAt, m_isAlone);
    m_context.pool.setPrefillTokensPerSecond(m_context.cost.tokensPerSecond());
}

void RequestTask::endPrefill()
{
    m_context.pool.endPrefill(m_endpoint, std::exchange(m_readingTokens, 0));
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
        m_connection->setReadEnabled(m_exchange->pendingOutput() < maxUnsentBytes);
}

void RequestTask::exchangeEnded(http::ExchangeEnd end)
{
    m_isSent = false;
    if (end == http::ExchangeEnd::Complete)
        m_context.pool.recordActivity(m_endpoint);
    endPrefill();
    m_context.pool.endRequest(m_endpoint, adapterKey());
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
    health.recordConnectionFailure(now());
    if (end == http::ExchangeEnd::Broken)
        m_context.crashes.recordConnectionFailure(fingerprint(), m_endpoint, now());
    if (wasUnreachable || !health.isUnreachable(now()))
        return;
    const fleet::Endpoint *endpoint = m_context.watch.endpoint(m_endpoint);
    const std::int64_t startTime = endpoint == nullptr ? 0 : endpoint->startTime.count();
    observability::log({.level = observability::LogLevel::Warn,
                        .step = "endpoint",
                        .message = "unreachable: connections broke in a row",
                        .peer = m_endpoint.value()});
    m_context.crashes.recordCrash(
        m_endpoint, decisions::CrashId(absl::StrCat(m_endpoint.value(), "@", startTime)), now());
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
        m_context.pool.health(m_endpoint).recordSuccess();
        logIfLate();
        if (m_times.hasEvents()) {
            m_context.metrics.recordFirstEvent(m_times.firstAt() - m_exchange->receivedAt);
            m_context.metrics.recordLongestPause(m_times.longestGap());
            if (m_sends == 1)
                m_context.cost.recordStreamDuration(m_times.lastAt() - m_times.firstAt());
        }
        m_status = m_answer.status;
        startRelaying();
        m_exchange->writeChunk(m_heldEvents + m_events.incompleteEvent());
        m_exchange->finishChunked();
        finish();
        return;
    }
    m_isBrokenStream = false;
    connectionBroke(end);
    if (end == http::ExchangeEnd::ConnectFailed) {
        m_finder.recordRefusal(now());
        sendFailed(Failure::NotSent, "cannot connect");
        return;
    }
    m_brokeAt = now();
    sendFailed(Failure::MayHaveRun, "stream broke");
}

void RequestTask::answerBuffered()
{
    const bool isUsable
        = !m_traits.hasContentEncoding && (m_traits.isStamped || m_answer.status >= 300);
    const bool isFailure = m_answer.status >= 500;
    if (!isUsable) {
        m_context.pool.health(m_endpoint).recordErrorResponse(now());
        sendFailed(Failure::MayHaveRun, "answer is not the endpoint's own");
        return;
    }
    if (!isFailure)
        m_context.pool.health(m_endpoint).recordSuccess();
    else
        m_context.pool.health(m_endpoint).recordErrorResponse(now());
    const bool isLate = deadline() - now() < minRemainingTime;
    if (isFailure && !isLate && mayTryAgain(Failure::MayHaveRun)) {
        choose();
        return;
    }
    m_exchange->respond(m_answer.status, platform::forwardedResponseHeaders(m_answer),
                        m_answerBody);
    m_status = m_answer.status;
    finish();
}

void RequestTask::notRun()
{
    m_finder.recordRefusal(now());
    if (m_traits.isMisdirected) {
        const fleet::AdapterKey key = adapterKey();
        m_context.placement.recordPlacementMiss(m_endpoint, key);
        m_context.placementMisses[m_endpoint].insert(key);
    }
    sendFailed(Failure::NotRun,
               m_traits.isMisdirected ? "endpoint lacks model, adapter or version"
                                      : "endpoint refused");
}

} // namespace jackdawlead::gateway
