#include "gateway/requesttask.h"

#include "gateway/sendlimits.h"
#include "observability/log.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawlead::gateway {

namespace {

constexpr std::size_t maxUnsentBytes = 256 * 1024;
/// The same while the buffers of the process are nearly full.
constexpr std::size_t maxUnsentBytesUnderPressure = 16 * 1024;
// Clients disconnect after a gap of two seconds or more; a second run needs half of that.
constexpr core::Duration minStallLimit = std::chrono::milliseconds(1100);
constexpr int slowEndpointFactor = 2; ///< Clients of streams disconnect after 3.2 s or more.
// Interval of the search for an endpoint that can replace a stalled one.
constexpr core::Duration replacementInterval = std::chrono::milliseconds(100);
constexpr int stallGapFactor = 4; ///< Target gaps after which a stream counts as stalled.
// Endpoints that a prompt crashes do so as they begin to answer; later events show that it is
// sound.
constexpr core::Duration soundRunTime = std::chrono::milliseconds(500);
constexpr std::string_view dataField = "data:"; ///< Events have it, comments don't.

/// The type and subtype of the answer's content, in lower case; empty if they are not stated.
std::string mediaTypeOf(const http::MessageHead &head)
{
    const std::string type = head.headers.value("Content-Type");
    return absl::AsciiStrToLower(absl::StripAsciiWhitespace(type.substr(0, type.find(';'))));
}

} // namespace

core::Duration RequestTask::stallLimit() const
{
    if (m_isForwarding)
        return std::max<core::Duration>(minStallLimit, m_route->targetGap * stallGapFactor);
    return std::max<core::Duration>(minStallLimit, m_route->targetLatency * 2);
}

// The timer is restarted only when it fires, not for each event, because events are frequent and
// stalls are rare.
void RequestTask::armStallTimer()
{
    if (!m_route->isRepeatable())
        return;
    const core::TimePoint lastActivityAt = std::max({m_sentAt, m_headAt, m_times.lastAt()});
    // If the endpoint sends to other requests, it is slow, or only this connection is dead.
    const bool isEndpointSilent = now() - m_context.pool.lastActivityAt(m_endpoint) >= stallLimit();
    const core::Duration limit
        = isEndpointSilent ? stallLimit() : stallLimit() * slowEndpointFactor;
    const core::Duration remaining = lastActivityAt + limit - now();
    if (remaining <= core::Duration::zero()) {
        handleStall();
        return;
    }
    m_stallTimer = m_context.timers.once(remaining, [this] {
        if (m_isSent && !m_isDone)
            runGuarded([this] { armStallTimer(); });
    });
}

// A request that only waits in the endpoint's queue stays there unless another endpoint is
// available, because otherwise it would have no endpoint or go to the end of the same queue. The
// same endpoint is an option only if the connection was reused, because that one may be dead.
std::optional<core::EndpointId> RequestTask::findReplacement()
{
    if (!m_exchange->isOpen() || !canFinishBeforeStop()
        || !m_context.budgets[m_service].canTake(now())
        || !m_context.crashes.mayRunAgain(m_identity))
        return std::nullopt;
    const auto choice = m_finder.choose(now());
    const bool isDifferent
        = choice.endpoint && (*choice.endpoint != m_endpoint || m_connection->isReused());
    return isDifferent ? choice.endpoint : std::nullopt;
}

void RequestTask::handleStall()
{
    // If no further run is allowed, the request can only wait.
    const bool isLastRun = m_runs + 1 >= m_route->maxAttempts
        || m_sends >= (m_isForwarding ? maxSendsPerStream : maxSends);
    if (isLastRun || deadline() - now() < minRemainingTime)
        return;
    const auto replacement = findReplacement();
    if (replacement || !std::exchange(m_isSilenceLogged, true))
        logSilence(replacement);
    if (!replacement) {
        m_stallTimer = m_context.timers.once(replacementInterval, [this] {
            if (m_isSent && !m_isDone)
                runGuarded([this] { armStallTimer(); });
        });
        return;
    }
    dropConnection();
    m_interruptedAt = now();
    m_context.pool.health(m_endpoint).recordErrorResponse(now());
    handleSendFailure(Failure::MayHaveRun, "endpoint was silent for too long");
}

