#include "gateway/requesttask.h"

#include "core/text.h"
#include "gateway/requestlimits.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace jackdawlead::gateway {

namespace {

// At-most-once work whose caller is gone runs on; the endpoint ends it at its deadline, which is
// 4 s for such work on both deployments.
constexpr core::Duration unattendedTime = std::chrono::seconds(10);
constexpr double spreadOfRetryAfter = 0.5;

long long inMilliseconds(core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

bool RequestTask::mayTryAgain(Failure failure)
{
    if (failure == Failure::MayHaveRun) {
        ++m_runs;
        if (!m_route->isRepeatable() || m_runs >= m_route->maxAttempts)
            return false;
    }
    if (m_sends >= (m_isRelaying ? maxSendsPerStream : maxSends) || !m_exchange->isOpen())
        return false;
    // A request that was running when two endpoints died is not carried to a third one by us.
    if (failure == Failure::MayHaveRun && m_context.crashes.crashCount(fingerprint(), now()) > 1)
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
        m_context.metrics.recordRetry(std::string(cause));
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

void RequestTask::finishForShutdown()
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
    const bool mustFinish = m_isSent && !m_route->isRepeatable() && !m_route->isStream;
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
        = core::scaled(retryAfter, 1.0 + spreadOfRetryAfter * m_context.uniformRandom());
    m_exchange->respond(503, platform::retryAfterFields(delay), {});
    m_context.metrics.recordRefusal(std::string(cause));
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
        endPrefill();
        m_context.pool.endRequest(m_endpoint, adapterKey());
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
    m_context.metrics.recordResponse(m_status, now() - m_exchange->receivedAt);
    // At-most-once work that was sent keeps its connection until it ends; all else is cut off.
    const bool mustFinish
        = m_isSent && m_route != nullptr && !m_route->isRepeatable() && !m_route->isStream;
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
