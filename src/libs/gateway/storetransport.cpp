#include "gateway/storetransport.h"

#include "core/error.h"
#include "observability/log.h"
#include "platform/watchcodec.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// How long the way through another daemon is kept before the straight one is tried again.
constexpr core::Duration peerPeriod = std::chrono::seconds(2);
// In an outage of the whole store each way is tried at this pace; refused calls are priced too.
constexpr core::Duration hopelessPeriod = std::chrono::seconds(1);
// A round trip to another daemon, in another region at worst.
constexpr core::Duration peerTime = std::chrono::milliseconds(150);

// A wait at a relay, and the most that its answer may take beyond: together they bound how long
// the death of a relay goes unnoticed, and must fit beside the relay's own wait into the 3 s in
// which a configuration has to be in force.
constexpr core::Duration relayWait = std::chrono::milliseconds(1000);
constexpr core::Duration relayMargin = std::chrono::milliseconds(300);
// After it a relay that failed is tried again; the coordinator names another one within 2 s.
constexpr core::Duration relayPause = std::chrono::seconds(4);
// The same for a relay that says that the store does not answer it.
constexpr core::Duration lostStorePause = std::chrono::seconds(1);
// A watch that another daemon passes on is short, since the store may turn that one away as well.
constexpr core::Duration peerWatchWait = std::chrono::milliseconds(600);
// A daemon whose watch of the store failed asks relays only for this long. Less than half of the
// stretch that an outage gives to the bounds, 6 s and more in all site files.
constexpr core::Duration failedWatchPause = std::chrono::milliseconds(2500);

bool isRefusal(const absl::StatusOr<http::Response> &answer)
{
    return !answer.ok() || answer->status == 503 || answer->status == 429;
}

} // namespace

StoreTransport::StoreTransport(http::ControlClient &caller, net::TimerService &timers,
                               net::Address store)
    : m_caller(caller)
    , m_timers(timers)
    , m_store(std::move(store))
{ }

std::optional<net::Address> StoreTransport::usablePeer() const
{
    if (!m_findPeer || m_timers.now() < m_noPeerUntil)
        return std::nullopt;
    return m_findPeer();
}

void StoreTransport::call(const net::HttpRequest &request, core::Duration timeout,
                          http::ControlClient::Handler handler)
{
    callOrAskPeer({request, timeout}, {request, timeout}, std::move(handler));
}

void StoreTransport::callOrAskPeer(const TimedRequest &direct, const TimedRequest &viaPeer,
                                   http::ControlClient::Handler handler)
{
    if (m_timers.now() < m_peerUntil) {
        // Without another daemon the store itself is asked, which may have come back.
        if (const auto peer = usablePeer()) {
            callPeer(*peer, viaPeer, std::move(handler));
            return;
        }
        m_peerUntil = {};
    }
    m_caller.call(m_store, direct.request, direct.timeout,
                  [this, viaPeer, handler = std::move(handler)](auto answer) {
                      const auto peer = isRefusal(answer) ? usablePeer() : std::nullopt;
                      if (peer)
                          callPeer(*peer, viaPeer, handler);
                      else
                          handler(std::move(answer));
                  });
}

void StoreTransport::setRelays(const std::optional<net::Address> &relay,
                               const std::optional<net::Address> &spare)
{
    // A relay that watched through its neighbour, and that one through it, would hear nothing.
    m_spare.setAddress(relay ? spare : std::nullopt);
    if (!m_relay.setAddress(relay))
        return;
    observability::log({.step = "watch store",
                        .message = relay ? "through another daemon" : "directly",
                        .peer = relay ? relay->toString() : std::string()});
}

bool StoreTransport::Relay::setAddress(const std::optional<net::Address> &next)
{
    if (address == next)
        return false;
    address = next;
    leftUntil = {};
    return true;
}

void StoreTransport::watch(const platform::WatchRequest &watch, core::Duration margin,
                           http::ControlClient::Handler handler)
{
    for (Relay *relay : {&m_relay, &m_spare}) {
        if (relay->usable(m_timers.now())) {
            watchThrough(*relay, watch, margin, std::move(handler));
            return;
        }
    }
    watchDirectly(watch, margin, std::move(handler));
}