void RequestTask::handleHead(http::MessageHead &head)
{
    m_traits = platform::parseResponseTraits(head);
    m_headAt = now();
    m_context.pool.recordActivity(m_endpoint);
    const bool isOwnAnswer = m_traits.isStamped && !m_traits.isMisdirected;
    m_context.limits.recordResponse(
        m_endpoint, m_incarnation,
        platform::parseRequestLimit(head.status, head.headers, m_endpoint), isOwnAnswer, m_sentAt);
    applyEndpointState(head);
    // The end of such an answer does not show whether the endpoint is sound, but its begin does.
    if (isOwnAnswer && head.status < 500 && !head.isDelimited())
        m_context.pool.health(m_endpoint).recordSuccess();
    m_isStream = isStreamHead(head);
    m_answer = std::move(head);
    if (!m_isStream && m_exchange->head.method != "HEAD")
        reserveAnswer(m_answer.contentLength);
}

bool RequestTask::isStreamHead(const http::MessageHead &head) const
{
    return m_route->isStream && head.status == 200 && m_traits.isStamped
        && !m_traits.hasContentEncoding && (!m_isForwarding || mediaTypeOf(head) == m_mediaType);
}

// The head is forwarded only with the first event, so that the client can still get an error status
// or another endpoint's answer if the endpoint fails before that.
void RequestTask::startForwarding()
{
    if (m_isForwarding)
        return;
    m_isForwarding = true;
    m_awaitsRecord = false;
    m_mediaType = mediaTypeOf(m_answer);
    if (!m_origin)
        applyOrigin({m_service, m_softwareVersion});
    m_context.streams.recordBegin(begunBy(), *m_origin);
    m_exchange->startChunked(m_answer.status, platform::forwardedResponseHeaders(m_answer));
}

// The handlers run in the next event loop iteration because they may end other requests.
void RequestTask::applyEndpointState(const http::MessageHead &head)
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

void RequestTask::handleBody(std::string_view bytes)
{
    if (!m_isStream) {
        bufferAnswer(bytes);
        return;
    }
    if (m_isStreamMalformed)
        return;
    std::string events;
    const auto lastId = m_events.lastId();
    m_isStreamMalformed = m_events.feed(bytes, events) == EventFilter::Result::Broken;
    if (m_isStreamMalformed)
        endExchangeAsMalformed(); // The remaining bytes may be endless.
    // Comments are no progress, because a stalled endpoint may continue to send them.
    const bool hasProgress = m_events.lastId() != lastId
        || (!m_events.lastId() && events.find(dataField) != std::string::npos);
    if (!shareAnswer(m_heldEvents.size() + events.size() + m_events.incompleteEvent().size()))
        return;
    m_heldEvents += events;
    if (hasProgress)
        handleProgress();
    if (m_isForwarding)
        forwardEvents();
    else if (m_heldEvents.size() > maxUnsentBytes)
        endExchangeAsMalformed(); // Endless comments without an event.
}

void RequestTask::handleProgress()
{
    m_context.pool.recordActivity(m_endpoint);
    recordPrefillCost();
    endPrefill();
    if (!m_runBeganAt)
        m_runBeganAt = now();
    if (!m_isSound && now() - *m_runBeganAt >= soundRunTime)
        recordSoundRun();
    if (m_isForwarding) {
        m_times.recordEvents(now());
        return;
    }
    if (!m_awaitsRecord)
        m_context.streams.recordBegin(
            begunBy(), m_origin.value_or(StreamOrigin {m_service, m_softwareVersion}));
    forwardEvents();
}

