#include "gateway/requesttask.h"

#include <absl/strings/str_cat.h>

#include <cmath>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// Part of the target latency for which a stream waits until an endpoint keeps its targets; the
// prompt has to be read in the rest.
constexpr double targetWaitFraction = 0.4;
// The same until it is sent elsewhere. The part is free again when the prompts there were read; a
// third of the target gap is usually enough.
constexpr double shareWaitFraction = 0.15;

} // namespace

bool RequestTask::isForecast() const
{
    return m_context.forecast.isEnabled() && m_route->isStream
        && m_route->targetGap > core::Duration::zero();
}

void RequestTask::setStreamTargets()
{
    if (!isForecast())
        return;
    const core::TimePoint arrival = m_exchange->receivedAt;
    m_finder.setStreamTargets(
        {.gap = m_route->targetGap,
         .firstEventDueAt = arrival + m_route->targetLatency,
         .awaitShareUntil = arrival + core::scaled(m_route->targetLatency, shareWaitFraction),
         .awaitTargetsUntil = arrival + core::scaled(m_route->targetLatency, targetWaitFraction)});
}

void RequestTask::predictStream(const fleet::Endpoint &endpoint, RequestAttempt &attempt) const
{
    const auto state = m_context.forecast.stateOf(endpoint, now());
    attempt.otherTokensAtSend = state.otherTokens;
    attempt.prediction = decisions::streams::predictStream(
        m_context.forecast.times(),
        {.promptTokens = m_fields.promptTokens,
         .targetGap = m_route->targetGap,
         .timeLeft = m_exchange->receivedAt + m_route->targetLatency - now(),
         .mayAwaitShare = false,
         .mayAwaitTargets = false},
        state);
}

// Pauses in which this daemon did not read, because a client was slow, say nothing about the
// endpoint, and neither does what passed through another daemon.
void RequestTask::recordStreamSpeed()
{
    const auto lastProgressAt = std::exchange(attempt().lastProgressAt, now());
    if (attempt().via)
        return;
    if (!lastProgressAt) {
        if (attempt().pendingPrefillTokens > 0)
            m_context.forecast.recordFirstEvent(attempt().endpoint, attempt().incarnation,
                                                attempt().pendingPrefillTokens,
                                                now() - attempt().sentAt, now());
        return;
    }
    if (!m_isReadPaused && m_readResumedAt <= *lastProgressAt)
        m_context.forecast.recordPause(attempt().endpoint, attempt().incarnation,
                                       now() - *lastProgressAt, now());
}

std::string RequestTask::describePrediction() const
{
    if (!attempt().prediction)
        return {};
    return absl::StrCat(
        ", predicted pause ", core::toMilliseconds(attempt().prediction->gap),
        " ms and first event ", core::toMilliseconds(attempt().prediction->firstEvent),
        " ms, prompt tokens of other daemons ", std::lround(attempt().otherTokensAtSend));
}

} // namespace jackdawlead::gateway