void StoreTransport::watchThrough(Relay &relay, const platform::WatchRequest &watch,
                                  core::Duration margin, http::ControlClient::Handler handler)
{
    platform::WatchRequest relayed = watch;
    relayed.wait = std::min(watch.wait, relayWait);
    net::HttpRequest request;
    request.path = relayPrefix + platform::formatWatchTarget(relayed);
    m_caller.call(*relay.address, request, relayed.wait + relayMargin,
                  [this, &relay, asked = *relay.address, watch, margin,
                   handler = std::move(handler)](auto answer) {
                      if (answer.ok() && (answer->status == 200 || answer->status == 410)) {
                          handler(std::move(answer));
                          return;
                      }
                      if (relay.address == asked)
                          leave(relay, answer.ok() && answer->status == storeLostStatus);
                      // The failure of a relay says nothing of the store: whoever follows it has
                      // lost touch only if this way fails as well.
                      this->watch(watch, margin, handler);
                  });
}

void StoreTransport::leave(Relay &relay, bool hasLostStore)
{
    relay.leftUntil = m_timers.now() + (hasLostStore ? lostStorePause : relayPause);
    observability::log({.level = observability::LogLevel::Warn,
                        .step = "watch store",
                        .message = hasLostStore ? "relay has lost the store"
                                                : "relay does not answer as it should",
                        .peer = relay.address->toString()});
}

void StoreTransport::watchDirectly(const platform::WatchRequest &watch, core::Duration margin,
                                   http::ControlClient::Handler handler)
{
    // While relays watch for the others, one daemon's attempts are enough for all three kinds: in
    // an outage of 5 s on 195 daemons each on its own made thousands of calls.
    const bool isPaced = m_relay.address && !m_isRelay;
    if (isPaced && m_timers.now() < m_noWatchUntil) {
        handler(core::makeError(absl::StatusCode::kUnavailable, "watch store", m_store.toString(),
                                "the store failed lately"));
        return;
    }
    const auto requestOf = [&watch](core::Duration wait, core::Duration extra) {
        TimedRequest timed;
        timed.request.path = platform::formatWatchTarget({watch.kind, watch.since, wait});
        timed.timeout = wait + extra;
        return timed;
    };
    if (!isPaced) {
        const core::Duration wait
            = m_isRelay ? core::scaled(watch.wait, relayWaitFraction) : watch.wait;
        // A peer that the store does not answer either must not hold the news back for as long.
        callOrAskPeer(requestOf(wait, margin), requestOf(std::min(wait, peerWatchWait), margin),
                      std::move(handler));
        return;
    }
    // Two daemons did not answer or said that the store does not: no third one is asked, and not
    // for long, so that the relays are soon tried again.
    const TimedRequest brief = requestOf(std::min(watch.wait, relayWait), relayMargin);
    m_caller.call(m_store, brief.request, brief.timeout,
                  [this, handler = std::move(handler)](auto answer) {
                      if (isRefusal(answer))
                          m_noWatchUntil = m_timers.now() + failedWatchPause;
                      handler(std::move(answer));
                  });
}

void StoreTransport::callPeer(const net::Address &peer, const TimedRequest &timed,
                              http::ControlClient::Handler handler)
{
    net::HttpRequest passed = timed.request;
    passed.path = forwardPrefix + timed.request.path;
    m_caller.call(peer, passed, timed.timeout + peerTime,
                  [this, handler = std::move(handler)](auto answer) {
                      const bool helped = !isRefusal(answer);
                      if (helped && m_timers.now() >= m_peerUntil)
                          observability::log({.level = observability::LogLevel::Warn,
                                              .step = "call store",
                                              .message = "turned away; served through a daemon"});
                      if (!helped)
                          m_noPeerUntil = m_timers.now() + hopelessPeriod;
                      m_peerUntil = helped ? m_timers.now() + peerPeriod : core::TimePoint();
                      handler(std::move(answer));
                  });
}

void StoreTransport::forwardToStore(const net::HttpRequest &request, core::Duration timeout,
                                    http::ControlClient::Handler handler)
{
    m_caller.call(m_store, request, timeout, std::move(handler));
}

} // namespace jackdawlead::gateway
