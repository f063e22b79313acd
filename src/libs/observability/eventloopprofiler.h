#pragma once

#include "core/time.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace jackdawlead::observability {

/// Adds up what the event loop spends its time on, by kind of work, and how late its timers run.
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

    /// Measures from its construction to its destruction. Precondition: the meter outlives it.
    class Scope
    {
    public:
        Scope(EventLoopProfiler &meter, std::string_view kind);
        ~Scope();
        Scope(const Scope &) = delete;
        Scope &operator=(const Scope &) = delete;

    private:
        EventLoopProfiler &m_meter;
        std::string_view m_kind;
        core::TimePoint m_beganAt;
    };

    explicit EventLoopProfiler(Clock clock);

    /// Something of this kind happened whose time is not measured. Precondition: `kind` is a
    /// literal.
    void count(std::string_view kind, int times = 1) { m_works[kind].count += times; }
    /// A timer that was due at `dueAt` runs now.
    void recordTimerDelay(core::TimePoint dueAt);
    /// The longest delay of a timer since the last call of takeSummary().
    core::Duration longestTimerDelay() const { return m_longestLag; }
    const std::map<std::string_view, WorkTotals> &works() const { return m_works; }
    /// What was added up since the last call, for the log; empty if nothing was.
    std::string takeSummary();

private:
    Clock m_clock;
    std::map<std::string_view, WorkTotals> m_works;
    core::Duration m_longestLag {};
};

} // namespace jackdawlead::observability
