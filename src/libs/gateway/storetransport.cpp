#include "gateway/storetransport.h"

#include "core/error.h"
#include "observability/log.h"
#include "platform/watchcodec.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// How long calls go through another daemon before a direct call is tried again.
constexpr core::Duration peerUseTime = std::chrono::seconds(2);
// In an outage of the whole store a peer is tried at this interval, because refused calls are
// priced too.
constexpr core::Duration peerRetryDelay = std::chrono::seconds(1);
// A round trip to another daemon, in another region at worst.
constexpr core::Duration peerRoundTrip = std::chrono::milliseconds(150);

// The wait at a relay, and the maximum delay of its response after that. Together they bound how
// long the crash of a relay stays undetected. Added to the relay's own wait they must stay below
// the 3 s within which a configuration has to take effect.
constexpr core::Duration relayWait = std::chrono::milliseconds(1000);
constexpr core::Duration relayMargin = std::chrono::milliseconds(300);
// A relay that failed is tried again after this time; the coordinator selects another one within
// 2 s.
constexpr core::Duration relayRetryDelay = std::chrono::seconds(4);
// Retry delay for a relay that reports that it has lost its connection to the store.
constexpr core::Duration lostStoreRetryDelay = std::chrono::seconds(1);
// A watch that another daemon forwards is short, because the store may reject that daemon as well.
constexpr core::Duration peerWatchWait = std::chrono::milliseconds(600);
// A daemon whose watch of the store failed uses only relays for this long. Less than half of the
// time by which an outage extends the bounds, 6 s and more in all site files.
constexpr core::Duration directWatchRetryDelay = std::chrono::milliseconds(2500);

// How long the answer of the store to a watch is still read after the watch was given up. A store
// whose answers are all later than the margin of a watch would bring no change at all otherwise. An
// older answer is of no use for the shortest bound of 3 s.
constexpr core::Duration lateAnswerTime = std::chrono::milliseconds(2500);

// A connection that ends this long after a watch was sent was cut off while the watch waited; a
// store that rejects this daemon ends it earlier, also in another region.
constexpr core::Duration minCutOffTime = std::chrono::milliseconds(200);
// For the repetition of such a watch, and of one that a relay did not answer, so that the response
// shows at once how things stand.
constexpr core::Duration repeatedWatchWait = std::chrono::milliseconds(10);

/// Whether a relay answered from the era that the daemon knows, or from a later one.
bool isCurrentAnswer(const absl::StatusOr<http::Response> &response,
                     const platform::WatchRequest &watch)
{
    if (!response.ok() || (response->status != 200 && response->status != 410))
        return false;
    const core::StoreEra knownEra = watch.knownEra.value_or(core::StoreEra());
    return platform::parseStoreEra(response->headers).value_or(knownEra) >= knownEra;
}

bool isUnavailable(const absl::StatusOr<http::Response> &response)
{
    return !response.ok() || response->status == 503 || response->status == 429;
}

/// Whether the connection ended without a response although the request was sent.
bool isBroken(const absl::StatusOr<http::Response> &response)
{
    return !response.ok() && absl::IsUnavailable(response.status())
        && core::outcomeOf(response.status()) != core::Outcome::NotRun;
}

} // namespace

StoreTransport::StoreTransport(http::ControlClient &controlClient, net::TimerService &timers,
                               net::Address store)
    : m_controlClient(controlClient)
    , m_timers(timers)
    , m_store(std::move(store))
{ }

std::optional<net::Address> StoreTransport::usablePeer() const
{
    if (!m_findPeer || m_timers.now() < m_peerSuspendedUntil)
        return std::nullopt;
    return m_findPeer();
}

void StoreTransport::call(const net::HttpRequest &request, core::Duration timeout,
                          http::ControlClient::Handler handler)
{
    const TimedRequest timed {request, timeout, {}};
    const auto callStore
        = [this, &timed](AnswerHandler onAnswer) { send(m_store, timed, std::move(onAnswer)); };
    callWithPeerFallback(callStore, timed, [handler = std::move(handler)](auto answer) {
        handler(std::move(answer.response));
    });
}

void StoreTransport::send(const net::Address &receiver, const TimedRequest &timed,
                          AnswerHandler handler)
{
    m_controlClient.call(
        receiver, timed.request, timed.timeout,
        [this, sentAt = m_timers.now(), wait = timed.wait,
         handler = std::move(handler)](auto response) {
            const bool isWaitOver = m_timers.now() - sentAt >= wait;
            handler({std::move(response), sentAt, isWaitOver ? sentAt + wait : sentAt});
        },
        {.lateResponseTime = timed.lateAnswerTime});
}

