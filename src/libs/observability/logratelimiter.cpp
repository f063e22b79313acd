#include "observability/logratelimiter.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::observability {

bool LogRateLimiter::tryTake(core::TimePoint now)
{
    const std::chrono::duration<double> spent = now - m_lastAt;
    m_available = std::min(m_limits.burst, m_available + spent.count() * m_limits.linesPerSecond);
    m_lastAt = now;
    if (m_available < 1) {
        ++m_leftOut;
        return false;
    }
    m_available -= 1;
    return true;
}

std::uint64_t LogRateLimiter::takeSuppressedCount()
{
    return std::exchange(m_leftOut, 0);
}

} // namespace jackdawlead::observability
