#include "gateway/requestforwarder.h"

#include "gateway/forwardingfields.h"
#include "platform/endpointcodec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// Daemons answer within milliseconds, those in another region after 60 ms.
constexpr core::Duration connectTimeout = std::chrono::milliseconds(500);
constexpr core::Duration avoidanceTime = std::chrono::seconds(1);
constexpr core::Duration maxIdleTime = std::chrono::seconds(10);
constexpr core::Duration sweepPeriod = std::chrono::seconds(1);
constexpr std::size_t maxIdlePerPeer = 64;
// Several daemons may have lost their links together, so that one answer is not enough.
constexpr std::size_t checksInParallel = 3;
constexpr core::Duration checkTimeout = forwarding::checkTime + std::chrono::milliseconds(100);

RequestForwarder::Reachability reachabilityFrom(const absl::StatusOr<http::Response> &response,
                                                RequestForwarder::Proof proof)
{
    using Reachability = RequestForwarder::Reachability;
    if (!response.ok())
        return Reachability::Unknown;
    const std::string outcome = response->headers.value(forwarding::outcomeField);
    if (response->status == 200) {
        const bool isShown
            = proof == RequestForwarder::Proof::Connection || outcome == forwarding::answered;
        return isShown ? Reachability::Reachable : Reachability::Unknown;
    }
    return outcome == forwarding::unreachable ? Reachability::Unreachable : Reachability::Unknown;
}

} // namespace

RequestForwarder::Peer::Peer(net::EventLoop &loop)
    : idle(loop, maxIdlePerPeer)
{ }

RequestForwarder::RequestForwarder(net::EventLoop &loop, net::TimerService &timers,
                                   http::ControlClient &controlClient)
    : m_loop(loop)
    , m_timers(timers)
    , m_controlClient(controlClient)
{
    m_sweepTimer = timers.every(sweepPeriod, [this] {
        for (auto &[address, peer] : m_states)
            peer.idle.closeExpired(m_timers.now(), [](const auto &) { return maxIdleTime; });
        std::erase_if(m_states, [this](const auto &entry) {
            const Peer &peer = entry.second;
            return peer.inProgress == 0 && peer.idle.isEmpty()
                && peer.avoidedUntil <= m_timers.now();
        });
    });
}

RequestForwarder::~RequestForwarder()
{
    *m_isAlive = false;
}

RequestForwarder::Peer &RequestForwarder::peerAt(const net::Address &address)
{
    return m_states.try_emplace(address, m_loop).first->second;
}

void RequestForwarder::setPeers(std::vector<net::Address> peers)
{
    m_peers = std::move(peers);
}

std::optional<net::Address>
RequestForwarder::choosePeer(const std::set<net::Address> &failedPeers) const
{
    std::optional<net::Address> chosen;
    std::pair<bool, int> lowestRank;
    for (const net::Address &address : m_peers) {
        const auto state = m_states.find(address);
        if (state != m_states.end() && state->second.avoidedUntil > m_timers.now())
            continue;
        const int inProgress = state == m_states.end() ? 0 : state->second.inProgress;
        const std::pair rank(failedPeers.contains(address), inProgress);
        if (!chosen || rank < lowestRank) {
            chosen = address;
            lowestRank = rank;
        }
    }
    return chosen;
}

std::unique_ptr<http::ClientConnection> RequestForwarder::take(const net::Address &peer)
{
    Peer &state = peerAt(peer);
    ++state.inProgress;
    auto connection = state.idle.take(m_timers.now(), [](const auto &) { return maxIdleTime; });
    return connection ? std::move(connection)
                      : std::make_unique<http::ClientConnection>(m_loop, peer, connectTimeout);
}

void RequestForwarder::giveBack(const net::Address &peer,
                                std::unique_ptr<http::ClientConnection> connection)
{
    Peer &state = peerAt(peer);
    --state.inProgress;
    state.idle.keep(std::move(connection), m_timers.now());
}

void RequestForwarder::recordFailure(const net::Address &peer)
{
    Peer &state = peerAt(peer);
    state.avoidedUntil = m_timers.now() + avoidanceTime;
    state.idle.closeAll();
}

void RequestForwarder::check(const core::EndpointId &id, Proof proof, CheckHandler handler)
{
    struct Check
    {
        CheckHandler handler;
        std::size_t pending = 0;
        bool isUnreachable = false;
    };
    if (m_peers.empty()) {
        handler(Reachability::Unknown);
        return;
    }
    const auto check = std::make_shared<Check>();
    check->handler = std::move(handler);
    check->pending = std::min(checksInParallel, m_peers.size());
    net::HttpRequest request;
    request.path = forwarding::checkPath;
    request.headers.add(forwarding::endpointField, id.value());
    if (proof == Proof::Answer)
        request.headers.add(forwarding::answerRequiredField, "1");
    // Copied, because a handler may change the list.
    const std::vector<net::Address> peers = m_peers;
    const std::size_t first = m_nextCheck++;
    for (std::size_t index = 0, count = check->pending; index < count; ++index) {
        m_controlClient.call(peers[(first + index) % peers.size()], request, checkTimeout,
                             [check, proof, alive = m_isAlive](const auto &response) {
                                 if (!*alive || !check->handler)
                                     return;
                                 --check->pending;
                                 const Reachability result = reachabilityFrom(response, proof);
                                 check->isUnreachable |= result == Reachability::Unreachable;
                                 if (result != Reachability::Reachable && check->pending > 0)
                                     return;
                                 const auto done = std::exchange(check->handler, nullptr);
                                 if (result == Reachability::Reachable)
                                     done(Reachability::Reachable);
                                 else
                                     done(check->isUnreachable ? Reachability::Unreachable
                                                               : Reachability::Unknown);
                             });
    }
}

std::string RequestForwarder::wrap(const std::string &request, const core::EndpointId &endpoint,
                                   const core::RequestId &id, const net::Address &peer,
                                   bool isRepeatable, bool isHead)
{
    std::string text
        = absl::StrCat("POST ", forwarding::requestPath, " HTTP/1.1\r\nHost: ", peer.toString(),
                       "\r\n", platform::requestIdField(), ": ", id.value(), "\r\n",
                       forwarding::endpointField, ": ", endpoint.value(), "\r\n");
    if (isRepeatable)
        absl::StrAppend(&text, forwarding::repeatableField, ": 1\r\n");
    if (isHead)
        absl::StrAppend(&text, forwarding::headField, ": 1\r\n");
    absl::StrAppend(&text, "Content-Length: ", request.size(), "\r\n\r\n", request);
    return text;
}

ForwardOutcome RequestForwarder::takeOutcome(http::MessageHead &head)
{
    const std::string word = head.headers.value(forwarding::outcomeField);
    head.headers.remove(forwarding::outcomeField);
    if (word == forwarding::answered)
        return ForwardOutcome::Answered;
    if (word == forwarding::unreachable)
        return ForwardOutcome::Unreachable;
    if (word == forwarding::notServing)
        return ForwardOutcome::NotServing;
    // A daemon of the previous release does not know the message, and a server may reject it.
    if (word.empty() || word == forwarding::busy || word == forwarding::interrupted)
        return ForwardOutcome::Rejected;
    return ForwardOutcome::Broken;
}

bool RequestForwarder::takeCloseDelimited(http::MessageHead &head)
{
    const bool isCloseDelimited = head.headers.contains(forwarding::closeDelimitedField);
    head.headers.remove(forwarding::closeDelimitedField);
    return isCloseDelimited;
}

} // namespace jackdawlead::gateway
