#include "decisions/retrybudget.h"

#include <algorithm>

namespace jackdawlead::decisions {

void RetryBudget::removeExpired(core::TimePoint now)
{
    const core::TimePoint windowStart = now - m_limits.window;
    while (!m_requests.empty() && m_requests.front() < windowStart)
        m_requests.pop_front();
    while (!m_retries.empty() && m_retries.front() < windowStart)
        m_retries.pop_front();
}

void RetryBudget::recordRequest(core::TimePoint now)
{
    removeExpired(now);
    m_requests.push_back(now);
}

double RetryBudget::requestRate(core::TimePoint now)
{
    // Over a shorter period a single burst would count as thousands of requests per second.
    constexpr core::Duration minPeriod = std::chrono::seconds(1);
    removeExpired(now);
    if (m_requests.empty())
        return 0;
    return static_cast<double>(m_requests.size())
        / core::toSeconds(std::max(minPeriod, now - m_requests.front()));
}

bool RetryBudget::canTake(core::TimePoint now, RetryPurpose purpose)
{
    removeExpired(now);
    const double ownShare
        = m_limits.safetyFactor * m_limits.ratio * static_cast<double>(m_requests.size());
    const double slack
        = m_daemonCount > 0 ? m_limits.safetyFactor * m_limits.slack / m_daemonCount : initialSlack;
    double available = ownShare + slack;
    // A small budget still allows one.
    if (purpose == RetryPurpose::SilentSend && available >= 1.0)
        available = std::max(1.0, silentSendShare * available);
    return static_cast<double>(m_retries.size()) + 1.0 <= available;
}

bool RetryBudget::tryTake(core::TimePoint now, RetryPurpose purpose)
{
    if (!canTake(now, purpose))
        return false;
    m_retries.push_back(now);
    return true;
}

} // namespace jackdawlead::decisions
