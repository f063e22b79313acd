#pragma once

#include "http/server.h"
#include "net/timerservice.h"
#include "platform/objectstoreclient.h"

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <vector>

namespace jackdawlead::gateway {

/// Answers the watches of other daemons from what this daemon's own watches of the store tell, so
/// that a failure domain costs the store as many calls as one daemon. It answers only while each
/// kind's last news came straight from the store and is young enough; else it turns daemons away
/// at once, with 503 if it has lost the store and with 421 if it is no relay or not yet one.
/// Thread safety: the loop's thread only.
class WatchRelay
{
public:
    /// News of the store older than `maxAge`, beside the pause behind it, is not passed on.
    WatchRelay(net::TimerService &timers, core::Duration maxAge);

    /// Starts to answer; unless all that was heard so far came straight from the store, after the
    /// next news of each kind.
    void activate(bool hasDirectHistory);
    void deactivate();

    /// The kind was read whole; earlier changes are not known.
    void resetHistory(platform::ObjectKind kind, platform::Revision revision);
    /// A watch of the store was answered, with the changes that other daemons need; the next one
    /// begins after `pause`.
    void recordWatchResult(platform::ObjectKind kind, const platform::ObjectEvents &events,
                           core::Duration nextWatchDelay);
    /// A call to the store failed.
    void recordStoreFailure(platform::ObjectKind kind);

    void serve(const platform::WatchRequest &watch,
               const std::shared_ptr<http::ServerExchange> &exchange);

private:
    struct Waiter
    {
        std::shared_ptr<http::ServerExchange> exchange;
        platform::Revision since = 0;
        core::TimePoint until;
    };
    struct History
    {
        platform::Revision oldest = 0; ///< Watches from here on can be answered.
        platform::Revision newest = 0;
        std::deque<platform::ObjectEvents> batches;
        bool isDirect = false; ///< What is known came straight from the store.
        bool isStoreReachable = false;
        core::TimePoint updatedAt;
        core::Duration nextWatchDelay {};
        std::list<Waiter> waiters;
    };

    bool isFresh(const History &history) const;
    static bool respondIfDue(const History &history, const Waiter &waiter, bool hasTimedOut);
    void rejectWaiters(History &history) const;
    int rejectionStatus(const History &history) const;
    void sweep();

    net::TimerService &m_timers;
    core::Duration m_maxAge;
    bool m_isActive = false;
    std::map<platform::ObjectKind, History> m_histories;
    net::TimerService::Subscription m_sweepTimer;
};

} // namespace jackdawlead::gateway
