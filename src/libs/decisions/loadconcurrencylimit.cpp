#include "decisions/loadconcurrencylimit.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace jackdawlead::decisions {

namespace {

// Until the first late load the limit grows by a quarter each round, so that it triples within
// six rounds of 250 ms; afterwards by one.
constexpr int firstGrowthDivisor = 4;
constexpr double decrease = 0.85;
// Adapters in transit at full speed for each model load a second: 1.41 to 3.7 on the seven
// deployments whose numbers are stated.
constexpr double adaptersPerModelLoad = 1.4;
// Loads also seem late when orders or reports are; the store is not slower for that.
constexpr double floorPart = 0.6;
// Loads that began together are late together and count as one sign; the limit does not grow
// either until it is known what the decrease did.
constexpr core::Duration decreasePeriod = std::chrono::seconds(1);
// A store beyond its number brings nearly all loads late. A few are late for other reasons: an
// order that is carried out later, a version that was announced meanwhile, a busy endpoint.
constexpr double lateShare = 0.15;

} // namespace

void LoadConcurrencyLimit::setStoreRate(double loadsPerSecond)
{
    if (m_hasStoreRate || loadsPerSecond <= 0)
        return;
    m_hasStoreRate = true;
    m_value
        = std::clamp(static_cast<int>(loadsPerSecond * adaptersPerModelLoad), minValue, maxValue);
    m_floor = std::max(minValue, static_cast<int>(m_value * floorPart));
}

void LoadConcurrencyLimit::advanceWindow(core::TimePoint now)
{
    if (now - m_windowBegan >= decreasePeriod) {
        m_windowBegan = now;
        m_loadsBefore = std::exchange(m_loads, 0);
        m_lateLoads = 0;
    }
}

void LoadConcurrencyLimit::recordLoadStart(int inTransit, core::TimePoint now)
{
    advanceWindow(now);
    ++m_loads;
    if (inTransit < m_value || (m_hasBeenLate && now - m_lastDecrease < decreasePeriod))
        return;
    if (++m_loadsAtLimit < m_value)
        return;
    m_loadsAtLimit = 0;
    const int step = m_hasBeenLate ? 1 : std::max(1, m_value / firstGrowthDivisor);
    m_value = std::min(maxValue, m_value + step);
}

void LoadConcurrencyLimit::recordLateLoad(core::TimePoint now)
{
    advanceWindow(now);
    ++m_lateLoads;
    if (m_lateLoads < lateShare * std::max(m_loads, m_loadsBefore))
        return;
    m_loadsAtLimit = 0;
    if (m_hasBeenLate && now - m_lastDecrease < decreasePeriod)
        return;
    m_hasBeenLate = true;
    m_lastDecrease = now;
    m_value = std::max(m_floor, static_cast<int>(m_value * decrease));
}

} // namespace jackdawlead::decisions
