#include "objectapi/objectfollower.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::objectapi {

namespace {

constexpr core::Duration firstRetryDelay = std::chrono::milliseconds(500);
// Below half of the 16 s within which a configuration must be in force everywhere.
constexpr core::Duration maxRetryDelay = std::chrono::seconds(5);
constexpr core::Duration watchTimeout = std::chrono::seconds(60);
// A watch that ends earlier did not wait.
constexpr core::Duration minWatchTime = std::chrono::seconds(1);
constexpr core::Duration resyncInterval = std::chrono::seconds(10);

} // namespace

ObjectFollower::ObjectFollower(ObjectClient &objects, net::TimerService &timers, std::string kind,
                               Handlers handlers)
    : m_objects(objects)
    , m_timers(timers)
    , m_kind(std::move(kind))
    , m_handlers(std::move(handlers))
    , m_retryDelay(firstRetryDelay)
    , m_random(std::random_device()())
{ }

void ObjectFollower::start()
{
    list();
}

void ObjectFollower::resync()
{
    if (m_isListing || m_timers.now() < m_listedAt + resyncInterval)
        return;
    m_watch.cancel();
    list();
}

void ObjectFollower::list()
{
    m_isListing = true;
    m_objects.list(m_kind, [this](const absl::StatusOr<ObjectList> &result) {
        m_isListing = false;
        if (!result.ok()) {
            m_handlers.failed(result.status());
            retryLater();
            return;
        }
        m_listedAt = m_timers.now();
        m_resourceVersion = result->resourceVersion;
        m_handlers.listed(result->items);
        watch();
    });
}

void ObjectFollower::retryLater()
{
    // Half of the delay is random, so that daemons that failed together retry apart.
    std::uniform_int_distribution<std::int64_t> half(m_retryDelay.count() / 2,
                                                     m_retryDelay.count());
    m_retry = m_timers.once(core::Duration(half(m_random)), [this] { list(); });
    m_retryDelay = std::min(m_retryDelay * 2, maxRetryDelay);
}

void ObjectFollower::watch()
{
    m_watchStartedAt = m_timers.now();
    m_watch = m_objects.watch(
        m_kind, m_resourceVersion, watchTimeout,
        [this](const std::string &type, const Object &object) {
            m_resourceVersion = object.resourceVersion;
            m_retryDelay = firstRetryDelay;
            if (type != "BOOKMARK")
                m_handlers.changed(type, object);
        },
        [this](const absl::Status &status) { watchEnded(status); });
}

void ObjectFollower::watchEnded(const absl::Status &status)
{
    const bool hasWaited = m_timers.now() - m_watchStartedAt >= minWatchTime;
    if (hasWaited)
        m_retryDelay = firstRetryDelay;
    if (status.ok() && hasWaited) {
        watch();
        return;
    }
    if (!status.ok())
        m_handlers.failed(status);
    retryLater();
}

} // namespace jackdawlead::objectapi
