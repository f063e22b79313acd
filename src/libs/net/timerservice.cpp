#include "net/timerservice.h"

#include "net/guard.h"

#include <event2/event.h>

#include <utility>

namespace jackdawlead::net {

class TimerService::Entry
{
public:
    Entry(EventLoop &loop, core::Duration delay, bool isPeriodic, std::function<void()> callback)
        : m_callback(std::make_shared<std::function<void()>>(std::move(callback)))
    {
        const short flags = isPeriodic ? EV_PERSIST : 0;
        m_event = event_new(loop.base(), -1, flags, &Entry::fire, this);
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(delay);
        const timeval interval {seconds.count(), (delay - seconds).count()};
        event_add(m_event, &interval);
    }
    ~Entry() { event_free(m_event); }
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    bool isPending() const { return event_pending(m_event, EV_TIMEOUT, nullptr) != 0; }

private:
    static void fire(evutil_socket_t, short, void *argument)
    {
        // The callback may destroy the entry, so the function object is kept alive for the call.
        const auto callback = static_cast<Entry *>(argument)->m_callback;
        runGuarded("timer", *callback);
    }

    std::shared_ptr<std::function<void()>> m_callback;
    event *m_event = nullptr;
};

TimerService::Subscription::Subscription() = default;
TimerService::Subscription::~Subscription() = default;
TimerService::Subscription::Subscription(Subscription &&) noexcept = default;
TimerService::Subscription &
TimerService::Subscription::operator=(Subscription &&) noexcept = default;

TimerService::Subscription::Subscription(std::unique_ptr<Entry> entry)
    : m_entry(std::move(entry))
{ }

void TimerService::Subscription::cancel()
{
    m_entry.reset();
}

bool TimerService::Subscription::isActive() const
{
    return m_entry && m_entry->isPending();
}

TimerService::TimerService(EventLoop &loop)
    : m_loop(loop)
{ }

TimerService::Subscription TimerService::once(core::Duration delay, std::function<void()> callback)
{
    return Subscription(std::make_unique<Entry>(m_loop, delay, false, std::move(callback)));
}

TimerService::Subscription TimerService::every(core::Duration period,
                                               std::function<void()> callback)
{
    return Subscription(std::make_unique<Entry>(m_loop, period, true, std::move(callback)));
}

} // namespace jackdawlead::net
