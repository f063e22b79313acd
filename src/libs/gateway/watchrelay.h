#pragma once

#include "gateway/changehistory.h"
#include "http/server.h"
#include "net/timerservice.h"
#include "platform/objectstoreclient.h"

#include <list>
#include <map>
#include <memory>
#include <vector>

namespace jackdawlead::gateway {

/// Answers the watches of other daemons from the results of this daemon's own watches, so that a
/// failure domain causes only as many calls to the store as one daemon. It answers only while the
/// last update of each kind came directly from the store and is recent enough; otherwise it rejects
/// watches immediately, with 503 if it has lost the store and with 421 if it is no relay or not yet
/// one. Thread safety: the event loop's thread only.
class WatchRelay
{
public:
    /// `maxAge` is the maximum age of the last update, in addition to the delay of the next watch.
    WatchRelay(net::TimerService &timers, core::Duration maxAge);

    /// Starts to answer watches: immediately if all updates so far came directly from the store,
    /// otherwise after the next update of each kind.
    void activate(bool hasDirectHistory);
    void deactivate();

    /// Resets the history after a complete list, which includes the changes before `asOf`; earlier
    /// changes are not known.
    void resetHistory(platform::ObjectKind kind, const core::StorePosition &position,
                      core::TimePoint asOf);
    /// Records the result of a watch, or the changes between two lists, with those changes that are
    /// relevant to other daemons; the next watch begins after `nextWatchDelay`.
    void recordWatchResult(platform::ObjectKind kind, const platform::ObjectEvents &events,
                           core::Duration nextWatchDelay);
    /// Records that a call to the store failed, and rejects the waiting daemons.
    void recordStoreFailure(platform::ObjectKind kind);

    void serve(const platform::WatchRequest &watch,
               const std::shared_ptr<http::ServerExchange> &exchange);

private:
    struct Waiter
    {
        std::shared_ptr<http::ServerExchange> exchange;
        core::StorePosition since;
        core::TimePoint arrivedAt;
        core::TimePoint until;
    };
    struct Feed
    {
        // A daemon that missed more batches than this lists the kind again.
        static constexpr std::size_t maxBatches = 64;

        ChangeHistory history {maxBatches};
        bool isDirect = false; ///< The known state came directly from the store.
        bool isStoreReachable = false;
        core::TimePoint updatedAt; ///< When the last answer of the store was read.
        core::TimePoint asOf;      ///< All changes that were made before it are known.
        core::Duration nextWatchDelay {};
        std::list<Waiter> waiters;
    };

    bool isFresh(const Feed &feed) const;
    static bool respondIfDue(const Feed &feed, const Waiter &waiter, bool hasTimedOut);
    void rejectWaiters(Feed &feed) const;
    int rejectionStatus(const Feed &feed) const;
    void sweep();

    net::TimerService &m_timers;
    core::Duration m_maxAge;
    bool m_isActive = false;
    std::map<platform::ObjectKind, Feed> m_feeds;
    net::TimerService::Subscription m_sweepTimer;
};

} // namespace jackdawlead::gateway
