#include "decisions/quota/quotademand.h"

#include <algorithm>
#include <cmath>

namespace jackdawlead::decisions::quota {

namespace {

// The shorter time follows a jump within a second, the longer one sees a daemon's rare requests.
constexpr core::Duration fastTime = std::chrono::milliseconds(1000);
constexpr core::Duration slowTime = std::chrono::seconds(8);
// Costs vary by about their mean, so that the variance of a sum is twice that of equal costs.
constexpr double costVariance = 2;
// A request with a lower probability than this within the horizon asks when it arrives.
constexpr double minProbability = 0.1;
// Most requests cost less than this multiple of the mean.
constexpr double requestMargin = 1.5;

double decayFactor(core::TimePoint from, core::TimePoint now, core::Duration time)
{
    const core::Duration elapsed = std::max(core::Duration(0), now - from);
    return std::exp(-core::toSeconds(elapsed) / core::toSeconds(time));
}

} // namespace

void QuotaDemand::decay(core::TimePoint now)
{
    m_fast *= decayFactor(m_decayedAt, now, fastTime);
    const double slowFactor = decayFactor(m_decayedAt, now, slowTime);
    m_slow *= slowFactor;
    m_requests *= slowFactor;
    m_decayedAt = std::max(m_decayedAt, now);
}

void QuotaDemand::add(double tokens, core::TimePoint now)
{
    decay(now);
    m_fast += tokens;
    m_slow += tokens;
    m_requests += 1;
}

double QuotaDemand::perSecond(core::TimePoint now) const
{
    return m_fast * decayFactor(m_decayedAt, now, fastTime) / core::toSeconds(fastTime);
}

double QuotaDemand::need(core::Duration horizon, core::TimePoint now) const
{
    if (m_requests <= 0)
        return 0;
    const double cost = meanCost();
    const double slowRate
        = m_slow * decayFactor(m_decayedAt, now, slowTime) / core::toSeconds(slowTime);
    // Few requests in the shorter time say little of the rate, unless many were to be expected.
    const double fastRate = perSecond(now);
    const double requests = std::max(fastRate, slowRate) * core::toSeconds(fastTime) / cost;
    const double weight = requests / (requests + 1);
    const double rate = weight * fastRate + (1 - weight) * slowRate;
    const double expected = rate * core::toSeconds(horizon);
    if (expected < minProbability * cost)
        return 0;
    return std::max(requestMargin * cost, expected + std::sqrt(costVariance * expected * cost));
}

} // namespace jackdawlead::decisions::quota
