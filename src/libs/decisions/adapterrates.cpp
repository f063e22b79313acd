#include "decisions/adapterrates.h"

#include <cmath>

namespace jackdawlead::decisions {

namespace {

// Longer time constants keep adapters whose sessions have ended; bench/decisionbench shows the
// effect.
constexpr double slowTimeConstantSeconds = 60;
constexpr double fastTimeConstantSeconds = 10;
constexpr double slowWeight = 0.3;
// Bounds the memory of the estimates of one endpoint to well under 1 MB.
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
    rate.slow
        = rate.slow * decay(now - rate.at, slowTimeConstantSeconds) + 1 / slowTimeConstantSeconds;
    rate.fast
        = rate.fast * decay(now - rate.at, fastTimeConstantSeconds) + 1 / fastTimeConstantSeconds;
    rate.at = now;
}

double AdapterRates::value(const core::AdapterVersion &adapter, core::TimePoint now) const
{
    const auto found = m_rates.find(adapter);
    if (found == m_rates.end())
        return 0;
    const Rate &rate = found->second;
    return slowWeight * rate.slow * decay(now - rate.at, slowTimeConstantSeconds)
        + rate.fast * decay(now - rate.at, fastTimeConstantSeconds);
}

double AdapterRates::rate(const core::AdapterVersion &adapter, core::TimePoint now) const
{
    const auto found = m_rates.find(adapter);
    return found == m_rates.end()
        ? 0
        : found->second.slow * decay(now - found->second.at, slowTimeConstantSeconds);
}

void AdapterRates::prune(core::TimePoint now)
{
    // Entries without a request for three time constants carry little information.
    std::erase_if(m_rates, [now](const auto &entry) {
        return core::toSeconds(now - entry.second.at) > 3 * slowTimeConstantSeconds;
    });
    if (m_rates.size() >= maxAdapters)
        m_rates.clear();
}

} // namespace jackdawlead::decisions