// A client that has an event may take the stream up at a daemon that knows it only from the store.
void RequestTask::forwardEvents()
{
    m_awaitsRecord = !m_isForwarding && !m_origin && m_route->isRepeatable()
        && m_context.streams.mustHoldFirstEvent(m_fields.id, m_service, *m_runBeganAt);
    if (m_awaitsRecord)
        return;
    if (!m_isForwarding)
        m_times.recordEvents(now());
    startForwarding();
    if (m_heldEvents.empty())
        return;
    m_exchange->writeChunk(std::exchange(m_heldEvents, {}));
    m_answerShare.resize(m_events.incompleteEvent().size());
    applyBackpressure();
}

// A client names the request that brought the first event, however often it takes up.
const core::RequestId &RequestTask::begunBy() const
{
    const bool isNamed = isTakeUp() && !m_fields.begunBy.isEmpty();
    return isNamed ? m_fields.begunBy : m_fields.id;
}

void RequestTask::recordSoundRun()
{
    m_isSound = true;
    m_context.crashes.recordSound(m_identity);
}

void RequestTask::endExchangeAsMalformed()
{
    m_context.loop.post([weak = weak_from_this(), send = m_sends] {
        const auto self = weak.lock();
        if (!self || !self->m_isSent || self->m_sends != send)
            return;
        self->runGuarded([&self] {
            self->m_connection->abandon();
            self->handleExchangeEnd(http::ExchangeEnd::Malformed);
        });
    });
}

void RequestTask::recordPrefillCost()
{
    if (m_pendingPrefillTokens == 0)
        return;
    m_context.cost.recordFirstEvent(m_pendingPrefillTokens, now() - m_sentAt, m_wasLightlyLoaded);
    m_context.pool.setPrefillTokensPerSecond(m_context.cost.tokensPerSecond());
}

void RequestTask::recordRunTime()
{
    ServiceRunTimes &times = m_context.runTimes[m_service];
    (m_route->isStream ? times.streams : times.answers).record(now() - m_sentAt);
}

void RequestTask::endPrefill()
{
    m_context.pool.endPrefill(m_endpoint, std::exchange(m_pendingPrefillTokens, 0));
}

void RequestTask::logIfLate() const
{
    if (!m_times.isLate(*m_route, m_exchange->receivedAt))
        return;
    observability::log({.level = observability::LogLevel::Info,
                        .step = "late",
                        .message = absl::StrCat(m_times.describe(m_exchange->receivedAt, m_sentAt),
                                                ", in progress there ", std::lround(m_loadAtSend)),
                        .peer = m_endpoint.value(),
                        .request = m_fields.id.value()});
}

// A first send has no line, because a request that succeeds at once must not write to the log.
void RequestTask::logRepeatedSend() const
{
    if (m_sends == 1)
        return;
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = "send",
         .message = absl::StrCat("send ", m_sends, ", ",
                                 core::toMilliseconds(now() - m_exchange->receivedAt),
                                 " ms after its arrival, ", describeProgress(),
                                 ", in progress there ", std::lround(m_loadAtSend)),
         .peer = m_endpoint.value(),
         .request = m_fields.id.value()});
}

void RequestTask::logSilence(const std::optional<core::EndpointId> &replacement)
{
    const core::TimePoint activeAt = m_context.pool.lastActivityAt(m_endpoint);
    const std::string activity = activeAt == core::TimePoint()
        ? std::string("never")
        : absl::StrCat(core::toMilliseconds(now() - activeAt), " ms ago");
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = "silent endpoint",
         .message = absl::StrCat("sent ", core::toMilliseconds(now() - m_sentAt), " ms ago, run ",
                                 m_runBeganAt ? "has begun" : "has not begun", ", ",
                                 describeProgress(), ", endpoint last active ", activity,
                                 ", replacement ", replacement ? replacement->value() : "none"),
         .peer = m_endpoint.value(),
         .request = m_fields.id.value()});
}

