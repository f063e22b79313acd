#pragma once

#include "gateway/objectindex.h"
#include "gateway/watchrelay.h"
#include "net/timerservice.h"
#include "platform/objectstoreclient.h"

#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace jackdawlead::gateway {

/// Follows all objects of one kind: lists them, then watches for changes, and lists again when the
/// store has lost the history in between. Thread safety: the loop's thread only.
class StoreFollower
{
public:
    /// Takes a change, seen by a watch or between two lists; all objects of the first list are
    /// changes. Returns whether other daemons need to know it.
    using EventHandler = std::function<bool(const platform::ObjectEvent &)>;

    /// `wait` is how long a watch waits; one that hears nothing of a change delays it as long.
    StoreFollower(platform::ObjectStoreClient &store, net::TimerService &timers, WatchRelay &relay,
                  platform::ObjectKind kind, core::Duration wait, EventHandler onEvent);
    ~StoreFollower();
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;

    void start();
    /// Whether the kind was read whole at least once.
    bool hasInitialList() const { return m_hasInitialList; }
    /// Whether the last call was answered.
    bool isStoreReachable() const { return m_failures == 0; }
    /// When the store answered again after its last failure; the start of time if it never failed.
    core::TimePoint reconnectedAt() const { return m_reconnectedAt; }

private:
    void listNext();
    void finishList();
    void watchNext();
    void handleFailure(const absl::Status &status, bool isWatch);
    void recordSuccess();
    /// Hands the events on and keeps those that other daemons need to know.
    void processEvents(std::vector<platform::ObjectEvent> &events);

    platform::ObjectStoreClient &m_store;
    net::TimerService &m_timers;
    WatchRelay &m_relay; ///< Told what the store says.
    platform::ObjectKind m_kind;
    core::Duration m_watchWait;
    EventHandler m_onEvent;
    std::vector<platform::StoredObject> m_listedObjects;
    ObjectIndex m_objects;
    platform::Revision m_listRevision = 0;
    platform::Revision m_revision = 0;
    bool m_hasInitialList = false;
    int m_failures = 0;
    core::TimePoint m_reconnectedAt;
    std::minstd_rand m_random;
    net::TimerService::Subscription m_nextCallTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
