#include "observability/eventloopprofiler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jackdawlead::observability {

namespace {

long long inMilliseconds(core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

EventLoopProfiler::Scope::Scope(EventLoopProfiler &meter, std::string_view kind)
    : m_meter(meter)
    , m_kind(kind)
    , m_beganAt(meter.m_clock())
{ }

EventLoopProfiler::Scope::~Scope()
{
    WorkTotals &work = m_meter.m_works[m_kind];
    ++work.count;
    work.time += m_meter.m_clock() - m_beganAt;
}

EventLoopProfiler::EventLoopProfiler(Clock clock)
    : m_clock(std::move(clock))
{ }

void EventLoopProfiler::recordTimerDelay(core::TimePoint dueAt)
{
    m_longestLag = std::max(m_longestLag, m_clock() - dueAt);
}

std::string EventLoopProfiler::takeSummary()
{
    if (m_works.empty())
        return {};
    std::string text = absl::StrCat("longest delay of a timer ",
                                    inMilliseconds(std::exchange(m_longestLag, {})), " ms");
    for (const auto &[kind, work] : m_works) {
        absl::StrAppend(&text, ", ", std::string(kind), " ", work.count);
        if (work.time > core::Duration::zero())
            absl::StrAppend(&text, " in ", inMilliseconds(work.time), " ms");
    }
    m_works.clear();
    return text;
}

} // namespace jackdawlead::observability
