#include "observability/eventloopprofiler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jackdawlead::observability {

EventLoopProfiler::Scope::Scope(EventLoopProfiler &profiler, std::string_view kind)
    : m_profiler(profiler)
    , m_kind(kind)
    , m_startedAt(profiler.m_clock())
{ }

EventLoopProfiler::Scope::~Scope()
{
    WorkTotals &totals = m_profiler.m_totals[m_kind];
    ++totals.count;
    totals.time += m_profiler.m_clock() - m_startedAt;
}

EventLoopProfiler::EventLoopProfiler(Clock clock)
    : m_clock(std::move(clock))
{ }

void EventLoopProfiler::recordTimerDelay(core::TimePoint dueAt)
{
    m_longestTimerDelay = std::max(m_longestTimerDelay, m_clock() - dueAt);
}

std::string EventLoopProfiler::takeSummary()
{
    if (m_totals.empty())
        return {};
    std::string text
        = absl::StrCat("longest delay of a timer ",
                       core::toMilliseconds(std::exchange(m_longestTimerDelay, {})), " ms");
    for (const auto &[kind, totals] : m_totals) {
        absl::StrAppend(&text, ", ", std::string(kind), " ", totals.count);
        if (totals.time > core::Duration::zero())
            absl::StrAppend(&text, " in ", core::toMilliseconds(totals.time), " ms");
    }
    m_totals.clear();
    return text;
}

} // namespace jackdawlead::observability
