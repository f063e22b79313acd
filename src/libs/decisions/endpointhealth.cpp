#include "decisions/endpointhealth.h"

#include <algorithm>

namespace jackdawlead::decisions {

void EndpointHealth::recordSuccess()
{
    m_failuresInRow = 0;
    m_breaksInRow = 0;
    m_failureShare *= 1.0 - m_limits.smoothing;
}

void EndpointHealth::recordErrorResponse(core::TimePoint now)
{
    m_breaksInRow = 0;
    m_failureShare += m_limits.smoothing * (1.0 - m_failureShare);
    if (m_failureShare < m_limits.failureRateThreshold)
        return;
    pause(now);
    // The next answers decide anew, from a share that one more failure exceeds again.
    m_failureShare = m_limits.failureRateThreshold * 0.9;
}

void EndpointHealth::recordConnectionFailure(core::TimePoint now)
{
    ++m_breaksInRow;
    m_failureShare += m_limits.smoothing * (1.0 - m_failureShare);
    pause(now);
}

void EndpointHealth::pause(core::TimePoint now)
{
    constexpr int maxDoublings = 8; // Far over the longest pause.
    const auto pause = m_limits.baseEjectionTime * (1 << std::min(m_failuresInRow, maxDoublings));
    m_passedOverUntil = now + std::min<core::Duration>(pause, m_limits.maxEjectionTime);
    ++m_failuresInRow;
}

} // namespace jackdawlead::decisions
