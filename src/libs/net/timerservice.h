#pragma once

#include "core/time.h"
#include "net/eventloop.h"

#include <functional>
#include <memory>

namespace jackdawlead::net {

/// Tells subscribers when their time has come. Thread safety: the loop's thread only.
class TimerService
{
public:
    class Entry;
    /// Ends the subscription when it is destroyed.
    class Subscription
    {
    public:
        Subscription();
        ~Subscription();
        Subscription(Subscription &&) noexcept;
        Subscription &operator=(Subscription &&) noexcept;
        explicit Subscription(std::unique_ptr<Entry> entry);
        void cancel();
        bool isActive() const;

    private:
        std::unique_ptr<Entry> m_entry;
    };

    explicit TimerService(EventLoop &loop);

    /// Calls `callback` once after `delay`. Precondition: the loop outlives the subscription.
    [[nodiscard]] Subscription once(core::Duration delay, std::function<void()> callback);
    /// Calls `callback` each `period`, for the first time after one period.
    [[nodiscard]] Subscription every(core::Duration period, std::function<void()> callback);
    /// The monotonic time now.
    core::TimePoint now() const { return m_loop.now(); }

private:
    EventLoop &m_loop;
};

} // namespace jackdawlead::net
