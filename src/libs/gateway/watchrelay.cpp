#include "gateway/watchrelay.h"

#include "gateway/storetransport.h"
#include "platform/watchcodec.h"

#include <algorithm>
#include <iterator>

namespace jackdawlead::gateway {

namespace {

// Maximum delay until a wait that has ended is answered and until an outdated history is detected.
constexpr core::Duration sweepPeriod = std::chrono::milliseconds(100);

} // namespace

WatchRelay::WatchRelay(net::TimerService &timers, core::Duration maxAge)
    : m_timers(timers)
    , m_maxAge(maxAge)
{ }

void WatchRelay::activate(bool hasDirectHistory)
{
    if (m_isActive)
        return;
    m_isActive = true;
    m_sweepTimer = m_timers.every(sweepPeriod, [this] { sweep(); });
    // State that came through another relay may be as old as that relay's state.
    if (hasDirectHistory)
        return;
    for (auto &[kind, feed] : m_feeds)
        feed.isStoreReachable = feed.isDirect = false;
}

void WatchRelay::deactivate()
{
    m_isActive = false;
    m_sweepTimer.cancel();
    for (auto &[kind, feed] : m_feeds)
        rejectWaiters(feed);
}

void WatchRelay::resetHistory(platform::ObjectKind kind, const core::StorePosition &position,
                              core::TimePoint asOf)
{
    Feed &feed = m_feeds[kind];
    feed.asOf = std::max(feed.asOf, asOf);
    feed.history.reset(position);
    feed.isStoreReachable = feed.isDirect = true;
    feed.updatedAt = m_timers.now();
    feed.nextWatchDelay = {};
    rejectWaiters(feed);
}

void WatchRelay::recordWatchResult(platform::ObjectKind kind, const platform::ObjectEvents &events,
                                   core::Duration nextWatchDelay)
{
    Feed &feed = m_feeds[kind];
    feed.history.append(events.position, events.events);
    feed.asOf = std::max(feed.asOf, events.asOf);
    feed.isStoreReachable = feed.isDirect = true;
    feed.updatedAt = m_timers.now();
    feed.nextWatchDelay = nextWatchDelay;
    if (events.events.empty())
        return;
    for (auto waiter = feed.waiters.begin(); waiter != feed.waiters.end();)
        waiter
            = respondIfDue(feed, *waiter, false) ? feed.waiters.erase(waiter) : std::next(waiter);
}

void WatchRelay::recordStoreFailure(platform::ObjectKind kind)
{
    Feed &feed = m_feeds[kind];
    feed.isStoreReachable = false;
    rejectWaiters(feed);
}

void WatchRelay::serve(const platform::WatchRequest &watch,
                       const std::shared_ptr<http::ServerExchange> &exchange)
{
    Feed &feed = m_feeds[watch.kind];
    const core::StorePosition &newest = feed.history.newest();
    if (!m_isActive || !isFresh(feed)) {
        exchange->respond(rejectionStatus(feed), {}, {});
        return;
    }
    if (watch.knownEra.value_or(newest.era) > newest.era) {
        // The store came back from a copy, and this daemon has not noticed it yet.
        exchange->respond(StoreTransport::storeLostStatus, {}, {});
        return;
    }
    core::StorePosition since = watch.since;
    if (!watch.knownEra)
        since.era = newest.era;
    if (!feed.history.changesAfter(since)) {
        exchange->respond(410, platform::storeResponseFields(newest.era), {});
        return;
    }
    const core::TimePoint now = m_timers.now();
    const Waiter waiter {exchange, since, now, now + watch.wait};
    if (!respondIfDue(feed, waiter, false))
        feed.waiters.push_back(waiter);
}

bool WatchRelay::isFresh(const Feed &feed) const
{
    return feed.isStoreReachable
        && m_timers.now() - feed.updatedAt <= m_maxAge + feed.nextWatchDelay;
}

bool WatchRelay::respondIfDue(const Feed &feed, const Waiter &waiter, bool hasTimedOut)
{
    const core::StorePosition &newest = feed.history.newest();
    auto changes = feed.history.changesAfter(waiter.since);
    if (!changes) {
        waiter.exchange->respond(410, platform::storeResponseFields(newest.era), {});
        return true;
    }
    if (changes->empty() && !hasTimedOut)
        return false;
    platform::ObjectEvents events;
    events.events = *std::move(changes);
    // A daemon that watched the store itself may be ahead.
    events.position = waiter.since.isAfter(newest) ? waiter.since : newest;
    events.sinceEra = waiter.since.era;
    events.asOf = feed.asOf;
    waiter.exchange->respond(200, platform::storeResponseFields(newest.era),
                             platform::encodeEvents(events, waiter.arrivedAt));
    return true;
}

int WatchRelay::rejectionStatus(const Feed &feed) const
{
    return m_isActive && feed.isDirect ? StoreTransport::storeLostStatus
                                       : StoreTransport::notRelayStatus;
}

void WatchRelay::rejectWaiters(Feed &feed) const
{
    for (const Waiter &waiter : feed.waiters)
        waiter.exchange->respond(rejectionStatus(feed), {}, {});
    feed.waiters.clear();
}

void WatchRelay::sweep()
{
    const core::TimePoint now = m_timers.now();
    for (auto &entry : m_feeds) {
        Feed &feed = entry.second;
        if (!isFresh(feed)) {
            rejectWaiters(feed);
            continue;
        }
        std::erase_if(feed.waiters, [&](const Waiter &waiter) {
            return waiter.until <= now && respondIfDue(feed, waiter, true);
        });
    }
}

} // namespace jackdawlead::gateway
