#include "gateway/requesttask.h"

#include "core/text.h"
#include "gateway/sendlimits.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// Clients disconnect after a gap of two seconds or more; a second run needs half of that.
constexpr core::Duration minStallLimit = std::chrono::milliseconds(1100);
constexpr int slowEndpointFactor = 2; ///< Clients of streams disconnect after 3.2 s or more.
// Interval of the search for an endpoint that can replace a stalled one.
constexpr core::Duration replacementInterval = std::chrono::milliseconds(100);
constexpr int stallGapFactor = 4; ///< Target gaps after which a stream counts as stalled.
// Bounds what a silent endpoint costs others; the pause between two sends doubles.
constexpr int maxRefusedReplacements = 6;

} // namespace

void RequestTask::continueOtherAttempt(Failure failure, std::string_view cause)
{
    if (failure == Failure::MayHaveRun || failure == Failure::TakenFromQueue)
        countRun(failure == Failure::MayHaveRun);
    else
        ++m_refusedReplacements;
    const core::Duration pause = replacementInterval * (2 << std::min(m_failedReplacements, 4));
    ++m_failedReplacements;
    const core::EndpointId failed = attempt().endpoint;
    const int failedNumber = attempt().number;
    m_attempts.continueOther();
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = "continue",
         .message = absl::StrCat("send ", failedNumber, " to ", failed.value(),
                                 " failed: ", core::toAbsl(cause), "; send ", attempt().number,
                                 " is still in progress, may have run ", m_runs),
         .peer = attempt().endpoint.value(),
         .request = m_fields.id.value()});
    checkStallAfter(pause);
}

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
    // The daemon itself delays what the endpoint sends.
    if (m_isReadPaused || attempt().awaitsRecord) {
        checkStallAfter(replacementInterval);
        return;
    }
    core::TimePoint lastActivityAt = std::max(m_times.lastAt(), m_readResumedAt);
    for (const RequestAttempt *attempt : m_attempts.inProgress())
        lastActivityAt = std::max({lastActivityAt, attempt->sentAt, attempt->headAt});
    // If the endpoint sends to other requests, it is slow, or only this connection is dead.
    const bool isEndpointSilent
        = now() - m_context.pool.lastActivityAt(attempt().endpoint) >= stallLimit();
    const core::Duration limit
        = isEndpointSilent ? stallLimit() : stallLimit() * slowEndpointFactor;
    const core::Duration remaining = lastActivityAt + limit - now();
    if (remaining <= core::Duration::zero() || waitsAtOlderVersions())
        handleStall();
    else
        checkStallAfter(remaining);
}

void RequestTask::checkStallAfter(core::Duration delay)
{
    if (!m_route->isRepeatable())
        return;
    m_stallTimer = m_context.timers.once(delay, [this] {
        if (attempt().isInProgress && !m_isDone)
            runGuarded([this] { armStallTimer(); });
    });
}

bool RequestTask::waitsAtOlderVersions() const
{
    const auto expected = m_finder.expectedVersion();
    return expected && std::ranges::all_of(m_attempts.inProgress(), [&](const auto *attempt) {
               return attempt->isQueued()
                   && attempt->adapterVersion.value_or(*expected) < *expected;
           });
}

// The silent endpoint may resume at any moment, and the other one may refuse the request or queue
// it. So both keep it until one of them sends an event or an answer.
void RequestTask::handleStall()
{
    const int inProgress = static_cast<int>(m_attempts.inProgress().size());
    // If no further run is allowed, the request can only wait.
    const bool isLastRun = m_usedAttempts + inProgress >= m_route->maxAttempts
        || m_refusedReplacements >= maxRefusedReplacements;
    if (isLastRun || deadline() - now() < minRemainingTime)
        return;
    const fleet::Endpoint *replacement = findReplacement();
    const bool isSilent = !waitsAtOlderVersions();
    if (isSilent && (replacement != nullptr || !std::exchange(attempt().isSilenceReported, true)))
        logSilence(replacement);
    if (replacement == nullptr
        || !m_context.budgets[m_service].tryTake(now(), decisions::RetryPurpose::SilentSend)) {
        checkStallAfter(replacementInterval);
        return;
    }
    if (isSilent && !std::exchange(attempt().isSilenceCounted, true))
        m_context.pool.health(attempt().endpoint).recordErrorResponse(now());
    m_context.metrics.recordRetry(isSilent ? "endpoint was silent for too long"
                                           : "endpoint has an older version of the adapter");
    send(*replacement);
}

// The same endpoint is an option only if the connection was reused, because that one may be dead.
// Otherwise the request would wait twice in one queue.
const fleet::Endpoint *RequestTask::findReplacement()
{
    if (!m_exchange->isOpen() || !canFinishBeforeStop()
        || !m_context.budgets[m_service].canTake(now(), decisions::RetryPurpose::SilentSend)
        || !m_context.crashes.mayRunAgain(m_identity)
        || m_context.crashes.blockedPart(m_identity) != nullptr)
        return nullptr;
    const auto choice = m_finder.choose(now());
    if (!choice.endpoint)
        return nullptr;
    const bool isThereAlready
        = std::ranges::any_of(m_attempts.inProgress(), [&](const auto *attempt) {
              return attempt->endpoint == *choice.endpoint
                  && (!attempt->isConnectionReused() || waitsAtOlderVersions());
          });
    if (isThereAlready)
        return nullptr;
    const fleet::Endpoint &endpoint = *m_context.watch.endpoint(*choice.endpoint);
    const bool mayBegin = !m_route->isStream || m_origin
        || m_context.streams.mayBegin(m_fields.id, {m_service, endpoint.softwareVersion});
    return mayBegin ? &endpoint : nullptr;
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
                                 ", in progress there ", std::lround(attempt().loadAtSend)),
         .peer = attempt().endpoint.value(),
         .request = m_fields.id.value()});
}

void RequestTask::logSilence(const fleet::Endpoint *replacement)
{
    const core::TimePoint activeAt = m_context.pool.lastActivityAt(attempt().endpoint);
    const std::string activity = activeAt == core::TimePoint()
        ? std::string("never")
        : absl::StrCat(core::toMilliseconds(now() - activeAt), " ms ago");
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = "silent endpoint",
         .message
         = absl::StrCat("sent ", core::toMilliseconds(now() - attempt().sentAt), " ms ago, run ",
                        attempt().runBeganAt ? "has begun" : "has not begun", ", ",
                        describeProgress(), ", endpoint last active ", activity, ", replacement ",
                        replacement != nullptr ? replacement->id.value() : "none"),
         .peer = attempt().endpoint.value(),
         .request = m_fields.id.value()});
}

std::string RequestTask::describeConfiguration() const
{
    const auto &routes = m_context.watch.routes();
    return absl::StrCat("configuration ", routes ? routes->generation().value() : 0,
                        " in force for ",
                        core::toMilliseconds(now() - m_context.watch.configuredAt()), " ms");
}

std::string RequestTask::describeProgress() const
{
    if (!m_times.hasEvents())
        return "no event forwarded";
    const auto lastId = attempt().events.lastId();
    return absl::StrCat("event ", lastId ? std::to_string(*lastId) : "without id", " forwarded ",
                        core::toMilliseconds(now() - m_times.lastAt()), " ms ago");
}

} // namespace jackdawlead::gateway
