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
// Endpoints that a prompt crashes do so as they begin to answer; later events show that it is
// sound.
constexpr core::Duration soundRunTime = std::chrono::milliseconds(500);
constexpr int firstFailureStatus = 300;
constexpr std::string_view dataField = "data:"; ///< Events have it, comments don't.

/// The type and subtype of the answer's content, in lower case; empty if they are not stated.
std::string mediaTypeOf(const http::MessageHead &head)
{
    const std::string type = head.headers.value("Content-Type");
    return absl::AsciiStrToLower(absl::StripAsciiWhitespace(type.substr(0, type.find(';'))));
}

} // namespace

void RequestTask::handleHead(http::MessageHead &head)
{
    attempt().headAt = now();
    if (!applyForwardOutcome(head))
        return;
    attempt().traits = platform::parseResponseTraits(head);
    m_context.pool.recordActivity(attempt().endpoint);
    const bool isOwnAnswer = attempt().traits.isStamped && !attempt().traits.isMisdirected;
    m_context.limits.recordResponse(
        attempt().endpoint, attempt().incarnation,
        platform::parseRequestLimit(head.status, head.headers, attempt().endpoint), isOwnAnswer,
        attempt().sentAt);
    m_context.refusalLimits.recordAnswer(
        m_service, platform::parseRefusalLimit(head.headers, attempt().endpoint), now());
    if (isOwnAnswer && !attempt().traits.isNotRun)
        m_context.refusalLimits.recordAcceptance(
            attempt().endpoint, m_context.pool.inProgress(attempt().endpoint),
            m_context.refusalLimits.refusalInterval(m_service, m_context.daemonCount, now()),
            now());
    applyEndpointState(head);
    // The end of such an answer does not show whether the endpoint is sound, but its begin does.
    if (isOwnAnswer && head.status < 500 && !head.isDelimited())
        m_context.pool.health(attempt().endpoint).recordSuccess();
    attempt().isStream = isStreamHead(head);
    attempt().answer = std::move(head);
    if (!attempt().isStream && m_exchange->head.method != "HEAD")
        reserveAnswer(attempt().answer.contentLength);
}

bool RequestTask::isStreamHead(const http::MessageHead &head) const
{
    return m_route->isStream && head.status == 200 && attempt().traits.isStamped
        && !attempt().traits.hasContentEncoding
        && (!m_isForwarding || mediaTypeOf(head) == m_mediaType);
}

// The head is forwarded only with the first event, so that the client can still get an error status
// or another endpoint's answer if the endpoint fails before that.
void RequestTask::startForwarding()
{
    if (m_isForwarding)
        return;
    m_isForwarding = true;
    attempt().awaitsRecord = false;
    m_mediaType = mediaTypeOf(attempt().answer);
    if (!m_origin)
        applyOrigin({m_service, attempt().softwareVersion});
    m_context.streams.recordBegin(begunBy(), *m_origin);
    m_context.metrics.recordBegunAnswer(isConfigurationRecent());
    m_exchange->startChunked(attempt().answer.status,
                             platform::forwardedResponseHeaders(attempt().answer));
}

