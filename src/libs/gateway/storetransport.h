#pragma once

#include "http/controlclient.h"
#include "net/httpmessage.h"
#include "net/timerservice.h"
#include "platform/objectstoreclient.h"

#include <functional>
#include <optional>

namespace jackdawlead::gateway {

/// The way of a daemon's calls to the store: straight, or through another daemon while the store
/// turns this one away and serves the others. All writes are conditional, so that a call whose
/// answer was lost may be made again. Thread safety: the loop's thread only.
class StoreTransport
{
public:
    /// A daemon that may be asked to pass calls on; none if no other one is known.
    using PeerFinder = std::function<std::optional<net::Address>()>;

    StoreTransport(http::ControlClient &controlClient, net::TimerService &timers,
                   net::Address store);

    void setPeerFinder(PeerFinder findPeer) { m_findPeer = std::move(findPeer); }
    void call(const net::HttpRequest &request, core::Duration timeout,
              http::ControlClient::Handler handler);
    /// Waits for changes: at the relay of the failure domain, at the spare one if that fails, and
    /// else at the store. Only the failure of the last way is handed on. While there is a relay, a
    /// watch that failed at the store is not made there again for some seconds, whoever asks.
    void watch(const platform::WatchRequest &watch, core::Duration margin,
               http::ControlClient::Handler handler);
    /// Through which daemons to watch; without a relay the store is asked.
    void setRelays(const std::optional<net::Address> &relay,
                   const std::optional<net::Address> &spare);
    bool hasRelay() const { return m_relay.address.has_value(); }
    /// The relay of the failure domain, unless there is none or it failed lately.
    std::optional<net::Address> usableRelay() const { return m_relay.usable(m_timers.now()); }
    /// Whether other daemons watch through this one, so that its own watches must end earlier.
    void setIsRelay(bool isRelay) { m_isRelay = isRelay; }
    /// Passes a call of another daemon on, straight to the store only.
    void forwardToStore(const net::HttpRequest &request, core::Duration timeout,
                        http::ControlClient::Handler handler);

    /// In front of the store's path in calls that a daemon is asked to pass on.
    static constexpr char forwardPrefix[] = "/store";
    /// In front of the store's path in watches that a relay answers.
    static constexpr char relayPrefix[] = "/relay";
    /// The part of its usual wait that a relay's own watch waits: a change that it hears of only
    /// at the end must reach daemons that find it dead just then.
    static constexpr double relayWaitFraction = 2.0 / 3;

    /// The status with which a relay turns daemons away that has lost the store.
    static constexpr int storeLostStatus = 503;
    /// The same of a daemon that is no relay now.
    static constexpr int notRelayStatus = 421;

private:
    struct TimedRequest
    {
        net::HttpRequest request;
        core::Duration timeout {};
    };
    struct Relay
    {
        std::optional<net::Address> address;
        core::TimePoint suspendedUntil; ///< Not asked until then, since it failed.

        /// Returns whether it is another one now.
        bool setAddress(const std::optional<net::Address> &next);
        /// The address, unless there is none or it failed lately.
        std::optional<net::Address> usable(core::TimePoint now) const
        {
            return now < suspendedUntil ? std::nullopt : address;
        }
    };

    void watchAtRelay(Relay &relay, const platform::WatchRequest &watch, core::Duration margin,
                      http::ControlClient::Handler handler);
    void watchDirectly(const platform::WatchRequest &watch, core::Duration margin,
                       http::ControlClient::Handler handler);
    void suspendRelay(Relay &relay, bool isStoreLost);
    std::optional<net::Address> usablePeer() const;
    /// Asks the store, or a daemon that it serves while it turns this one away.
    void callWithPeerFallback(const TimedRequest &direct, const TimedRequest &viaPeer,
                              http::ControlClient::Handler handler);
    void callPeer(const net::Address &peer, const TimedRequest &timed,
                  http::ControlClient::Handler handler);

    http::ControlClient &m_controlClient;
    net::TimerService &m_timers;
    net::Address m_store;
    PeerFinder m_findPeer;
    Relay m_relay;
    Relay m_spareRelay;
    bool m_isRelay = false;
    core::TimePoint m_noDirectWatchUntil; ///< Until then the store is not watched: it failed.
    core::TimePoint m_usePeerUntil;       ///< Until then the other daemon is asked first.
    core::TimePoint
        m_peerSuspendedUntil; ///< Until then it is not asked: it was turned away as well.
};

} // namespace jackdawlead::gateway
