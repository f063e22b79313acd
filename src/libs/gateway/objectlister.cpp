#include "gateway/objectlister.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawlead::gateway {

namespace {

absl::Status listError(platform::ObjectKind kind, std::string_view what)
{
    return core::makeError(absl::StatusCode::kDataLoss, "list objects",
                           platform::collectionPath(kind), what);
}

} // namespace

ObjectLister::ObjectLister(platform::ObjectStoreClient &store, net::TimerService &timers,
                           platform::ObjectKind kind)
    : m_store(store)
    , m_timers(timers)
    , m_kind(kind)
{ }

ObjectLister::~ObjectLister()
{
    *m_isAlive = false;
}

void ObjectLister::start(Handler handler)
{
    reset();
    resume(std::move(handler));
}

void ObjectLister::reset()
{
    m_list = {};
    m_after.clear();
    m_previousNames.clear();
}

void ObjectLister::resume(Handler handler)
{
    ++m_calls;
    m_store.list(m_kind, m_after,
                 [this, alive = m_isAlive, sentAt = m_timers.now(),
                  handler = std::move(handler)](auto page) {
                     if (*alive)
                         handlePage(std::move(page), sentAt, handler);
                 });
}

void ObjectLister::handlePage(absl::StatusOr<platform::ObjectPage> page, core::TimePoint sentAt,
                              const Handler &handler)
{
    if (!page.ok()) {
        handler(page.status());
        return;
    }
    const bool hasMore = page->hasMore;
    const absl::Status status = addPage(*std::move(page), sentAt);
    if (status.ok() && hasMore) {
        resume(handler);
        return;
    }
    ObjectList list = std::move(m_list);
    reset();
    if (status.ok())
        handler(std::move(list));
    else
        handler(status);
}

absl::Status ObjectLister::addPage(platform::ObjectPage page, core::TimePoint sentAt)
{
    const bool isFirst = m_after.empty();
    if (isFirst) {
        m_list.position = page.position;
        m_list.sentAt = sentAt;
    } else if (page.position.era != m_list.position.era) {
        return listError(m_kind, "the store came back from a copy between two pages");
    }
    std::ranges::move(page.items, std::back_inserter(m_list.objects));
    if (!page.hasMore)
        return absl::OkStatus();
    // After the same name the same page follows again.
    if (page.lastName.empty() || !m_previousNames.insert(page.lastName).second)
        return listError(m_kind,
                         absl::StrCat("pages repeat after ", m_list.objects.size(),
                                      " objects, although more follow"));
    m_after = std::move(page.lastName);
    return absl::OkStatus();
}

} // namespace jackdawlead::gateway
