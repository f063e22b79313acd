#include "gateway/requestattempts.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway {

RequestAttempts::RequestAttempts(decisions::BufferBudget &buffers, Handlers handlers)
    : m_handlers(std::move(handlers))
    , m_current(std::make_unique<RequestAttempt>(buffers))
{ }

RequestAttempts::~RequestAttempts()
{
    m_isRequestEnded = true;
    endOthers(decisions::RunEnd::RequestEnded);
    endCurrent(decisions::RunEnd::RequestEnded);
}

std::vector<RequestAttempt *> RequestAttempts::inProgress() const
{
    std::vector<RequestAttempt *> attempts;
    if (m_current->isInProgress)
        attempts.push_back(m_current.get());
    for (const auto &attempt : m_others)
        attempts.push_back(attempt.get());
    return attempts;
}

bool RequestAttempts::select(int number)
{
    if (m_current->number == number)
        return m_current->isInProgress;
    const auto found = std::ranges::find(m_others, number, &RequestAttempt::number);
    if (found == m_others.end())
        return false;
    std::swap(m_current, *found);
    return true;
}

void RequestAttempts::add(std::unique_ptr<RequestAttempt> attempt)
{
    if (m_current->isInProgress)
        m_others.push_back(std::move(m_current));
    m_current = std::move(attempt);
}

void RequestAttempts::start(std::unique_ptr<http::ClientConnection> connection,
                            const http::OutgoingRequest &request, http::ExchangeObserver observer)
{
    m_current->isInProgress = true;
    m_current->m_connection = std::move(connection);
    m_current->m_connection->send(request, std::move(observer));
}

void RequestAttempts::setReadEnabled(bool isReading)
{
    for (const RequestAttempt *attempt : inProgress())
        attempt->m_connection->setReadEnabled(isReading);
}

void RequestAttempts::release()
{
    release(*m_current);
}

void RequestAttempts::release(RequestAttempt &attempt)
{
    if (!attempt.m_connection)
        return;
    attempt.isInProgress = false;
    attempt.awaitsRecord = false;
    m_handlers.onReleased(attempt, std::move(attempt.m_connection));
}

bool RequestAttempts::endCurrent(decisions::RunEnd reason)
{
    const bool isOtherServing = std::ranges::any_of(
        m_others, [](const auto &attempt) { return attempt->runBeganAt.has_value(); });
    return end(*m_current, reason, isOtherServing);
}

// An attempt that may not be ended stays with the others.
void RequestAttempts::endOthers(decisions::RunEnd reason)
{
    std::erase_if(m_others, [this, reason](const auto &attempt) {
        return end(*attempt, reason, m_current->runBeganAt.has_value());
    });
}

bool RequestAttempts::end(RequestAttempt &attempt, decisions::RunEnd reason, bool isOtherServing)
{
    if (!attempt.isInProgress)
        return true;
    const decisions::RunState state {.mayHaveBeenSent = attempt.mayHaveSent(),
                                     .hasAnswer = !attempt.isQueued(),
                                     .isOtherServing = isOtherServing,
                                     .isRequestEnded = m_isRequestEnded};
    if (!decisions::mayEndRun(reason, state)) {
        m_handlers.onEndRejected(attempt, reason);
        return false;
    }
    if (state.mayHaveBeenSent)
        m_handlers.onRunEnded(attempt, reason);
    attempt.m_connection->abandon();
    release(attempt);
    return true;
}

void RequestAttempts::continueOther()
{
    m_current = std::move(m_others.back());
    m_others.pop_back();
}

} // namespace jackdawlead::gateway