void StoreTransport::callWithPeerFallback(const StoreCall &callStore, const TimedRequest &viaPeer,
                                          AnswerHandler handler)
{
    if (m_timers.now() < m_usePeerUntil) {
        // Without a peer the store itself is called, which may be reachable again.
        if (const auto peer = usablePeer()) {
            callPeer(*peer, viaPeer, std::move(handler));
            return;
        }
        m_usePeerUntil = {};
    }
    callStore([this, viaPeer, handler = std::move(handler)](auto answer) {
        const auto peer = isUnavailable(answer.response) ? usablePeer() : std::nullopt;
        if (peer)
            callPeer(*peer, viaPeer, handler);
        else
            handler(std::move(answer));
    });
}

void StoreTransport::setRelays(const std::optional<net::Address> &relay,
                               const std::optional<net::Address> &spare)
{
    // Two relays that watch through each other would receive no changes.
    m_spareRelay.setAddress(relay ? spare : std::nullopt);
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
    suspension = {};
    return true;
}

bool StoreTransport::Suspension::isActive(platform::ObjectKind kind, core::TimePoint now) const
{
    const auto ofKind = untilByKind.find(kind);
    return now < until || (ofKind != untilByKind.end() && now < ofKind->second);
}

void StoreTransport::watch(const platform::WatchRequest &watch, core::Duration margin,
                           AnswerHandler handler)
{
    for (Relay *relay : {&m_relay, &m_spareRelay}) {
        if (!watch.mustBeCurrent && relay->isUsableFor(watch.kind, m_timers.now())) {
            watchAtRelay(*relay, watch, margin, std::move(handler));
            return;
        }
    }
    watchDirectly(watch, margin, std::move(handler));
}

void StoreTransport::watchAtRelay(Relay &relay, const platform::WatchRequest &watch,
                                  core::Duration margin, AnswerHandler handler)
{
    platform::WatchRequest relayWatch = watch;
    relayWatch.wait = std::min(watch.wait, relayWait);
    TimedRequest timed;
    timed.request.path = relayPrefix + platform::formatRelayWatchTarget(relayWatch);
    timed.timeout = relayWatch.wait + relayMargin;
    timed.wait = relayWatch.wait;
    send(*relay.address, timed,
         [this, &relay, relayAddress = *relay.address, watch, margin,
          handler = std::move(handler)](auto answer) {
             const auto &response = answer.response;
             if (isCurrentAnswer(response, watch)) {
                 handler(std::move(answer));
                 return;
             }
             if (relay.address == relayAddress)
                 suspendRelay(relay, watch.kind, response);
             // The failure of a relay doesn't imply a failure of the store, which counts as
             // unreachable only if the remaining ways fail as well. After a relay that did not
             // answer, the state is asked for at once, because a change may be that late already.
             platform::WatchRequest next = watch;
             if (!response.ok())
                 next.wait = std::min(watch.wait, repeatedWatchWait);
             this->watch(next, margin, handler);
         });
}

// A relay may lose the store for one kind only: its answers for that kind are late, or its
// connection for that watch is dead.
void StoreTransport::suspendRelay(Relay &relay, platform::ObjectKind kind,
                                  const absl::StatusOr<http::Response> &response)
{
    const bool isStoreLost = response.ok() && response->status == storeLostStatus;
    if (isStoreLost)
        relay.suspension.untilByKind[kind] = m_timers.now() + lostStoreRetryDelay;
    else
        relay.suspension.until = m_timers.now() + relayRetryDelay;
    observability::log({.level = observability::LogLevel::Warn,
                        .step = "watch store",
                        .message = isStoreLost ? "relay has lost its connection to the store"
                                               : "relay failed to answer a watch",
                        .peer = relay.address->toString()});
}

