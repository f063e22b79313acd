#include "decisions/endpointhealth.h"

#include <algorithm>

namespace jackdawlead::decisions {

void EndpointHealth::recordSuccess()
{
    m_consecutiveEjections = 0;
    m_consecutiveConnectionFailures = 0;
    m_failureRate *= 1.0 - m_limits.smoothing;
}

void EndpointHealth::recordErrorResponse(core::TimePoint now)
{
    m_consecutiveConnectionFailures = 0;
    m_failureRate += m_limits.smoothing * (1.0 - m_failureRate);
    if (m_failureRate < m_limits.failureRateThreshold)
        return;
    eject(now);
    // After the ejection, one more failure exceeds the threshold again.
    m_failureRate = m_limits.failureRateThreshold * 0.9;
}

void EndpointHealth::recordConnectionFailure(core::TimePoint now)
{
    ++m_consecutiveConnectionFailures;
    m_failureRate += m_limits.smoothing * (1.0 - m_failureRate);
    eject(now);
}

void EndpointHealth::eject(core::TimePoint now)
{
    constexpr int maxDoublings = 8; // Yields far more than maxEjectionTime.
    const auto ejectionTime
        = m_limits.baseEjectionTime * (1 << std::min(m_consecutiveEjections, maxDoublings));
    m_ejectedUntil = now + std::min<core::Duration>(ejectionTime, m_limits.maxEjectionTime);
    ++m_consecutiveEjections;
}

} // namespace jackdawlead::decisions
