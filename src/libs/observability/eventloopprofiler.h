#pragma once

#include "core/time.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace jackdawlead::observability {

/// Records the time that the event loop spends on each kind of work, and the delay of its timers.
/// Thread safety: one thread at a time.
class EventLoopProfiler
{
public:
    using Clock = std::function<core::TimePoint()>;

    struct WorkTotals
    {
        int count = 0;
        core::Duration time {};
    };

    /// Measures the time from its construction to its destruction. Precondition: the profiler
    /// outlives it.
    class Scope
    {
    public:
        Scope(EventLoopProfiler &profiler, std::string_view kind);
        ~Scope();
        Scope(const Scope &) = delete;
        Scope &operator=(const Scope &) = delete;

    private:
        EventLoopProfiler &m_profiler;
        std::string_view m_kind;
        core::TimePoint m_startedAt;
    };

    explicit EventLoopProfiler(Clock clock);

    /// Counts work of this kind without measuring its time. Precondition: `kind` is a literal.
    void count(std::string_view kind, int times = 1) { m_totals[kind].count += times; }
    /// Records the delay of a timer that was due at `dueAt` and runs now.
    void recordTimerDelay(core::TimePoint dueAt);
    /// The maximum delay of a timer since the last call of takeSummary().
    core::Duration longestTimerDelay() const { return m_longestTimerDelay; }
    const std::map<std::string_view, WorkTotals> &works() const { return m_totals; }
    /// Returns the totals since the last call as text for the log, and resets them; empty if no
    /// work was recorded.
    std::string takeSummary();

private:
    Clock m_clock;
    std::map<std::string_view, WorkTotals> m_totals;
    core::Duration m_longestTimerDelay {};
};

} // namespace jackdawlead::observability
