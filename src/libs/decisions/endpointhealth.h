#pragma once

#include "core/time.h"

namespace jackdawlead::decisions {

struct EndpointHealthLimits
{
    /// An endpoint that failed once is passed over this long; it doubles with each failure in a
    /// row.
    core::Duration baseEjectionTime = std::chrono::milliseconds(500);
    core::Duration maxEjectionTime = std::chrono::seconds(4);
    /// The share of failures, over about ten answers, above which an endpoint is passed over.
    double failureRateThreshold = 0.3;
    int unreachableThreshold = 2; ///< One may be a connection that was closed while idle.
    double smoothing = 0.1;       ///< Weight of the newest answer in the share.
};

/// What one daemon believes about an endpoint from its answers. Thread safety: one thread at a
/// time.
class EndpointHealth
{
public:
    explicit EndpointHealth(EndpointHealthLimits limits = {})
        : m_limits(limits)
    { }

    void recordSuccess();
    /// The endpoint answered with a failure of its own.
    void recordErrorResponse(core::TimePoint now);
    /// The endpoint could not be reached or broke the connection.
    void recordConnectionFailure(core::TimePoint now);
    bool isEjected(core::TimePoint now) const { return now < m_passedOverUntil; }
    /// Whether it broke several connections in a row, without an answer in between.
    bool isUnreachable(core::TimePoint now) const
    {
        return isEjected(now) && m_breaksInRow >= m_limits.unreachableThreshold;
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
