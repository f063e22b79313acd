#include "gateway/storefollower.h"

#include "net/guard.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// Combines changes that arrive at nearly the same time, because each call is priced. Entries of
// endpoints change with each order, while their relevant fields have bounds of 3 s. The other kinds
// change rarely.
constexpr core::Duration endpointEventDelay = std::chrono::milliseconds(1000);
constexpr core::Duration eventDelay = std::chrono::milliseconds(50);
// After the start the coordinator selects a relay within this time, so that hundreds of daemons
// don't watch the store before that. The watch begins at the revision of the list and misses
// nothing.
constexpr core::Duration firstWatchDelay = std::chrono::milliseconds(700);
constexpr core::Duration minRetryDelay = std::chrono::milliseconds(100);
// For a watch after a failure, so that its response shows at once whether the store is back and
// what has changed.
constexpr core::Duration watchWaitAfterFailure = std::chrono::milliseconds(10);
// For the watch after an answer with changes, which may be as old as its watch. The next answer
// without changes shows up to when there were no more. Long enough that a relay under load answers.
constexpr core::Duration watchWaitAfterChange = std::chrono::milliseconds(250);
// For calls that confirm the known state, whose responses are needed at once.
constexpr core::Duration confirmWait = std::chrono::milliseconds(1);
constexpr core::Duration minConfirmInterval = std::chrono::milliseconds(100);
constexpr core::Duration maxRetryDelay = std::chrono::milliseconds(1000);
// A watch without changes that ends earlier did not wait.
constexpr core::Duration minWatchTime = std::chrono::milliseconds(100);

} // namespace

StoreFollower::StoreFollower(const Shared &shared, platform::ObjectKind kind, EventHandler onEvent)
    : m_store(shared.store)
    , m_timers(shared.timers)
    , m_relay(shared.relay)
    , m_outage(shared.outage)
    , m_kind(kind)
    , m_watchWait(shared.watchWait)
    , m_onRegained(shared.onRegained)
    , m_onEvent(std::move(onEvent))
    , m_lister(m_store, m_timers, kind)
    , m_random(std::random_device()())
{ }

StoreFollower::~StoreFollower()
{
    *m_isAlive = false;
}

void StoreFollower::start()
{
    m_isListing = true;
    m_lister.start([this](auto list) { handleList(std::move(list)); });
}

// The pages before the last one prove nothing: a store whose list never ends answers them as well.
void StoreFollower::handleList(absl::StatusOr<ObjectList> list)
{
    if (!list.ok()) {
        handleFailure(list.status());
        return;
    }
    recordSuccess(list->sentAt);
    const bool isInitialList = !m_hasInitialList && !list->objects.empty();
    applyList(*list);
    if (isInitialList)
        m_nextCallTimer = m_timers.once(firstWatchDelay, [this] { watchNext(); });
    else
        watchNext();
}

// The first list is not delayed. A store that never has the history since its own list would be
// listed without end otherwise.
void StoreFollower::listAgain()
{
    if (m_listsWithoutWatch++ == 0) {
        start();
        return;
    }
    m_isListing = true;
    m_nextCallTimer = m_timers.once(retryDelay(m_listsWithoutWatch - 2), [this] { repeatCall(); });
}

void StoreFollower::applyList(const ObjectList &list)
{
    // Watches of other daemons continue after this list; otherwise each of them would have to list
    // the kind as well.
    m_isListing = false;
    platform::ObjectEvents changes {m_objects.replaceAll(list.objects), list.position,
                                    m_position.era, list.sentAt};
    moveTo(list.position);
    const std::size_t count = changes.events.size();
    processEvents(changes.events);
    if (std::exchange(m_hasInitialList, true)) {
        m_relay.recordWatchResult(m_kind, changes, {});
        return;
    }
    m_relay.resetHistory(m_kind, m_position, list.sentAt);
    observability::log({.step = "follow store",
                        .message = absl::StrCat(count, " objects in the initial list"),
                        .peer = platform::collectionPath(m_kind)});
}

void StoreFollower::watchNext()
{
    core::Duration wait = m_watchWait;
    if (!m_contact.isReachable())
        wait = std::min(wait, watchWaitAfterFailure);
    else if (m_hasNewChanges && m_kind == platform::ObjectKind::AdapterVersions)
        wait = std::min(wait, watchWaitAfterChange);
    m_isWatching = true;
    m_watchStartedAt = m_timers.now();
    m_store.watch(
        m_kind, m_position, wait,
        [this, number = ++m_watchNumber, since = m_position, alive = m_isAlive](auto events) {
            if (!*alive)
                return;
            if (number == m_watchNumber && m_isWatching)
                handleWatchResult(std::move(events));
            else
                handleLateAnswer(since, std::move(events));
        });
}