std::string RequestTask::describeProgress() const
{
    if (!m_times.hasEvents())
        return "no event forwarded";
    const auto lastId = m_events.lastId();
    return absl::StrCat("event ", lastId ? std::to_string(*lastId) : "without id", " forwarded ",
                        core::toMilliseconds(now() - m_times.lastAt()), " ms ago");
}

void RequestTask::applyBackpressure()
{
    const std::size_t limit
        = m_context.buffers.isLargePartUsed() ? maxUnsentBytesUnderPressure : maxUnsentBytes;
    if (m_connection && m_isSent)
        m_connection->setReadEnabled(m_exchange->pendingOutput() < limit);
}

// The framing of an answer says where its bytes end, not whether its last event is whole: an
// answer without length or chunks also ends with its connection if the endpoint crashes.
http::ExchangeEnd RequestTask::verifiedEnd(http::ExchangeEnd end) const
{
    const bool isAtClose = end == http::ExchangeEnd::CompleteAtClose;
    // An endpoint that ends after the head leaves the same bytes as one without anything to say.
    constexpr int firstFailureStatus = 300;
    if (isAtClose && !m_isStream && m_answer.status < firstFailureStatus && m_answerBody.empty())
        return http::ExchangeEnd::Broken;
    const bool isWhole = m_events.endsBetweenEvents() && (m_runBeganAt || !isAtClose);
    if (!m_isStream || !http::isComplete(end) || isWhole)
        return end;
    m_context.metrics.recordTruncatedStream(isAtClose);
    const std::string lastEvent
        = m_events.lastId() ? absl::StrCat("event ", *m_events.lastId()) : std::string("no event");
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = "truncated stream",
         .message
         = absl::StrCat("stream ended inside an event or before its first one, ",
                        isAtClose ? "with its connection, " : "with a regular end of its framing, ",
                        m_events.incompleteEvent().size(), " bytes after ", lastEvent),
         .peer = m_endpoint.value(),
         .request = m_fields.id.value()});
    return isAtClose ? http::ExchangeEnd::Broken : http::ExchangeEnd::Malformed;
}

void RequestTask::handleExchangeEnd(http::ExchangeEnd reportedEnd)
{
    m_isSent = false;
    m_awaitsRecord = false;
    const http::ExchangeEnd end = verifiedEnd(reportedEnd);
    if (http::isComplete(end))
        m_context.pool.recordActivity(m_endpoint);
    endPrefill();
    m_context.pool.endRequest(m_endpoint, adapterKey());
    m_context.pool.giveBack(m_endpoint, std::move(m_connection));
    if (m_isDone) {
        // The client disconnected while at-most-once work ran, which must not be aborted.
        m_onDone(shared_from_this());
        return;
    }
    if (http::isComplete(end) && m_traits.isNotRun) {
        handleRefusal();
        return;
    }
    if (m_isStream || m_isForwarding) {
        handleStreamEnd(end);
        return;
    }
    if (http::isComplete(end)) {
        sendBufferedAnswer();
        return;
    }
    handleConnectionFailure(end);
    if (end == http::ExchangeEnd::ConnectFailed)
        handleSendFailure(Failure::NotSent, "cannot connect");
    else
        handleSendFailure(Failure::MayHaveRun, "connection broke before the answer was complete");
}

void RequestTask::handleConnectionFailure(http::ExchangeEnd end)
{
    if (end == http::ExchangeEnd::Broken)
        m_context.crashes.recordBrokenExchange(m_endpoint, m_incarnation, m_identity);
    else
        m_context.crashes.recordConnectionFailure(m_endpoint, m_incarnation);
}

