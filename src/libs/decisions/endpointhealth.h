#pragma once

#include "core/time.h"

namespace jackdawlead::decisions {

struct EndpointHealthLimits
{
    /// Time of the first ejection; doubles with each consecutive one.
    core::Duration baseEjectionTime = std::chrono::milliseconds(500);
    core::Duration maxEjectionTime = std::chrono::seconds(4);
    /// Failure rate, over about ten responses, from which an endpoint is ejected.
    double failureRateThreshold = 0.3;
    int unreachableThreshold = 2; ///< One failure may be a connection that was closed while idle.
    double smoothing = 0.1;       ///< Weight of the newest response in the failure rate.
};

/// Outlier detection of one daemon for one endpoint, from responses and connection failures.
/// Thread safety: one thread at a time.
class EndpointHealth
{
public:
    explicit EndpointHealth(EndpointHealthLimits limits = {})
        : m_limits(limits)
    { }

    void recordSuccess();
    /// The endpoint responded with an error of its own.
    void recordErrorResponse(core::TimePoint now);
    /// The endpoint could not be reached, or the connection to it failed.
    void recordConnectionFailure(core::TimePoint now);
    /// Forgets all failures, because they were not the endpoint's.
    void reset() { *this = EndpointHealth(m_limits); }
    bool isEjected(core::TimePoint now) const { return now < m_ejectedUntil; }
    /// Whether several consecutive connections failed without a response in between.
    bool isUnreachable(core::TimePoint now) const
    {
        return isEjected(now) && m_consecutiveConnectionFailures >= m_limits.unreachableThreshold;
    }

private:
    void eject(core::TimePoint now);

    EndpointHealthLimits m_limits;
    double m_failureRate = 0;
    int m_consecutiveEjections = 0;
    int m_consecutiveConnectionFailures = 0;
    core::TimePoint m_ejectedUntil;
};

} // namespace jackdawlead::decisions
