#include "decisions/loadconcurrencylimit.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace jackdawlead::decisions {

namespace {

// Until the first late load the limit grows by a quarter in each round, so that it triples within
// six rounds of 250 ms; afterwards it grows by one.
constexpr int initialGrowthDivisor = 4;
constexpr double decreaseFactor = 0.85;
// Concurrent adapter loads at full speed per model load a second: 1.41 to 3.7 on the seven
// deployments with published numbers.
constexpr double adaptersPerModelLoad = 1.4;
// Share of the initial limit below which the limit does not shrink: late orders or late reports
// make loads appear late as well, although the store is not slower.
constexpr double lowerBoundShare = 0.6;
// Loads that start together are late together and count as one sign of overload. The limit does not
// grow either until the effect of the decrease is visible.
constexpr core::Duration decreasePeriod = std::chrono::seconds(1);
// Nearly all loads from an overloaded store are late. A few are late for other reasons: an order
// that was executed late, a version that was announced in the meantime, a busy endpoint.
constexpr double minLateShare = 0.15;

} // namespace

void LoadConcurrencyLimit::setStoreRate(double loadsPerSecond)
{
    if (m_hasStoreRate || loadsPerSecond <= 0)
        return;
    m_hasStoreRate = true;
    m_value
        = std::clamp(static_cast<int>(loadsPerSecond * adaptersPerModelLoad), minValue, maxValue);
    m_lowerBound = std::max(minValue, static_cast<int>(m_value * lowerBoundShare));
}

void LoadConcurrencyLimit::advanceWindow(core::TimePoint now)
{
    if (now - m_windowStart >= decreasePeriod) {
        m_windowStart = now;
        m_loadsInPreviousWindow = std::exchange(m_loadsInWindow, 0);
        m_lateLoadsInWindow = 0;
    }
}

void LoadConcurrencyLimit::recordLoadStart(int inFlight, core::TimePoint now)
{
    advanceWindow(now);
    ++m_loadsInWindow;
    if (inFlight < m_value || (m_hasDecreased && now - m_lastDecreaseAt < decreasePeriod))
        return;
    if (++m_loadsAtLimit < m_value)
        return;
    m_loadsAtLimit = 0;
    const int step = m_hasDecreased ? 1 : std::max(1, m_value / initialGrowthDivisor);
    m_value = std::min(maxValue, m_value + step);
}

void LoadConcurrencyLimit::recordLateLoad(core::TimePoint now)
{
    advanceWindow(now);
    ++m_lateLoadsInWindow;
    if (m_lateLoadsInWindow < minLateShare * std::max(m_loadsInWindow, m_loadsInPreviousWindow))
        return;
    m_loadsAtLimit = 0;
    if (m_hasDecreased && now - m_lastDecreaseAt < decreasePeriod)
        return;
    m_hasDecreased = true;
    m_lastDecreaseAt = now;
    m_value = std::max(m_lowerBound, static_cast<int>(m_value * decreaseFactor));
}

} // namespace jackdawlead::decisions