// The handlers run in the next event loop iteration because they may end other requests.
void RequestTask::applyEndpointState(const http::MessageHead &head)
{
    const bool isLeaving = platform::announcesLeaving(head.headers, attempt().endpoint);
    const fleet::Endpoint *endpoint = m_context.watch.endpoint(attempt().endpoint);
    if (endpoint == nullptr || (!isLeaving && !attempt().traits.retryAfter))
        return;
    if (attempt().traits.retryAfter)
        m_context.pool.setBackoff(*endpoint, now() + *attempt().traits.retryAfter);
    m_context.loop.post([&context = m_context, isLeaving, id = attempt().endpoint,
                         startTime = endpoint->startTime] {
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
    if (!attempt().via)
        m_context.paths.recordActivity();
    attempt().overflow.bytes += bytes.size();
    if (!attempt().isStream) {
        bufferAnswer(bytes);
        return;
    }
    if (attempt().isStreamMalformed)
        return;
    std::string events;
    const auto lastId = attempt().events.lastId();
    attempt().isStreamMalformed
        = attempt().events.feed(bytes, events) == EventFilter::Result::Broken;
    if (attempt().isStreamMalformed) {
        endExchangeAsMalformed(); // The remaining bytes may be endless.
        // The attempt fails, so that its events must not end the one that may go on.
        if (m_attempts.hasOthers())
            return;
    }
    // Comments are no progress, because a stalled endpoint may continue to send them.
    const bool hasProgress = attempt().events.lastId() != lastId
        || (!attempt().events.lastId() && events.find(dataField) != std::string::npos);
    if (!shareAnswer(attempt().heldEvents.size() + events.size()
                     + attempt().events.incompleteEvent().size()))
        return;
    attempt().heldEvents += events;
    if (hasProgress)
        handleProgress();
    if (m_isForwarding)
        forwardEvents();
    else if (attempt().heldEvents.size() > maxUnsentBytes)
        endExchangeAsMalformed(); // Endless comments without an event.
}

void RequestTask::handleProgress()
{
    m_context.pool.recordActivity(attempt().endpoint);
    recordPrefillCost();
    if (isForecast())
        recordStreamSpeed();
    endPrefill(attempt());
    if (!attempt().runBeganAt) {
        attempt().runBeganAt = now();
        if (!m_isForwarding)
            m_context.overflow.recordFirstEvent(attempt().overflow, now() - attempt().sentAt,
                                                now());
        m_finder.requireVersion(attempt().adapterVersion.value_or(0));
        m_finder.recordRunVersion(attempt().traits.version.value_or(0));
    }
    m_attempts.endOthers(decisions::RunEnd::Replaced);
    if (!attempt().isSound && now() - *attempt().runBeganAt >= soundRunTime)
        recordSoundRun();
    if (m_isForwarding) {
        m_times.recordEvents(now());
        return;
    }
    if (!attempt().awaitsRecord)
        m_context.streams.recordBegin(
            begunBy(), m_origin.value_or(StreamOrigin {m_service, attempt().softwareVersion}));
    forwardEvents();
}

// A client that has an event may take the stream up at a daemon that knows it only from the store.
void RequestTask::forwardEvents()
{
    attempt().awaitsRecord = !m_isForwarding && !m_origin && m_route->isRepeatable()
        && m_context.streams.mustHoldFirstEvent(m_fields.id, m_service, *attempt().runBeganAt);
    if (attempt().awaitsRecord)
        return;
    if (!m_isForwarding)
        m_times.recordEvents(now());
    startForwarding();
    if (attempt().heldEvents.empty())
        return;
    m_exchange->writeChunk(std::exchange(attempt().heldEvents, {}));
    attempt().answerShare.resize(attempt().events.incompleteEvent().size());
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
    attempt().isSound = true;
    m_context.crashes.recordSound(m_identity);
}

void RequestTask::endExchangeAsMalformed()
{
    m_context.loop.post([weak = weak_from_this(), number = attempt().number] {
        const auto self = weak.lock();
        if (!self || !self->m_attempts.select(number))
            return;
        self->runGuarded([&self] {
            if (self->m_attempts.endCurrent(decisions::RunEnd::InvalidAnswer))
                self->handleExchangeEnd(http::ExchangeEnd::Malformed);
        });
    });
}

void RequestTask::recordPrefillCost()
{
    if (attempt().pendingPrefillTokens == 0)
        return;
    m_context.cost.recordFirstEvent(attempt().pendingPrefillTokens, now() - attempt().sentAt,
                                    attempt().wasLightlyLoaded);
    m_context.pool.setPrefillTokensPerSecond(m_context.cost.tokensPerSecond());
}

// Failures and the rest of a stream take less time than whole answers.
void RequestTask::recordRunTime()
{
    if (attempt().answer.status < firstFailureStatus && m_runs == 0 && !isTakeUp())
        m_context.runTimes.record(m_service, *m_route, attempt().sentAt, now());
}

void RequestTask::endPrefill(RequestAttempt &attempt)
{
    m_context.pool.endPrefill(attempt.endpoint, std::exchange(attempt.pendingPrefillTokens, 0));
}

void RequestTask::logIfLate() const
{
    if (!m_times.isLate(*m_route, m_exchange->receivedAt))
        return;
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = "late",
         .message = absl::StrCat(m_times.describe(m_exchange->receivedAt, attempt().sentAt),
                                 ", in progress there ", std::lround(attempt().loadAtSend),
                                 describePrediction()),
         .peer = attempt().endpoint.value(),
         .request = m_fields.id.value()});
}

