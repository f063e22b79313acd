#pragma once

#include "core/time.h"
#include "fleet/configuration.h"

#include <string>

namespace jackdawlead::gateway {

/// When the events of one stream came. Thread safety: one thread at a time.
class StreamTimes
{
public:
    void recordEvents(core::TimePoint now);
    bool hasEvents() const { return m_firstAt != core::TimePoint(); }
    core::TimePoint firstAt() const { return m_firstAt; }
    core::TimePoint lastAt() const { return m_lastAt; }
    core::Duration longestGap() const { return m_longestPause; }
    /// Whether the first event or a pause is over what the route states, for a request that came
    /// at `receivedAt`.
    bool isLate(const fleet::Route &route, core::TimePoint receivedAt) const;
    /// The times in words, for the log.
    std::string describe(core::TimePoint receivedAt, core::TimePoint sentAt) const;

private:
    core::TimePoint m_firstAt;
    core::TimePoint m_lastAt;
    core::Duration m_longestPause {};
};

} // namespace jackdawlead::gateway
