#include "gateway/streamtimes.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jackdawlead::gateway {

namespace {

long long milliseconds(core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

void StreamTimes::recordEvents(core::TimePoint now)
{
    if (!hasEvents())
        m_firstAt = now;
    else
        m_longestGap = std::max(m_longestGap, now - m_lastAt);
    m_lastAt = now;
}

bool StreamTimes::isLate(const fleet::Route &route, core::TimePoint receivedAt) const
{
    const bool isGapLate
        = route.targetGap > core::Duration::zero() && m_longestGap > route.targetGap;
    return isGapLate || m_firstAt - receivedAt > route.targetLatency;
}

std::string StreamTimes::describe(core::TimePoint receivedAt, core::TimePoint sentAt) const
{
    return absl::StrCat("first event after ", milliseconds(m_firstAt - receivedAt),
                        " ms, sent after ", milliseconds(sentAt - receivedAt),
                        " ms, longest pause ", milliseconds(m_longestGap), " ms");
}

} // namespace jackdawlead::gateway
