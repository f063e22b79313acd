#pragma once

#include "net/timerservice.h"
#include "objectapi/objectclient.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace jackdawlead::objectapi {

/// Follows all objects of one kind: lists them once, then watches for changes and continues an
/// ended watch where it stopped. It lists again only when a watch fails, so that a following daemon
/// costs one waiting call. Retries, and watches that end at once, are delayed exponentially and at
/// random, so that many daemons do not call at the same time after an outage. Thread safety: the
/// loop's thread only.
class ObjectFollower
{
public:
    struct Handlers
    {
        /// Called with all objects after each list; objects that are missing do not exist.
        std::function<void(const std::vector<Object> &objects)> listed;
        /// Called for each change; `type` is ADDED, MODIFIED or DELETED.
        std::function<void(const std::string &type, const Object &object)> changed;
        /// Called when a list or a watch fails.
        std::function<void(const absl::Status &status)> failed;
    };

    ObjectFollower(ObjectClient &objects, net::TimerService &timers, std::string kind,
                   Handlers handlers);

    void start();
    /// Lists again, at most once in ten seconds. To be called when the followed state was seen to
    /// be out of date, since a watch can lose events without notice.
    void resync();

private:
    void list();
    void watch();
    void watchEnded(const absl::Status &status);
    void retryLater();

    ObjectClient &m_objects;
    net::TimerService &m_timers;
    std::string m_kind;
    Handlers m_handlers;
    std::string m_resourceVersion;
    core::Duration m_retryDelay;
    core::TimePoint m_listedAt;
    core::TimePoint m_watchStartedAt;
    bool m_isListing = false;
    std::minstd_rand m_random;
    net::HttpCall m_watch;
    net::TimerService::Subscription m_retry;
};

} // namespace jackdawlead::objectapi
