#pragma once

#include "core/ids.h"
#include "http/clientconnection.h"
#include "http/controlclient.h"
#include "http/idleconnections.h"
#include "net/timerservice.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jackdawlead::gateway {

/// What the daemon that was to send a request for this one says about it.
enum class ForwardOutcome {
    Answered,    ///< The answer is the endpoint's own.
    Unreachable, ///< Not sent: the other daemon cannot connect to the endpoint.
    Rejected,    ///< Not sent, for a reason that concerns the other daemon.
    NotServing,  ///< Not sent: the endpoint is leaving or gone.
    Broken,      ///< May have run: the endpoint's connection ended before its answer.
};

/// Sends requests to endpoints through one other daemon: chooses the daemon, keeps connections to
/// it and asks daemons whether they reach an endpoint. Thread safety: the event
/// loop's thread only.
class RequestForwarder
{
public:
    enum class Reachability { Reachable, Unreachable, Unknown };
    /// What shows that another daemon reaches an endpoint.
    enum class Proof {
        Connection, ///< It can open one.
        Answer,     ///< The endpoint has answered it. Daemons of earlier releases cannot tell.
    };
    using CheckHandler = std::function<void(Reachability)>;

    RequestForwarder(net::EventLoop &loop, net::TimerService &timers,
                     http::ControlClient &controlClient);
    ~RequestForwarder();
    RequestForwarder(const RequestForwarder &) = delete;
    RequestForwarder &operator=(const RequestForwarder &) = delete;

    /// Sets the daemons to use, the preferred ones first.
    void setPeers(std::vector<net::Address> peers);
    bool hasPeers() const { return !m_peers.empty(); }
    /// The daemon for the next request; empty if none can be used now. One of `failedPeers` is
    /// chosen only if there is no other.
    std::optional<net::Address> choosePeer(const std::set<net::Address> &failedPeers = {}) const;
    /// Returns a connection to the daemon and counts a request there until giveBack().
    std::unique_ptr<http::ClientConnection> take(const net::Address &peer);
    void giveBack(const net::Address &peer, std::unique_ptr<http::ClientConnection> connection);
    /// Avoids the daemon for a short time.
    void recordFailure(const net::Address &peer);

    /// Asks several daemons whether they reach the endpoint; calls the handler once, Reachable with
    /// the first of them that does, and Unknown if none of them can tell.
    void check(const core::EndpointId &id, Proof proof, CheckHandler handler);

    /// Wraps the bytes of a request for an endpoint.
    static std::string wrap(const std::string &request, const core::EndpointId &endpoint,
                            const core::RequestId &id, const net::Address &peer, bool isRepeatable,
                            bool isHead);
    /// Reads what the other daemon says, and removes it from the head.
    static ForwardOutcome takeOutcome(http::MessageHead &head);
    /// Whether the end of the connection delimited the endpoint's answer; removes the statement.
    static bool takeCloseDelimited(http::MessageHead &head);

private:
    struct Peer
    {
        explicit Peer(net::EventLoop &loop);

        http::IdleConnections idle;
        int inProgress = 0;
        core::TimePoint avoidedUntil;
    };

    Peer &peerAt(const net::Address &address);

    net::EventLoop &m_loop;
    net::TimerService &m_timers;
    http::ControlClient &m_controlClient;
    std::vector<net::Address> m_peers;
    std::map<net::Address, Peer> m_states;
    std::size_t m_nextCheck = 0; ///< Rotates the daemons that are asked.
    net::TimerService::Subscription m_sweepTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
