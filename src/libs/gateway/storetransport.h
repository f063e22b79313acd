#pragma once

#include "http/controlclient.h"
#include "net/httpmessage.h"
#include "net/timerservice.h"
#include "platform/objectstoreclient.h"

#include <functional>
#include <map>
#include <optional>

namespace jackdawlead::gateway {

/// Sends a daemon's calls and watches to the store: directly, or through another daemon while the
/// store rejects this one and serves the others. All writes are conditional, so a call whose
/// response was lost may be repeated. Thread safety: the event loop's thread only.
class StoreTransport
{
public:
    using AnswerHandler = std::function<void(platform::StoreAnswer)>;
    /// Returns the address of a daemon that can forward calls, if another one is known.
    using PeerFinder = std::function<std::optional<net::Address>()>;

    StoreTransport(http::ControlClient &controlClient, net::TimerService &timers,
                   net::Address store);

    void setPeerFinder(PeerFinder findPeer) { m_findPeer = std::move(findPeer); }
    void call(const net::HttpRequest &request, core::Duration timeout,
              http::ControlClient::Handler handler);
    /// Waits for changes: at the relay of the failure domain, at the spare relay if that fails, and
    /// otherwise at the store. Only the failure of the last one is reported to `handler`, which is
    /// called again if the store answers a watch after it has failed for its lateness. A watch
    /// that the store cuts off while it waits is no failure; it is repeated at once. While
    /// there is a relay, the store is not watched for some seconds after a watch of it failed: for
    /// that kind of object, and for the others too unless it answered one of them meanwhile.
    void watch(const platform::WatchRequest &watch, core::Duration margin, AnswerHandler handler);
    /// Sets the daemons through which to watch; without a relay the store is watched directly.
    void setRelays(const std::optional<net::Address> &relay,
                   const std::optional<net::Address> &spare);
    bool hasRelay() const { return m_relay.address.has_value(); }
    /// The relay of the failure domain, unless there is none or it failed recently.
    std::optional<net::Address> usableRelay() const { return m_relay.usable(m_timers.now()); }
    /// Whether other daemons watch through this one, so that its own watches must end earlier.
    void setIsRelay(bool isRelay) { m_isRelay = isRelay; }
    /// Whether a peer reported lately that the store rejects it as well, as in an outage of the
    /// whole store.
    bool isStoreLostAtPeer() const { return m_timers.now() - m_lostAtPeerAt < lostAtPeerTime; }
    /// Forwards a call of another daemon to the store, never to a third daemon.
    void forwardToStore(const net::HttpRequest &request, core::Duration timeout,
                        http::ControlClient::Handler handler);

    /// Prefix of the store's path in calls that another daemon forwards.
    static constexpr char forwardPrefix[] = "/store";
    /// Prefix of the store's path in watches that a relay answers.
    static constexpr char relayPrefix[] = "/relay";
    /// Fraction of the usual wait that a relay's own watch uses, so that a change that the watch
    /// returns only at its end still reaches daemons that detect the relay's failure just then.
    static constexpr double relayWaitFraction = 2.0 / 3;

    /// Status of a relay that has lost its connection to the store.
    static constexpr int storeLostStatus = 503;
    /// Status of a daemon that is no relay now.
    static constexpr int notRelayStatus = 421;

private:
    // A peer that has lost the store is asked again after a second.
    static constexpr core::Duration lostAtPeerTime = std::chrono::milliseconds(1500);

    struct TimedRequest
    {
        net::HttpRequest request;
        core::Duration timeout {};
        core::Duration wait {};           ///< Of a watch; zero for other calls.
        core::Duration lateAnswerTime {}; ///< How long an answer is awaited after the timeout.
    };
    /// Until when a receiver is not asked, because it failed.
    struct Suspension
    {
        core::TimePoint until; ///< For all kinds of objects.
        std::map<platform::ObjectKind, core::TimePoint> untilByKind;

        bool isActive(platform::ObjectKind kind, core::TimePoint now) const;
    };
    struct Relay
    {
        std::optional<net::Address> address;
        Suspension suspension;

        /// Returns whether the address changed.
        bool setAddress(const std::optional<net::Address> &next);
        /// The address, unless there is none or the relay failed recently.
        std::optional<net::Address> usable(core::TimePoint now) const
        {
            return now < suspension.until ? std::nullopt : address;
        }
        bool isUsableFor(platform::ObjectKind kind, core::TimePoint now) const
        {
            return address && !suspension.isActive(kind, now);
        }
    };

    /// Sends a request and reports when it was sent with the answer.
    void send(const net::Address &receiver, const TimedRequest &timed, AnswerHandler handler);
    void watchAtRelay(Relay &relay, const platform::WatchRequest &watch, core::Duration margin,
                      AnswerHandler handler);
    void watchDirectly(const platform::WatchRequest &watch, core::Duration margin,
                       AnswerHandler handler);
    /// After `response` to a watch of the kind, or after none.
    void suspendRelay(Relay &relay, platform::ObjectKind kind,
                      const absl::StatusOr<http::Response> &response);
    /// Suspends the direct watches after a failure.
    void recordDirectWatch(platform::ObjectKind kind, const platform::StoreAnswer &answer);
    std::optional<net::Address> usablePeer() const;
    using StoreCall = std::function<void(AnswerHandler)>;
    /// Calls the store, or a peer that the store serves while it rejects this daemon.
    void callWithPeerFallback(const StoreCall &callStore, const TimedRequest &viaPeer,
                              AnswerHandler handler);
    static TimedRequest timedRequest(const platform::WatchRequest &watch, core::Duration margin);
    /// Watches at the store itself, and once more if the watch is cut off.
    void watchStore(const platform::WatchRequest &watch, core::Duration margin,
                    AnswerHandler handler);
    void callPeer(const net::Address &peer, const TimedRequest &timed, AnswerHandler handler);

    http::ControlClient &m_controlClient;
    net::TimerService &m_timers;
    net::Address m_store;
    PeerFinder m_findPeer;
    Relay m_relay;
    Relay m_spareRelay;
    bool m_isRelay = false;
    Suspension m_directSuspension;
    core::TimePoint m_directServedAt;     ///< When the last direct watch was answered.
    core::TimePoint m_usePeerUntil;       ///< Calls are sent to the peer first until then.
    core::TimePoint m_lostAtPeerAt;       ///< When a peer last reported that it has lost the store.
    core::TimePoint m_peerSuspendedUntil; ///< No peer is used until then: the store rejected it.
};

} // namespace jackdawlead::gateway
