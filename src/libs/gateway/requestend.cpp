#include "gateway/requesttask.h"

#include "core/text.h"
#include "gateway/sendlimits.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace jackdawlead::gateway {

namespace {

// At-most-once work continues after its client disconnected. The endpoint ends it at its deadline,
// which is 4 s for such work on both deployments.
constexpr core::Duration disconnectedWorkTimeout = std::chrono::seconds(10);
constexpr double retryAfterJitter = 0.5;
// Added to the bound within which a configuration must be in force, for what it may have caused.
constexpr core::Duration configurationEffectTime = std::chrono::seconds(1);

} // namespace

void RequestTask::countRun(bool isAttemptUsed)
{
    ++m_runs;
    if (isAttemptUsed)
        ++m_usedAttempts;
}

bool RequestTask::recordFailedSend(Failure failure)
{
    const bool mayHaveRun = failure == Failure::MayHaveRun || failure == Failure::TakenFromQueue;
    if (mayHaveRun) {
        countRun(failure == Failure::MayHaveRun);
        // One wait in a queue is left out, because it hardly was a run.
        if (!m_route->isRepeatable() || m_usedAttempts >= m_route->maxAttempts
            || m_runs > m_route->maxAttempts)
            return false;
    }
    const int sends = m_sends - m_refusedReplacements;
    if (sends >= (m_isForwarding ? maxSendsPerStream : maxSends) || !m_exchange->isOpen())
        return false;
    if (mayHaveRun && !m_context.crashes.mayRunAgain(m_identity))
        return false;
    // The retry budget counts only requests that arrive at endpoints.
    if (failure == Failure::NotSent)
        return true;
    m_needsRetryBudget = m_isForwarding;
    return m_needsRetryBudget || m_context.budgets[m_service].tryTake(now());
}

void RequestTask::handleSendFailure(Failure failure, std::string_view cause)
{
    if (m_attempts.hasOthers()) {
        continueOtherAttempt(failure, cause);
        return;
    }
    const bool isRetried = recordFailedSend(failure);
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = isRetried ? "send again" : "give up",
         .message = absl::StrCat(core::toAbsl(cause), ", sends ", m_sends, ", may have run ",
                                 m_runs, ", status ", attempt().answer.status),
         .peer = attempt().endpoint.value(),
         .request = m_fields.id.value()});
    if (isRetried) {
        m_context.metrics.recordRetry(std::string(cause));
        chooseEndpoint();
        return;
    }
    if (m_isForwarding) {
        abortStream(cause);
        return;
    }
    if (m_runs == 0)
        refuse(cause, busyRetryAfter);
    else
        fail(502, cause);
}

void RequestTask::handleDeadline()
{
    if (m_isDone)
        return;
    if (m_isForwarding) {
        abortStream("the deadline has passed");
        return;
    }
    if (attempt().isInProgress || m_runs > 0)
        fail(504,
             absl::StrCat("no answer within the deadline of ",
                          core::toMilliseconds(deadline() - m_exchange->receivedAt), " ms"));
    else
        refuse("no endpoint within the deadline", busyRetryAfter);
}

void RequestTask::finishForShutdown()
{
    if (m_isDone)
        return;
    runGuarded([this] {
        constexpr std::string_view cause = "the daemon stops";
        if (m_isForwarding)
            abortStream(cause);
        else if (attempt().isInProgress || m_runs > 0)
            fail(504, cause);
        else
            refuse(cause, busyRetryAfter);
    });
}

void RequestTask::handleDisconnect()
{
    if (m_isDone)
        return;
    const bool mustFinish
        = attempt().isInProgress && !m_route->isRepeatable() && !m_route->isStream;
    // Otherwise the log could not tell whether the caller or the daemon closed the connection.
    const bool isAnswerPartial = m_isForwarding || m_sends > 1;
    observability::log(
        {.level = isAnswerPartial ? observability::LogLevel::Info : observability::LogLevel::Debug,
         .step = "caller left",
         .message = mustFinish ? std::string("request continues at the endpoint")
                               : absl::StrCat("request is aborted, ", describeProgress()),
         .peer = attempt().endpoint.value(),
         .request = m_fields.id.value()});
    finish();
}

