#pragma once

#include "decisions/storecontact.h"
#include "decisions/storeoutage.h"
#include "gateway/objectindex.h"
#include "gateway/objectlister.h"
#include "gateway/watchrelay.h"
#include "net/timerservice.h"
#include "platform/objectstoreclient.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace jackdawlead::gateway {

/// Follows all objects of one kind: lists them, then watches for changes, and lists again when the
/// store no longer has the history in between, or came back from a copy. Thread safety: the event
/// loop's thread only.
class StoreFollower
{
public:
    /// Processes a change, reported by a watch or found between two lists; all objects of the first
    /// list are changes. Returns whether the change is relevant to other daemons.
    using EventHandler = std::function<bool(const platform::ObjectEvent &)>;

    /// What the followers of all kinds share. Precondition: the references outlive the followers.
    struct Shared
    {
        platform::ObjectStoreClient &store;
        net::TimerService &timers;
        WatchRelay &relay; ///< Receives the results of the watches.
        decisions::StoreOutage &outage;
        /// Called when a call succeeds after others failed.
        std::function<void()> onRegained;
        /// How long a watch waits; a watch that misses a change delays it for that time.
        core::Duration watchWait {};
    };

    StoreFollower(const Shared &shared, platform::ObjectKind kind, EventHandler onEvent);
    ~StoreFollower();
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;

    void start();
    /// Whether all objects of the kind were listed at least once.
    bool hasInitialList() const { return m_hasInitialList; }
    /// The position up to which changes are known.
    const core::StorePosition &position() const { return m_position; }
    const decisions::StoreContact &contact() const { return m_contact; }
    /// Repeats a failed call at once instead of after its delay.
    void retryNow();
    /// Asks the store at once for the changes so far, without a relay, unless such a call is in
    /// progress or began just now. contact().confirmedAt() then shows when the call was sent.
    void confirm();

private:
    /// Sends the call again that failed.
    void repeatCall();
    void handleList(absl::StatusOr<ObjectList> list);
    void applyList(const ObjectList &list);
    /// Lists again, because the watch cannot go on.
    void listAgain();
    void watchNext();
    void handleWatchResult(absl::StatusOr<platform::ObjectEvents> events);
    void applyWatchAnswer(platform::ObjectEvents events);
    /// Takes the changes in the answer to a watch from `since` that was given up.
    void handleLateAnswer(const core::StorePosition &since,
                          absl::StatusOr<platform::ObjectEvents> events);
    void handleFailure(const absl::Status &status);
    /// Delay before a call is repeated after that many others. Adds up to half of the delay at
    /// random, so that daemons do not call at the same time.
    core::Duration retryDelay(int repetitions);
    void recordSuccess(core::TimePoint asOf);
    /// Continues from `position`, which may be in a new era.
    void moveTo(const core::StorePosition &position);
    /// Passes the events to the handler and keeps those that are relevant to other daemons.
    void processEvents(std::vector<platform::ObjectEvent> &events);

    platform::ObjectStoreClient &m_store;
    net::TimerService &m_timers;
    WatchRelay &m_relay;
    decisions::StoreOutage &m_outage;
    platform::ObjectKind m_kind;
    core::Duration m_watchWait;
    std::function<void()> m_onRegained;
    EventHandler m_onEvent;
    ObjectLister m_lister;
    ObjectIndex m_objects;
    bool m_isListing = false;
    int m_listsWithoutWatch = 0; ///< Repeated since the last watch that went on.
    int m_earlyAnswers = 0;      ///< Successive watches that were answered too early.
    core::TimePoint m_watchStartedAt;
    core::StorePosition m_position;
    bool m_hasInitialList = false;
    decisions::StoreContact m_contact;
    bool m_hasNewChanges = false;    ///< The last watch reported changes.
    std::uint64_t m_watchNumber = 0; ///< Of the last watch.
    bool m_isWatching = false;       ///< The last watch has no result yet.
    bool m_isConfirming = false;
    core::TimePoint m_confirmStartedAt;
    std::minstd_rand m_random;
    net::TimerService::Subscription m_nextCallTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
