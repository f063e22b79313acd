#include "gateway/requesttask.h"

#include <utility>

namespace jackdawlead::gateway {

std::unique_ptr<http::ClientConnection> RequestTask::takeConnection(const fleet::Endpoint &endpoint)
{
    const bool isCautious = !m_route->isRepeatable();
    // A second copy of an earlier response would be taken for that to this send, because both have
    // the id of the request.
    auto connection = m_context.pool.takeIdle(endpoint, isCautious, m_usedConnections);
    if (!connection && m_context.paths.isInterrupted(endpoint.id))
        attempt().via = m_context.forwarder.choosePeer(m_failedPeers);
    if (attempt().via) {
        connection = m_context.forwarder.take(*attempt().via);
        m_context.metrics.recordForwardedByPeer();
    } else if (!connection) {
        connection = m_context.pool.connect(endpoint);
    }
    m_usedConnections.insert(connection->number());
    return connection;
}

void RequestTask::handleReleased(RequestAttempt &attempt,
                                 std::unique_ptr<http::ClientConnection> connection)
{
    endCount(attempt);
    m_context.overflow.recordRelease(attempt.overflow);
    if (attempt.via)
        m_context.forwarder.giveBack(*attempt.via, std::move(connection));
    else
        m_context.pool.giveBack(attempt.endpoint, std::move(connection));
}

void RequestTask::endCount(RequestAttempt &attempt)
{
    endPrefill(attempt);
    if (std::exchange(attempt.isCounted, false))
        m_context.pool.endRequest(attempt.endpoint, adapterKey());
}

// What was sent may have arrived, so that it stays where it is. It does not count as load, since
// the endpoint would seem to be full while the requests go nowhere.
void RequestTask::handleInterruptedPath(const core::EndpointId &id)
{
    for (RequestAttempt *attempt : m_attempts.inProgress()) {
        if (m_isDone || attempt->endpoint != id || attempt->via)
            continue;
        if (!attempt->mayHaveSent()) {
            giveUpUnsent(attempt->number, "path to the endpoint is interrupted");
            return;
        }
        if (attempt->isQueued())
            endCount(*attempt);
    }
}

void RequestTask::addUnanswered(std::vector<SentRequest> &requests) const
{
    if (m_isDone)
        return;
    for (const RequestAttempt *attempt : m_attempts.inProgress()) {
        if (!attempt->via && attempt->isQueued())
            requests.push_back({attempt->endpoint, attempt->sentAt, attempt->mayHaveSent()});
    }
}

bool RequestTask::applyForwardOutcome(http::MessageHead &head)
{
    if (!attempt().via) {
        if (attempt().isConnectionReused())
            m_context.paths.recordActivity();
        else
            m_context.paths.recordAnswered(attempt().endpoint, attempt().sentAt);
        return true;
    }
    attempt().outcome = RequestForwarder::takeOutcome(head);
    attempt().isCloseDelimitedThere = RequestForwarder::takeCloseDelimited(head);
    return attempt().outcome == ForwardOutcome::Answered;
}

// Once the head has arrived it is not known whether the endpoint or the other daemon has failed.
// The next request finds out: it cannot connect to that daemon, or hears that the endpoint is gone.
void RequestTask::handlePeerFailure(http::ExchangeEnd end)
{
    // A daemon that is being killed still accepts connections, and would use up the next attempt.
    m_failedPeers.insert(*attempt().via);
    const bool hasHead = attempt().headAt != core::TimePoint();
    if (end == http::ExchangeEnd::Malformed)
        m_context.pool.health(attempt().endpoint).recordErrorResponse(now());
    else if (!hasHead)
        m_context.forwarder.recordFailure(*attempt().via);
}

void RequestTask::handleForwardFailure()
{
    switch (attempt().outcome) {
    case ForwardOutcome::Broken:
        m_context.crashes.recordBrokenExchange(attempt().endpoint, attempt().incarnation,
                                               m_identity);
        m_interruptedAt = now();
        handleSendFailure(Failure::MayHaveRun, "connection of another daemon broke");
        return;
    case ForwardOutcome::Unreachable:
        m_context.paths.recordUnreachable(attempt().endpoint);
        m_context.crashes.recordConnectFailure(attempt().endpoint, attempt().incarnation);
        m_finder.recordRefusal(now());
        handleSendFailure(Failure::NotSent, "another daemon cannot connect either");
        return;
    case ForwardOutcome::NotServing:
        m_finder.recordRefusal(now());
        handleSendFailure(Failure::NotSent, "another daemon knows that the endpoint leaves");
        return;
    case ForwardOutcome::Rejected:
    case ForwardOutcome::Answered:
        break;
    }
    m_context.forwarder.recordFailure(*attempt().via);
    handleSendFailure(Failure::NotSent, "another daemon did not send the request");
}

} // namespace jackdawlead::gateway
