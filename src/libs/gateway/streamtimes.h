#pragma once

#include "core/time.h"
#include "fleet/configuration.h"

#include <string>

namespace jackdawlead::gateway {

/// Records when the events of one stream arrived. Thread safety: one thread at a time.
class StreamTimes
{
public:
    void recordEvents(core::TimePoint now);
    bool hasEvents() const { return m_firstAt != core::TimePoint(); }
    core::TimePoint firstAt() const { return m_firstAt; }
    core::TimePoint lastAt() const { return m_lastAt; }
    core::Duration longestGap() const { return m_longestGap; }
    /// Whether the first event or a gap exceeded the route's target, for a request that was
    /// received at `receivedAt`.
    bool isLate(const fleet::Route &route, core::TimePoint receivedAt) const;
    /// Returns the times as text for the log.
    std::string describe(core::TimePoint receivedAt, core::TimePoint sentAt) const;

private:
    core::TimePoint m_firstAt;
    core::TimePoint m_lastAt;
    core::Duration m_longestGap {};
};

} // namespace jackdawlead::gateway
