#pragma once

#include "http/caller.h"
#include "net/httpmessage.h"
#include "net/timerservice.h"
#include "platform/objectstore.h"

#include <functional>
#include <optional>

namespace jackdawlead::gateway {

/// The way of a daemon's calls to the store: straight, or through another daemon while the store
/// turns this one away and serves the others. All writes are conditional, so that a call whose
/// answer was lost may be made again. Thread safety: the loop's thread only.
class StorePath
{
public:
    /// A daemon that may be asked to pass calls on; none if no other one is known.
    using PeerFinder = std::function<std::optional<net::Address>()>;

    StorePath(http::Caller &caller, net::TimerService &timers, net::Address store);

    void setPeerFinder(PeerFinder findPeer) { m_findPeer = std::move(findPeer); }
    void call(const net::HttpRequest &request, core::Duration timeout,
              http::Caller::Handler handler);
    /// Waits for changes: at the relay of the failure domain if there is one, else at the store.
    /// A relay that does not answer as it should is left alone for a while, and the failure is
    /// handed on, so that whoever follows the store knows that it lost touch.
    void watch(const platform::WatchRequest &watch, core::Duration margin,
               http::Caller::Handler handler);
    /// Through which daemon to watch; none asks the store.
    void setRelay(const std::optional<net::Address> &relay);
    /// Whether other daemons watch through this one, so that its own watches must end earlier.
    void setIsRelay(bool isRelay) { m_isRelay = isRelay; }
    /// Passes a call of another daemon on, straight to the store only.
    void passOn(const net::HttpRequest &request, core::Duration timeout,
                http::Caller::Handler handler);

    /// In front of the store's path in calls that a daemon is asked to pass on.
    static constexpr char peerPrefix[] = "/store";
    /// In front of the store's path in watches that a relay answers.
    static constexpr char relayPrefix[] = "/relay";
    /// The part of its usual wait that a relay's own watch waits: a change that it hears of only
    /// at the end must reach daemons that find it dead just then.
    static constexpr double relayWaitPart = 2.0 / 3;

private:
    std::optional<net::Address> usablePeer() const;
    void callPeer(const net::Address &peer, const net::HttpRequest &request, core::Duration timeout,
                  http::Caller::Handler handler);

    http::Caller &m_caller;
    net::TimerService &m_timers;
    net::Address m_store;
    PeerFinder m_findPeer;
    std::optional<net::Address> m_relay;
    bool m_isRelay = false;
    core::TimePoint m_noRelayUntil; ///< Until then watches go straight to the store.
    core::TimePoint m_peerUntil;    ///< Until then the other daemon is asked first.
    core::TimePoint m_noPeerUntil;  ///< Until then it is not asked: it was turned away as well.
};

} // namespace jackdawlead::gateway
