#include "decisions/adapterrates.h"

#include <cmath>

namespace jackdawlead::decisions {

namespace {

// The constants and the weight were measured with bench/decisionbench: longer constants keep
// adapters whose session has ended.
constexpr double slowSeconds = 60;
constexpr double fastSeconds = 10;
constexpr double slowWeight = 0.3;
// Bounds the memory of one endpoint's estimates to well under 1 MB.
constexpr std::size_t maxAdapters = 4096;

double decay(core::Duration age, double timeConstantSeconds)
{
    return std::exp(-core::toSeconds(age) / timeConstantSeconds);
}

} // namespace

void AdapterRates::recordRequest(const core::AdapterVersion &adapter, core::TimePoint now)
{
    if (m_rates.size() >= maxAdapters && !m_rates.contains(adapter))
        prune(now);
    Rate &rate = m_rates[adapter];
    rate.slow = rate.slow * decay(now - rate.at, slowSeconds) + 1 / slowSeconds;
    rate.fast = rate.fast * decay(now - rate.at, fastSeconds) + 1 / fastSeconds;
    rate.at = now;
}

double AdapterRates::value(const core::AdapterVersion &adapter, core::TimePoint now) const
{
    const auto found = m_rates.find(adapter);
    if (found == m_rates.end())
        return 0;
    const Rate &rate = found->second;
    return slowWeight * rate.slow * decay(now - rate.at, slowSeconds)
        + rate.fast * decay(now - rate.at, fastSeconds);
}

double AdapterRates::rate(const core::AdapterVersion &adapter, core::TimePoint now) const
{
    const auto found = m_rates.find(adapter);
    return found == m_rates.end() ? 0
                                  : found->second.slow * decay(now - found->second.at, slowSeconds);
}

void AdapterRates::prune(core::TimePoint now)
{
    // Entries that were not requested for three time constants say little.
    std::erase_if(m_rates, [now](const auto &entry) {
        return core::toSeconds(now - entry.second.at) > 3 * slowSeconds;
    });
    if (m_rates.size() >= maxAdapters)
        m_rates.clear();
}

} // namespace jackdawlead::decisions
