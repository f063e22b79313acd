#include "decisions/retrybudget.h"

#include <algorithm>

namespace jackdawlead::decisions {

void RetryBudget::forget(core::TimePoint now)
{
    const core::TimePoint oldest = now - m_limits.window;
    while (!m_requests.empty() && m_requests.front() < oldest)
        m_requests.pop_front();
    while (!m_repeats.empty() && m_repeats.front() < oldest)
        m_repeats.pop_front();
}

void RetryBudget::recordRequest(core::TimePoint now)
{
    forget(now);
    m_requests.push_back(now);
}

double RetryBudget::requestRate(core::TimePoint now)
{
    // Less says little, and a burst must not count as a rate of thousands.
    constexpr core::Duration shortest = std::chrono::seconds(1);
    forget(now);
    if (m_requests.empty())
        return 0;
    return static_cast<double>(m_requests.size())
        / core::toSeconds(std::max(shortest, now - m_requests.front()));
}

bool RetryBudget::canTake(core::TimePoint now)
{
    forget(now);
    const double ownPart
        = m_limits.safetyFactor * m_limits.ratio * static_cast<double>(m_requests.size());
    const double slack
        = m_sharers > 0 ? m_limits.safetyFactor * m_limits.slack / m_sharers : initialSlack;
    const double granted = ownPart + slack;
    return static_cast<double>(m_repeats.size()) + 1.0 <= granted;
}

bool RetryBudget::tryTake(core::TimePoint now)
{
    if (!canTake(now))
        return false;
    m_repeats.push_back(now);
    return true;
}

} // namespace jackdawlead::decisions
