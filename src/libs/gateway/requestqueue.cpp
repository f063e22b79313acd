#include "gateway/requesttask.h"

#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway {

namespace {

const char *nameOf(decisions::RunEnd reason)
{
    switch (reason) {
    case decisions::RunEnd::NotSent:
        return "nothing was sent";
    case decisions::RunEnd::Replaced:
        return "another send serves the request";
    case decisions::RunEnd::RequestEnded:
        return "the request has ended";
    case decisions::RunEnd::InvalidAnswer:
        return "the answer is invalid";
    case decisions::RunEnd::BuffersFull:
        return "buffers of the process are full";
    case decisions::RunEnd::OlderVersion:
        return "its version of the adapter was superseded";
    }
    return "";
}

} // namespace

RequestAttempts::Handlers RequestTask::attemptHandlers()
{
    return {
        .onReleased = [this](RequestAttempt &attempt,
                             auto connection) { handleReleased(attempt, std::move(connection)); },
        .onRunEnded = [this](const RequestAttempt &attempt,
                             decisions::RunEnd reason) { handleRunEnded(attempt, reason); },
        .onEndRejected =
            [this](const RequestAttempt &attempt, decisions::RunEnd reason) {
                observability::log({.level = observability::LogLevel::Error,
                                    .step = "drop",
                                    .message = absl::StrCat("send ", attempt.number,
                                                            " must not be ended: ", nameOf(reason)),
                                    .peer = attempt.endpoint.value(),
                                    .request = m_fields.id.value()});
            },
    };
}

void RequestTask::handleRunEnded(const RequestAttempt &attempt, decisions::RunEnd reason)
{
    m_context.metrics.recordEndedRun(nameOf(reason));
    if (reason == decisions::RunEnd::Replaced)
        countRun(!attempt.isQueued());
    if (m_isDone && !m_attempts.hasOthers())
        return; // The line of the request's end says why.
    observability::log(
        {.level = observability::LogLevel::Info,
         .step = "drop",
         .message = absl::StrCat("send ", attempt.number, " after ",
                                 core::toMilliseconds(now() - attempt.sentAt), " ms, ",
                                 attempt.isQueued() ? "without an answer" : "while it answers",
                                 ": ", nameOf(reason), ", ", describeConfiguration()),
         .peer = attempt.endpoint.value(),
         .request = m_fields.id.value()});
}

std::optional<decisions::RequestInProgress> RequestTask::inProgress() const
{
    const auto attempts = m_attempts.inProgress();
    if (attempts.empty())
        return std::nullopt;
    const auto *first = *std::ranges::min_element(attempts, {}, &RequestAttempt::sentAt);
    return decisions::RequestInProgress {m_service, m_route, first->sentAt};
}

// Opening a connection may take a second, a third of the time after which a leaving endpoint must
// receive no new requests.
void RequestTask::giveUpConnecting(const core::EndpointId &id, std::string_view cause)
{
    for (const RequestAttempt *attempt : m_attempts.inProgress()) {
        if (m_isDone || attempt->endpoint != id || attempt->mayHaveSent())
            continue;
        giveUpUnsent(attempt->number, cause);
        return; // Another attempt at the same endpoint was sent before.
    }
}

void RequestTask::giveUpUnsent(int number, std::string_view cause)
{
    runGuarded([this, number, cause] {
        m_attempts.select(number);
        if (m_attempts.endCurrent(decisions::RunEnd::NotSent))
            handleSendFailure(Failure::NotSent, cause);
    });
}

bool RequestTask::isQueuedAtOlderVersion(const fleet::AnnouncedVersion &newest) const
{
    return !m_isDone && std::ranges::any_of(m_attempts.inProgress(), [&](const auto *attempt) {
        return isQueuedAtOlderVersion(*attempt, newest);
    });
}

bool RequestTask::isQueuedAtOlderVersion(const RequestAttempt &attempt,
                                         const fleet::AnnouncedVersion &newest) const
{
    const fleet::AdapterKey key {newest.model, newest.adapter};
    return attempt.isQueued() && adapterKey() == key
        && attempt.adapterVersion.value_or(newest.version) < newest.version;
}

void RequestTask::seekNewerVersion()
{
    runGuarded([this] { armStallTimer(); });
}

// The request would begin on the version that it finds at the end of the queue.
void RequestTask::giveUpOlderVersion(const fleet::AnnouncedVersion &newest)
{
    std::vector<int> affected;
    for (const RequestAttempt *attempt : m_attempts.inProgress()) {
        if (isQueuedAtOlderVersion(*attempt, newest))
            affected.push_back(attempt->number);
    }
    runGuarded([this, &affected] {
        for (const int number : affected) {
            if (m_isDone || !m_attempts.select(number))
                continue;
            if (!m_attempts.endCurrent(decisions::RunEnd::OlderVersion))
                continue;
            m_interruptedAt = now(); // The newer version may have to be loaded first.
            handleSendFailure(Failure::TakenFromQueue, "its version of the adapter was superseded");
        }
    });
}

} // namespace jackdawlead::gateway
