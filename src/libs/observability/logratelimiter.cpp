#include "observability/logratelimiter.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::observability {

bool LogRateLimiter::tryTake(core::TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - m_lastAt;
    m_available = std::min(m_limits.burst, m_available + elapsed.count() * m_limits.linesPerSecond);
    m_lastAt = now;
    if (m_available < 1) {
        ++m_suppressedCount;
        return false;
    }
    m_available -= 1;
    return true;
}

std::uint64_t LogRateLimiter::takeSuppressedCount()
{
    return std::exchange(m_suppressedCount, 0);
}

} // namespace jackdawlead::observability
