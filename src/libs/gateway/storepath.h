#pragma once

#include "http/caller.h"
#include "net/httpmessage.h"
#include "net/timerservice.h"

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
    /// Passes a call of another daemon on, straight to the store only.
    void passOn(const net::HttpRequest &request, core::Duration timeout,
                http::Caller::Handler handler);

    /// In front of the store's path in calls that a daemon is asked to pass on.
    static constexpr char peerPrefix[] = "/store";

private:
    void callPeer(const net::HttpRequest &request, core::Duration timeout,
                  http::Caller::Handler handler, absl::StatusOr<http::Answer> directResult);

    http::Caller &m_caller;
    net::TimerService &m_timers;
    net::Address m_store;
    PeerFinder m_findPeer;
    core::TimePoint m_peerUntil;   ///< Until then the other daemon is asked first.
    core::TimePoint m_noPeerUntil; ///< Until then it is not asked: it was turned away as well.
};

} // namespace jackdawlead::gateway
