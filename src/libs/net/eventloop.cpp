#include "net/eventloop.h"

#include "net/clocks.h"
#include "net/guard.h"

#include <event2/event.h>

#include <list>
#include <utility>

namespace jackdawlead::net {

struct EventLoop::Signals
{
    struct Entry
    {
        event *source = nullptr;
        std::function<void()> handler;
    };
    std::list<Entry> entries;

    ~Signals()
    {
        for (Entry &entry : entries)
            event_free(entry.source);
    }
};

namespace {

// Without the flag a timer counts from the begin of the present turn, so that one that is started
// late in a long turn has run out at once.
event_base *newBase()
{
    event_config *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_NO_CACHE_TIME);
    event_base *base = event_base_new_with_config(config);
    event_config_free(config);
    return base;
}

} // namespace

EventLoop::EventLoop()
    : m_base(newBase())
    , m_signals(std::make_unique<Signals>())
{ }

EventLoop::~EventLoop()
{
    m_signals.reset();
    event_base_free(m_base);
}

void EventLoop::run()
{
    event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    event_base_loopbreak(m_base);
}

void EventLoop::post(std::function<void()> work)
{
    auto *owned = new std::function<void()>(std::move(work));
    const timeval immediately {0, 0};
    event_base_once(
        m_base, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void *argument) {
            std::unique_ptr<std::function<void()>> call(
                static_cast<std::function<void()> *>(argument));
            runGuarded("posted work", *call);
        },
        owned, &immediately);
}

core::TimePoint EventLoop::now() const
{
    return steadyTime();
}

void EventLoop::onSignal(int number, std::function<void()> handler)
{
    auto &entry = m_signals->entries.emplace_back();
    entry.handler = std::move(handler);
    entry.source = evsignal_new(
        m_base, number,
        [](evutil_socket_t, short, void *argument) {
            runGuarded("signal", static_cast<Signals::Entry *>(argument)->handler);
        },
        &entry);
    event_add(entry.source, nullptr);
}

} // namespace jackdawlead::net