// Once paused, reading goes on when all output was written, which calls this again.
void RequestTask::applyBackpressure()
{
    const std::size_t limit
        = m_context.buffers.isLargePartUsed() ? maxUnsentBytesUnderPressure : maxUnsentBytes;
    const bool isPaused = m_exchange->pendingOutput() >= limit;
    if (isPaused == m_isReadPaused)
        return;
    m_isReadPaused = isPaused;
    if (!isPaused)
        m_readResumedAt = now();
    m_attempts.setReadEnabled(!isPaused);
}

// The framing of an answer says where its bytes end, not whether its last event is whole: an
// answer without length or chunks also ends with its connection if the endpoint crashes.
http::ExchangeEnd RequestTask::verifiedEnd(http::ExchangeEnd end) const
{
    const bool isAtClose = end == http::ExchangeEnd::CompleteAtClose;
    // An endpoint that ends after the head leaves the same bytes as one without anything to say.
    if (isAtClose && !attempt().isStream && attempt().answer.status < firstFailureStatus
        && attempt().answerBody.empty())
        return http::ExchangeEnd::Broken;
    const bool isWhole
        = attempt().events.endsBetweenEvents() && (attempt().runBeganAt || !isAtClose);
    if (!attempt().isStream || !http::isComplete(end) || isWhole)
        return end;
    m_context.metrics.recordTruncatedStream(isAtClose);
    const std::string lastEvent = attempt().events.lastId()
        ? absl::StrCat("event ", *attempt().events.lastId())
        : std::string("no event");
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = "truncated stream",
         .message
         = absl::StrCat("stream ended inside an event or before its first one, ",
                        isAtClose ? "with its connection, " : "with a regular end of its framing, ",
                        attempt().events.incompleteEvent().size(), " bytes after ", lastEvent),
         .peer = attempt().endpoint.value(),
         .request = m_fields.id.value()});
    return isAtClose ? http::ExchangeEnd::Broken : http::ExchangeEnd::Malformed;
}