// The fingerprint uses host, path and body because they are equal in every retry by the client; the
// id is not. The last part of a prompt belongs to the request or its session alone.
decisions::RequestIdentity RequestTask::makeIdentity() const
{
    const http::MessageHead &head = m_exchange->head;
    decisions::RequestIdentity identity;
    identity.fingerprint = decisions::fingerprintOf(
        core::CustomerId(head.headers.value("Host")),
        {core::AdapterId(absl::StrCat(m_fields.model.value(), "/", m_fields.adapter.value())),
         head.target},
        m_exchange->body);
    identity.parts = m_fields.promptParts;
    if (!identity.parts.empty())
        identity.parts.pop_back();
    return identity;
}

void RequestTask::handleStreamEnd(http::ExchangeEnd end)
{
    // It is not known whether the earlier run broke off after its last event. The client can ask
    // for the rest and sees then that an endpoint has none.
    const bool isEmptyRest = m_isForwarding && !m_runBeganAt;
    if (http::isComplete(end) && m_isStream && !m_isStreamMalformed && !isEmptyRest) {
        if (m_answer.isDelimited())
            m_context.pool.health(m_endpoint).recordSuccess();
        if (m_answer.isDelimited() && m_runBeganAt)
            recordSoundRun();
        if (m_runBeganAt && !m_isForwarding)
            m_times.recordEvents(now());
        logIfLate();
        if (m_times.hasEvents()) {
            m_context.metrics.recordFirstEvent(m_times.firstAt() - m_exchange->receivedAt);
            m_context.metrics.recordLongestPause(m_times.longestGap());
            if (m_sends == 1 && m_runBeganAt)
                m_context.cost.recordStreamDuration(m_times.lastAt() - *m_runBeganAt);
        }
        recordRunTime();
        m_status = m_answer.status;
        startForwarding();
        m_exchange->writeChunk(m_heldEvents + m_events.incompleteEvent());
        m_exchange->finishChunked();
        finish();
        return;
    }
    m_isStreamMalformed = false;
    if (http::isComplete(end) && (!m_isStream || isEmptyRest)) {
        m_context.pool.health(m_endpoint).recordErrorResponse(now());
        m_interruptedAt = now();
        handleSendFailure(Failure::MayHaveRun, "answer is not the rest of the stream");
        return;
    }
    handleConnectionFailure(end);
    if (end == http::ExchangeEnd::ConnectFailed) {
        m_finder.recordRefusal(now());
        handleSendFailure(Failure::NotSent, "cannot connect");
        return;
    }
    m_interruptedAt = now();
    handleSendFailure(Failure::MayHaveRun, "stream broke");
}

void RequestTask::sendBufferedAnswer()
{
    const bool isUsable
        = !m_traits.hasContentEncoding && (m_traits.isStamped || m_answer.status >= 300);
    const bool isFailure = m_answer.status >= 500;
    if (!isUsable) {
        m_context.pool.health(m_endpoint).recordErrorResponse(now());
        handleSendFailure(Failure::MayHaveRun, "answer is not the endpoint's own");
        return;
    }
    if (isFailure)
        m_context.pool.health(m_endpoint).recordErrorResponse(now());
    else if (m_answer.isDelimited())
        m_context.pool.health(m_endpoint).recordSuccess();
    const bool isLate = deadline() - now() < minRemainingTime;
    if (isFailure && !isLate && recordFailedSend(Failure::MayHaveRun)) {
        chooseEndpoint();
        return;
    }
    recordRunTime();
    m_exchange->respond(m_answer.status, platform::forwardedResponseHeaders(m_answer),
                        m_answerBody);
    m_status = m_answer.status;
    finish();
}

void RequestTask::handleRefusal()
{
    m_finder.recordRefusal(now());
    if (m_traits.isMisdirected) {
        const fleet::AdapterKey key = adapterKey();
        m_context.placement.recordPlacementMiss(m_endpoint, key);
        m_context.placementMisses[m_endpoint].insert(key);
    }
    handleSendFailure(Failure::NotRun,
                      m_traits.isMisdirected ? "endpoint lacks model, adapter or version"
                                             : "endpoint refused");
}

} // namespace jackdawlead::gateway
