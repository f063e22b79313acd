#include "gateway/requesttask.h"

#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway {

bool RequestTask::selectAttempt(int number)
{
    if (m_attempt->number == number)
        return m_attempt->isInProgress;
    const auto found = std::ranges::find(m_otherAttempts, number, &RequestAttempt::number);
    if (found == m_otherAttempts.end())
        return false;
    std::swap(m_attempt, *found);
    return true;
}

std::vector<const RequestAttempt *> RequestTask::attemptsInProgress() const
{
    std::vector<const RequestAttempt *> attempts;
    if (m_attempt->isInProgress)
        attempts.push_back(m_attempt.get());
    for (const auto &attempt : m_otherAttempts)
        attempts.push_back(attempt.get());
    return attempts;
}

std::optional<decisions::RequestInProgress> RequestTask::inProgress() const
{
    const auto attempts = attemptsInProgress();
    if (attempts.empty())
        return std::nullopt;
    const auto *first = *std::ranges::min_element(attempts, {}, &RequestAttempt::sentAt);
    return decisions::RequestInProgress {m_service, m_route, first->sentAt};
}

void RequestTask::dropOtherAttempts()
{
    for (const auto &attempt : std::exchange(m_otherAttempts, {})) {
        if (attempt->connection->mayHaveSent())
            ++m_runs;
        const std::string cause = m_isDone
            ? std::string("the request has ended")
            : absl::StrCat("send ", m_attempt->number, " serves the request");
        observability::log(
            {.level = observability::LogLevel::Info,
             .step = "drop",
             .message = absl::StrCat("send ", attempt->number, " after ",
                                     core::toMilliseconds(now() - attempt->sentAt), " ms, ",
                                     attempt->isQueued() ? "without an answer" : "while it answers",
                                     ": ", cause, ", ", describeConfiguration()),
             .peer = attempt->endpoint.value(),
             .request = m_fields.id.value()});
        dropConnection(*attempt);
    }
}

// Opening a connection may take a second, a third of the time after which a leaving endpoint must
// receive no new requests.
void RequestTask::giveUpConnecting(const core::EndpointId &id, std::string_view cause)
{
    for (const RequestAttempt *attempt : attemptsInProgress()) {
        if (m_isDone || attempt->endpoint != id || attempt->connection->mayHaveSent())
            continue;
        giveUpUnsent(attempt->number, cause);
        return; // Another attempt at the same endpoint was sent before.
    }
}

void RequestTask::giveUpUnsent(int number, std::string_view cause)
{
    runGuarded([this, number, cause] {
        selectAttempt(number);
        dropConnection();
        handleSendFailure(Failure::NotSent, cause);
    });
}

bool RequestTask::isQueuedAtOlderVersion(const fleet::AnnouncedVersion &newest) const
{
    return !m_isDone && std::ranges::any_of(attemptsInProgress(), [&](const auto *attempt) {
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

// The request would begin on the version that it finds at the end of the queue.
void RequestTask::giveUpOlderVersion(const fleet::AnnouncedVersion &newest)
{
    std::vector<int> affected;
    for (const RequestAttempt *attempt : attemptsInProgress()) {
        if (isQueuedAtOlderVersion(*attempt, newest))
            affected.push_back(attempt->number);
    }
    runGuarded([this, &affected] {
        for (const int number : affected) {
            if (m_isDone || !selectAttempt(number))
                continue;
            dropConnection();
            m_interruptedAt = now(); // The newer version may have to be loaded first.
            handleSendFailure(Failure::MayHaveRun, "its version of the adapter was superseded");
        }
    });
}

} // namespace jackdawlead::gateway
