#pragma once

#include "core/time.h"

#include <functional>
#include <memory>

struct event_base;

namespace jackdawlead::net {

/// Owns one libevent base. Everything that is attached to a loop runs on the thread that calls
/// run(). An exception that a callback lets through is reported (net/guard.h), and the loop goes
/// on. Thread safety: all methods on the loop's thread only.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs until stop() is called or nothing is left to wait for.
    void run();
    /// Makes run() return after the current callback.
    void stop();
    /// Calls `work` once from the loop, after the current callback has returned.
    void post(std::function<void()> work);
    /// The monotonic time now.
    core::TimePoint now() const;
    /// Calls `handler` from the loop each time the process receives the signal `number`.
    void onSignal(int number, std::function<void()> handler);

    event_base *base() const { return m_base; }

private:
    struct Signals;
    event_base *m_base;
    std::unique_ptr<Signals> m_signals;
};

} // namespace jackdawlead::net