void StoreTransport::watchDirectly(const platform::WatchRequest &watch, core::Duration margin,
                                   AnswerHandler handler)
{
    // While there are relays, a failed watch suspends the watches of all three kinds, unless the
    // store answers another one: in an outage of 5 s, 195 daemons made thousands of calls when each
    // kind was retried on its own.
    const bool isPaced = m_relay.address && !m_isRelay && !watch.mustBeCurrent;
    if (isPaced && m_directSuspension.isActive(watch.kind, m_timers.now())) {
        handler({core::makeError(absl::StatusCode::kUnavailable, "watch store", m_store.toString(),
                                 "suspended after a failed watch"),
                 {},
                 {}});
        return;
    }
    platform::WatchRequest direct = watch;
    if (!isPaced) {
        direct.wait = m_isRelay ? core::scaled(watch.wait, relayWaitFraction) : watch.wait;
        const auto callStore = [this, &direct, margin](AnswerHandler onAnswer) {
            watchStore(direct, margin, std::move(onAnswer));
        };
        // The wait at a peer is shorter, because a peer that the store doesn't answer either would
        // delay changes by the whole wait.
        platform::WatchRequest viaPeer = direct;
        viaPeer.wait = std::min(direct.wait, peerWatchWait);
        callWithPeerFallback(callStore, timedRequest(viaPeer, margin), std::move(handler));
        return;
    }
    // Both relays failed or reported a lost store, so no third daemon is tried, and the wait is
    // short, so that the relays are tried again soon.
    direct.wait = std::min(watch.wait, relayWait);
    watchStore(direct, direct.wait < relayWait ? margin : relayMargin,
               [this, kind = watch.kind, handler = std::move(handler)](auto answer) {
                   recordDirectWatch(kind, answer);
                   handler(std::move(answer));
               });
}

void StoreTransport::recordDirectWatch(platform::ObjectKind kind,
                                       const platform::StoreAnswer &answer)
{
    const core::TimePoint now = m_timers.now();
    if (!isUnavailable(answer.response)) {
        m_directServedAt = now;
        m_directSuspension.until = {};
        return;
    }
    m_directSuspension.untilByKind[kind] = now + directWatchRetryDelay;
    if (m_directServedAt < answer.sentAt)
        m_directSuspension.until = now + directWatchRetryDelay;
}

StoreTransport::TimedRequest StoreTransport::timedRequest(const platform::WatchRequest &watch,
                                                          core::Duration margin)
{
    TimedRequest timed;
    timed.request.path = platform::formatWatchTarget({watch.kind, watch.since, watch.wait, {}});
    timed.timeout = watch.wait + margin;
    timed.wait = watch.wait;
    return timed;
}

// The end of a waiting watch tells nothing about the store, which may cut off watches at any time.
// Only the repetition shows whether it serves.
void StoreTransport::watchStore(const platform::WatchRequest &watch, core::Duration margin,
                                AnswerHandler handler)
{
    const auto sendToStore
        = [this, margin](const platform::WatchRequest &sent, AnswerHandler onAnswer) {
              TimedRequest timed = timedRequest(sent, margin);
              if (!sent.mustBeCurrent)
                  timed.lateAnswerTime = lateAnswerTime;
              send(m_store, timed, std::move(onAnswer));
          };
    const auto onAnswer = [this, watch, sendToStore, handler = std::move(handler)](auto answer) {
        if (!isBroken(answer.response) || m_timers.now() - answer.sentAt < minCutOffTime) {
            handler(std::move(answer));
            return;
        }
        observability::log({.level = observability::LogLevel::Debug,
                            .step = "watch store",
                            .message = "waiting watch was cut off, repeated"});
        platform::WatchRequest repeated = watch;
        repeated.wait = std::min(watch.wait, repeatedWatchWait);
        sendToStore(repeated, handler);
    };
    sendToStore(watch, onAnswer);
}

void StoreTransport::callPeer(const net::Address &peer, const TimedRequest &timed,
                              AnswerHandler handler)
{
    TimedRequest forwarded = timed;
    forwarded.request.path = forwardPrefix + timed.request.path;
    forwarded.timeout += peerRoundTrip;
    send(peer, forwarded, [this, handler = std::move(handler)](auto answer) {
        const bool isServed = !isUnavailable(answer.response);
        if (isServed && m_timers.now() >= m_usePeerUntil)
            observability::log({.level = observability::LogLevel::Warn,
                                .step = "call store",
                                .message = "rejected by the store; served through another daemon"});
        if (!isServed)
            m_peerSuspendedUntil = m_timers.now() + peerRetryDelay;
        if (!isServed && answer.response.ok())
            m_lostAtPeerAt = m_timers.now();
        m_usePeerUntil = isServed ? m_timers.now() + peerUseTime : core::TimePoint();
        handler(std::move(answer));
    });
}

void StoreTransport::forwardToStore(const net::HttpRequest &request, core::Duration timeout,
                                    http::ControlClient::Handler handler)
{
    m_controlClient.call(m_store, request, timeout, std::move(handler));
}

} // namespace jackdawlead::gateway
