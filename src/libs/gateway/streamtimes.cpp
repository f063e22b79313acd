#include "gateway/streamtimes.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jackdawlead::gateway {

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
    return absl::StrCat("first event after ", core::toMilliseconds(m_firstAt - receivedAt),
                        " ms, sent after ", core::toMilliseconds(sentAt - receivedAt),
                        " ms, longest pause ", core::toMilliseconds(m_longestGap), " ms");
}

} // namespace jackdawlead::gateway
