#pragma once

#include "net/timerservice.h"
#include "platform/objectstoreclient.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace jackdawlead::gateway {

/// All objects of a kind, at least as of a position.
struct ObjectList
{
    std::vector<platform::StoredObject> objects;
    /// Of the first page. Changes since then may be included, so that a watch continues from here.
    core::StorePosition position;
    core::TimePoint sentAt; ///< When the first page was requested.
};

/// Reads all objects of one kind, page by page, once at a time. It never retries by itself.
/// Thread safety: the event loop's thread only.
class ObjectLister
{
public:
    using Handler = std::function<void(absl::StatusOr<ObjectList>)>;

    /// The references must outlive the object.
    ObjectLister(platform::ObjectStoreClient &store, net::TimerService &timers,
                 platform::ObjectKind kind);
    ~ObjectLister();
    ObjectLister(const ObjectLister &) = delete;
    ObjectLister &operator=(const ObjectLister &) = delete;

    /// Reads a new list. `handler` receives it, or the first error: those of
    /// ObjectStoreClient::list(), and kDataLoss if the pages form no list, because they repeat or
    /// are of different eras. Precondition: no list is in progress.
    void start(Handler handler);
    /// Continues with the page that failed; reads a new list after kDataLoss, or if none failed.
    /// Precondition: no list is in progress.
    void resume(Handler handler);
    /// Pages requested so far.
    std::uint64_t calls() const { return m_calls; }

private:
    void reset();
    void handlePage(absl::StatusOr<platform::ObjectPage> page, core::TimePoint sentAt,
                    const Handler &handler);
    /// Errors: kDataLoss as in start().
    absl::Status addPage(platform::ObjectPage page, core::TimePoint sentAt);

    platform::ObjectStoreClient &m_store;
    net::TimerService &m_timers;
    platform::ObjectKind m_kind;
    ObjectList m_list;
    std::string m_after; ///< Name after which the next page begins; empty for the first one.
    std::unordered_set<std::string> m_previousNames; ///< After which pages began.
    std::uint64_t m_calls = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
