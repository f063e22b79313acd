#pragma once

#include "core/time.h"

namespace jackdawlead::decisions {

struct EndpointHealthLimits
{
    /// An endpoint that failed once is passed over this long; it doubles with each failure in a
    /// row.
    core::Duration firstPause = std::chrono::milliseconds(500);
    core::Duration longestPause = std::chrono::seconds(4);
    /// The share of failures, over about ten answers, above which an endpoint is passed over.
    double failureShare = 0.3;
    int breaksOfUnreachable = 2; ///< One may be a connection that was closed while idle.
    double smoothing = 0.1;      ///< Weight of the newest answer in the share.
};

/// What one daemon believes about an endpoint from its answers. Thread safety: one thread at a
/// time.
class EndpointHealth
{
public:
    explicit EndpointHealth(EndpointHealthLimits limits = {})
        : m_limits(limits)
    { }

    void succeeded();
    /// The endpoint answered with a failure of its own.
    void answeredFailure(core::TimePoint now);
    /// The endpoint could not be reached or broke the connection.
    void broke(core::TimePoint now);
    bool isPassedOver(core::TimePoint now) const { return now < m_passedOverUntil; }
    /// Whether it broke several connections in a row, without an answer in between.
    bool isUnreachable(core::TimePoint now) const
    {
        return isPassedOver(now) && m_breaksInRow >= m_limits.breaksOfUnreachable;
    }

private:
    void pause(core::TimePoint now);

    EndpointHealthLimits m_limits;
    double m_failureShare = 0;
    int m_failuresInRow = 0;
    int m_breaksInRow = 0;
    core::TimePoint m_passedOverUntil;
};

} // namespace jackdawlead::decisions