// Takes the place of the waiting watch, whose later result could undo changes that are known then.
void StoreFollower::confirm()
{
    const core::TimePoint now = m_timers.now();
    if (m_isListing || m_isConfirming || now - m_confirmStartedAt < minConfirmInterval)
        return;
    m_isConfirming = true;
    m_confirmStartedAt = now;
    m_nextCallTimer.cancel();
    m_isWatching = true;
    m_watchStartedAt = {}; // This one is meant to end early.
    m_store.watchCurrent(m_kind, m_position, confirmWait,
                         [this, number = ++m_watchNumber, alive = m_isAlive](auto events) {
                             if (!*alive)
                                 return;
                             m_isConfirming = false;
                             if (number == m_watchNumber && m_isWatching)
                                 handleWatchResult(std::move(events));
                         });
}

void StoreFollower::handleWatchResult(absl::StatusOr<platform::ObjectEvents> events)
{
    m_isWatching = false;
    if (!events.ok()) {
        handleFailure(events.status());
        return;
    }
    recordSuccess(events->asOf);
    applyWatchAnswer(*std::move(events));
}

void StoreFollower::applyWatchAnswer(platform::ObjectEvents events)
{
    if (events.sinceEra != m_position.era) {
        // The store came back from a copy and has given out the watched revision again.
        listAgain();
        return;
    }
    m_listsWithoutWatch = 0;
    moveTo(events.position);
    m_objects.applyEvents(events.events);
    const bool hasEvents = !events.events.empty();
    m_hasNewChanges = hasEvents;
    processEvents(events.events);
    core::Duration nextDelay {};
    if (hasEvents)
        nextDelay = m_kind == platform::ObjectKind::Endpoints ? endpointEventDelay : eventDelay;
    const bool isEarly = !hasEvents && m_timers.now() - m_watchStartedAt < minWatchTime;
    m_earlyAnswers = isEarly ? m_earlyAnswers + 1 : 0;
    // One early answer may be due to a short wait after a failure.
    if (m_earlyAnswers > 1)
        nextDelay = retryDelay(m_earlyAnswers - 2);
    m_relay.recordWatchResult(m_kind, events, nextDelay);
    if (nextDelay > core::Duration::zero())
        m_nextCallTimer = m_timers.once(nextDelay, [this] { watchNext(); });
    else
        watchNext();
}

// The answer takes the place of the call or the delay that followed the failure. Without changes it
// tells no more than the later calls, and after a change of the known state it could undo changes.
void StoreFollower::handleLateAnswer(const core::StorePosition &since,
                                     absl::StatusOr<platform::ObjectEvents> events)
{
    if (m_isListing || m_isConfirming || !events.ok() || events->events.empty()
        || since != m_position)
        return;
    m_nextCallTimer.cancel();
    m_isWatching = false;
    m_contact.recordLateAnswer(events->asOf);
    applyWatchAnswer(*std::move(events));
}

// Ignores an event whose handler throws; without the guard, following the store would end.
void StoreFollower::processEvents(std::vector<platform::ObjectEvent> &events)
{
    std::erase_if(events, [this](const platform::ObjectEvent &event) {
        bool isRelevant = false;
        net::runGuarded("follow store", [&] { isRelevant = m_onEvent(event); });
        return !isRelevant;
    });
}

void StoreFollower::moveTo(const core::StorePosition &position)
{
    if (m_hasInitialList && position.era != m_position.era)
        m_outage.recordRestore(m_timers.now());
    m_position = position;
}

void StoreFollower::recordSuccess(core::TimePoint asOf)
{
    const bool isRegained = !m_contact.isReachable();
    m_contact.recordSuccess(asOf);
    m_outage.recordSuccess(m_timers.now());
    if (!isRegained)
        return;
    const bool mayHaveExpired = m_outage.reappearanceEnd() > m_timers.now();
    observability::log({.step = "follow store",
                        .message = mayHaveExpired
                            ? "store regained, entries may have expired meanwhile"
                            : "store regained",
                        .peer = platform::collectionPath(m_kind)});
    m_onRegained();
}

void StoreFollower::retryNow()
{
    if (m_contact.isReachable() || !m_nextCallTimer.isActive())
        return;
    m_nextCallTimer.cancel();
    repeatCall();
}

void StoreFollower::repeatCall()
{
    if (m_isListing)
        m_lister.resume([this](auto list) { handleList(std::move(list)); });
    else
        watchNext();
}

void StoreFollower::handleFailure(const absl::Status &status)
{
    const bool isHistoryLost = !m_isListing && absl::IsOutOfRange(status);
    if (isHistoryLost) {
        listAgain();
        return;
    }
    m_relay.recordStoreFailure(m_kind);
    if (m_contact.isReachable())
        observability::logError(observability::LogLevel::Warn, status);
    m_earlyAnswers = 0;
    const core::Duration delay = retryDelay(m_contact.failures());
    m_contact.recordFailure();
    m_outage.recordFailure();
    m_nextCallTimer = m_timers.once(delay, [this] { repeatCall(); });
}

core::Duration StoreFollower::retryDelay(int repetitions)
{
    constexpr int maxDoublings = 5;
    const auto delay = std::min<core::Duration>(
        minRetryDelay * (1 << std::min(repetitions, maxDoublings)), maxRetryDelay);
    std::uniform_real_distribution<double> spread(1.0, 1.5);
    return core::scaled(delay, spread(m_random));
}

} // namespace jackdawlead::gateway
