#include "gateway/storefollower.h"

#include "net/guard.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// Joins changes that come together: each call is priced, and endpoints' entries change with each
// order, while what matters in them has bounds of 3 s. The other kinds change rarely.
constexpr core::Duration endpointEventPause = std::chrono::milliseconds(1000);
constexpr core::Duration eventPause = std::chrono::milliseconds(50);
// At the start the coordinator names a relay within this time, so that hundreds of daemons need not
// watch the store for it. The watch begins where the list ended and misses nothing.
constexpr core::Duration firstWatchDelay = std::chrono::milliseconds(700);
constexpr core::Duration firstRetry = std::chrono::milliseconds(100);
// A watch after a failure: a store that leaves calls unanswered must be found back within seconds,
// while a call that was made just before its return is still waited for in vain.
constexpr core::Duration trialWait = std::chrono::milliseconds(300);
constexpr core::Duration longestRetry = std::chrono::milliseconds(1000);

} // namespace

StoreFollower::StoreFollower(platform::ObjectStoreClient &store, net::TimerService &timers,
                             WatchRelay &relay, platform::ObjectKind kind, core::Duration wait,
                             EventHandler onEvent)
    : m_store(store)
    , m_timers(timers)
    , m_relay(relay)
    , m_kind(kind)
    , m_wait(wait)
    , m_onEvent(std::move(onEvent))
    , m_random(std::random_device()())
{ }

StoreFollower::~StoreFollower()
{
    *m_isAlive = false;
}

void StoreFollower::start()
{
    m_listing.clear();
    listNext();
}

void StoreFollower::listNext()
{
    const std::string after = m_listing.empty() ? std::string() : m_listing.back().name;
    m_store.list(m_kind, after, [this, alive = m_isAlive, isFirst = m_listing.empty()](auto page) {
        if (!*alive)
            return;
        if (!page.ok()) {
            failed(page.status(), false);
            return;
        }
        answered();
        // The watch goes on from the first page: changes during the others are told once more.
        if (isFirst)
            m_listRevision = page->revision;
        std::ranges::move(page->items, std::back_inserter(m_listing));
        if (page->hasMore && !m_listing.empty()) {
            listNext();
            return;
        }
        const bool isStart = !m_isListed && !m_listing.empty();
        finishList();
        if (isStart)
            m_retry = m_timers.once(firstWatchDelay, [this] { watchNext(); });
        else
            watchNext();
    });
}

void StoreFollower::finishList()
{
    // Watches of other daemons go on across a list, which would cost each of them one of its own.
    platform::ObjectEvents changes {m_objects.replaceAll(m_listing), m_listRevision};
    m_listing.clear();
    m_revision = m_listRevision;
    const std::size_t count = changes.events.size();
    handle(changes.events);
    if (std::exchange(m_isListed, true)) {
        m_relay.recordWatchResult(m_kind, changes, {});
        return;
    }
    m_relay.resetHistory(m_kind, m_revision);
    observability::log({.step = "follow store",
                        .message = absl::StrCat(count, " objects are known at the start"),
                        .peer = platform::collectionPath(m_kind)});
}

void StoreFollower::watchNext()
{
    const core::Duration wait = isInTouch() ? m_wait : std::min(m_wait, trialWait);
    m_store.watch(m_kind, m_revision, wait, [this, alive = m_isAlive](auto events) {
        if (!*alive)
            return;
        if (!events.ok()) {
            failed(events.status(), true);
            return;
        }
        answered();
        m_revision = events->revision;
        m_objects.applyEvents(events->events);
        const bool hasEvents = !events->events.empty();
        handle(events->events);
        core::Duration pause {};
        if (hasEvents)
            pause = m_kind == platform::ObjectKind::Endpoints ? endpointEventPause : eventPause;
        m_relay.recordWatchResult(m_kind, *events, pause);
        if (hasEvents)
            m_retry = m_timers.once(pause, [this] { watchNext(); });
        else
            watchNext();
    });
}

// An event that cannot be handled is left out; without the guard the store would not be followed
// any further.
void StoreFollower::handle(std::vector<platform::ObjectEvent> &events)
{
    std::erase_if(events, [this](const platform::ObjectEvent &event) {
        bool isNews = false;
        net::runGuarded("follow store", [&] { isNews = m_onEvent(event); });
        return !isNews;
    });
}

void StoreFollower::answered()
{
    if (m_failures == 0)
        return;
    m_failures = 0;
    m_regainedAt = m_timers.now();
    observability::log({.step = "follow store", .message = "store regained"});
}

void StoreFollower::failed(const absl::Status &status, bool isWatch)
{
    const bool isHistoryGone = absl::IsOutOfRange(status);
    if (isHistoryGone) {
        start();
        return;
    }
    m_relay.recordStoreFailure(m_kind);
    if (m_failures == 0)
        observability::logError(observability::LogLevel::Warn, status);
    constexpr int maxDoublings = 5;
    const auto pause = std::min<core::Duration>(
        firstRetry * (1 << std::min(m_failures, maxDoublings)), longestRetry);
    ++m_failures;
    // Up to half as long again, so that daemons do not come back together.
    std::uniform_real_distribution<double> spread(1.0, 1.5);
    const auto delay = core::scaled(pause, spread(m_random));
    m_retry = m_timers.once(delay, [this, isWatch] {
        if (isWatch)
            watchNext();
        else
            listNext();
    });
}

} // namespace jackdawlead::gateway