void RequestTask::handleExchangeEnd(http::ExchangeEnd reportedEnd)
{
    const bool isCloseDelimited
        = reportedEnd == http::ExchangeEnd::Complete && attempt().isCloseDelimitedThere;
    const http::ExchangeEnd end
        = verifiedEnd(isCloseDelimited ? http::ExchangeEnd::CompleteAtClose : reportedEnd);
    const bool isForwardFailure
        = http::isComplete(end) && attempt().outcome != ForwardOutcome::Answered;
    if (http::isComplete(end) && !isForwardFailure)
        m_context.pool.recordActivity(attempt().endpoint);
    m_attempts.release();
    if (m_isDone) {
        // The client disconnected while at-most-once work ran, which must not be aborted.
        m_onDone(shared_from_this());
        return;
    }
    if (isForwardFailure) {
        handleForwardFailure();
        return;
    }
    if (http::isComplete(end) && attempt().traits.isNotRun) {
        handleRefusal();
        return;
    }
    if (attempt().isStream || m_isForwarding) {
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
    if (attempt().headAt == core::TimePoint())
        m_context.overflow.recordFailure(attempt().overflow, now());
    if (attempt().via)
        handlePeerFailure(end);
    else if (end == http::ExchangeEnd::Broken)
        m_context.crashes.recordBrokenExchange(attempt().endpoint, attempt().incarnation,
                                               m_identity);
    else if (end == http::ExchangeEnd::ConnectFailed)
        m_context.crashes.recordConnectFailure(attempt().endpoint, attempt().incarnation);
    else
        m_context.crashes.recordMalformedAnswer(attempt().endpoint, attempt().incarnation);
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
    const bool isEmptyRest = m_isForwarding && !attempt().runBeganAt;
    if (http::isComplete(end) && attempt().isStream && !attempt().isStreamMalformed
        && !isEmptyRest) {
        if (attempt().answer.isDelimited())
            m_context.pool.health(attempt().endpoint).recordSuccess();
        if (attempt().answer.isDelimited() && attempt().runBeganAt)
            recordSoundRun();
        if (attempt().runBeganAt && !m_isForwarding)
            m_times.recordEvents(now());
        logIfLate();
        if (m_times.hasEvents()) {
            m_context.metrics.recordFirstEvent(m_times.firstAt() - m_exchange->receivedAt);
            m_context.metrics.recordLongestPause(m_times.longestGap());
            if (m_sends == 1 && attempt().runBeganAt) {
                const core::Duration duration = m_times.lastAt() - *attempt().runBeganAt;
                m_context.cost.recordStreamDuration(duration);
                m_context.overflow.recordStreamEnd(attempt().overflow, duration);
            }
        }
        recordRunTime();
        m_status = attempt().answer.status;
        startForwarding();
        m_exchange->writeChunk(attempt().heldEvents + attempt().events.incompleteEvent());
        m_exchange->finishChunked();
        finish();
        return;
    }
    attempt().isStreamMalformed = false;
    if (http::isComplete(end) && (!attempt().isStream || isEmptyRest)) {
        m_context.pool.health(attempt().endpoint).recordErrorResponse(now());
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
    const bool isUsable = !attempt().traits.hasContentEncoding
        && (attempt().traits.isStamped || attempt().answer.status >= 300);
    const bool isFailure = attempt().answer.status >= 500;
    if (!isUsable) {
        m_context.pool.health(attempt().endpoint).recordErrorResponse(now());
        handleSendFailure(Failure::MayHaveRun, "answer is not the endpoint's own");
        return;
    }
    if (isFailure)
        m_context.pool.health(attempt().endpoint).recordErrorResponse(now());
    else if (attempt().answer.isDelimited())
        m_context.pool.health(attempt().endpoint).recordSuccess();
    const bool isLate = deadline() - now() < minRemainingTime;
    if (attempt().answer.status >= firstFailureStatus && m_attempts.hasOthers()) {
        keepFailure();
        continueOtherAttempt(Failure::MayHaveRun, "endpoint answered with a failure");
        return;
    }
    if (isFailure && !isLate && recordFailedSend(Failure::MayHaveRun)) {
        keepFailure();
        chooseEndpoint();
        return;
    }
    recordRunTime();
    if (attempt().answer.status < firstFailureStatus)
        m_context.overflow.recordAnswer(attempt().overflow, now() - attempt().sentAt, now());
    m_exchange->respond(attempt().answer.status,
                        platform::forwardedResponseHeaders(attempt().answer), attempt().answerBody);
    m_status = attempt().answer.status;
    finish();
}

void RequestTask::handleRefusal()
{
    m_finder.recordRefusal(now());
    const fleet::Endpoint *endpoint = m_context.watch.endpoint(attempt().endpoint);
    const core::Duration interval
        = m_context.refusalLimits.refusalInterval(m_service, m_context.daemonCount, now());
    if (endpoint != nullptr && !attempt().traits.isMisdirected
        && interval > core::Duration::zero()) {
        const int accepted = m_context.pool.inProgress(endpoint->id);
        m_context.refusalLimits.recordRefusal(endpoint->id, accepted, now());
        if (accepted == 0)
            m_context.pool.setBackoff(*endpoint, now() + interval);
    }
    if (attempt().traits.isMisdirected) {
        const fleet::AdapterKey key = adapterKey();
        m_context.placement.recordPlacementMiss(attempt().endpoint, key);
        m_context.placementMisses[attempt().endpoint].insert(key);
    }
    handleSendFailure(Failure::NotRun,
                      attempt().traits.isMisdirected ? "endpoint lacks model, adapter or version"
                                                     : "endpoint refused");
}

} // namespace jackdawlead::gateway