void RequestTask::refuse(std::string_view cause, core::Duration retryAfter,
                         std::string_view details)
{
    if (m_isForwarding) {
        abortStream(cause);
        return;
    }
    // A refusal guarantees to the client that the request did not run.
    if (m_runs > 0) {
        fail(502, cause);
        return;
    }
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = "refuse",
         .message = absl::StrCat(
             core::toAbsl(cause), details.empty() ? "" : ", ", core::toAbsl(details), ", model ",
             m_fields.model.value(), "/", m_fields.adapter.value(), ", held ",
             core::toMilliseconds(now() - m_exchange->receivedAt), " ms, sends ", m_sends),
         .peer = attempt().endpoint.value(),
         .request = m_fields.id.value()});
    const core::Duration delay
        = core::scaled(retryAfter, 1.0 + retryAfterJitter * m_context.uniformRandom());
    refundCharge();
    m_exchange->respond(503, platform::retryAfterFields(delay), {});
    m_context.metrics.recordRefusal(std::string(cause));
    m_status = 503;
    finish();
}

bool RequestTask::isConfigurationRecent() const
{
    return now() - m_context.watch.configuredAt()
        <= m_context.settings.bounds.configuration + configurationEffectTime;
}

void RequestTask::abortStream(std::string_view cause)
{
    const core::TimePoint interruptedAt = m_interruptedAt.value_or(now());
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = "abort stream",
         .message
         = absl::StrCat(core::toAbsl(cause), ", ", describeProgress(), ", connection closed ",
                        core::toMilliseconds(now() - m_exchange->receivedAt),
                        " ms after its arrival and ", core::toMilliseconds(now() - interruptedAt),
                        " ms after the stream was interrupted, sends ", m_sends, ", may have run ",
                        m_runs, ", ", describeConfiguration()),
         .peer = attempt().endpoint.value(),
         .request = m_fields.id.value()});
    m_context.metrics.recordInterruptedAnswer(isConfigurationRecent());
    m_exchange->abort();
    finish();
}

// A failure that the endpoint states tells the client more than one of this daemon.
void RequestTask::keepFailure()
{
    if (!attempt().traits.isStamped
        || attempt().answerBody.size() > decisions::BufferBudget::smallMessageBytes
        || !m_failureShare.tryResize(attempt().answerBody.size()))
        return;
    m_failure = {attempt().answer.status, platform::forwardedResponseHeaders(attempt().answer),
                 std::move(attempt().answerBody)};
}

void RequestTask::fail(int status, std::string_view cause)
{
    if (m_failure) {
        respondWithKeptFailure(cause);
        return;
    }
    observability::log({.level = observability::LogLevel::Info,
                        .step = "fail",
                        .message = absl::StrCat("status ", status, ", ", core::toAbsl(cause)),
                        .peer = attempt().endpoint.value(),
                        .request = m_fields.id.value()});
    m_exchange->respond(status, {}, {});
    m_status = status;
    finish();
}

void RequestTask::respondWithKeptFailure(std::string_view cause)
{
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = "fail",
         .message = absl::StrCat("status ", m_failure->status,
                                 " of an earlier send, the latest failed: ", core::toAbsl(cause)),
         .peer = attempt().endpoint.value(),
         .request = m_fields.id.value()});
    m_status = m_failure->status;
    m_exchange->respond(m_status, std::move(m_failure->headers), std::move(m_failure->body));
    finish();
}

void RequestTask::finish()
{
    m_isDone = true;
    m_isWaiting = false;
    setWaitsForLoad(false);
    setWaitsForPermit({});
    if (customers::RequestCharge *charge = m_admission ? m_admission->charge() : nullptr)
        charge->endWaiting();
    m_deadlineTimer.cancel();
    m_stallTimer.cancel();
    m_attempts.setRequestEnded();
    m_attempts.endOthers(decisions::RunEnd::RequestEnded);
    attempt().answerBody = {};
    attempt().answerShare.resize(0);
    m_failureShare.resize(0);
    m_context.metrics.recordResponse(m_status, now() - m_exchange->receivedAt);
    // At-most-once work that was sent keeps its connection until it ends; other work is aborted.
    const bool mustFinish = attempt().isInProgress && m_route != nullptr && !m_route->isRepeatable()
        && !m_route->isStream;
    if (mustFinish) {
        m_deadlineTimer = m_context.timers.once(disconnectedWorkTimeout, [this] {
            m_attempts.endCurrent(decisions::RunEnd::RequestEnded);
            m_onDone(shared_from_this());
        });
        return;
    }
    m_attempts.endCurrent(decisions::RunEnd::RequestEnded);
    m_onDone(shared_from_this());
}

} // namespace jackdawlead::gateway
