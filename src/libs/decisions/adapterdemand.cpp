#include "decisions/adapterdemand.h"

#include <algorithm>
#include <cmath>

namespace jackdawlead::decisions {

namespace {

// An adapter falls below this rate if its only request is more than two time constants old. It then
// loses against any other adapter, and each planning pass iterates over all retained entries.
constexpr double minRetainedRate = 0.03;

double decayFactor(core::TimePoint since, core::TimePoint now, core::Duration timeConstant)
{
    const core::Duration age = std::max(core::Duration::zero(), now - since);
    return std::exp(-core::toSeconds(age) / core::toSeconds(timeConstant));
}

} // namespace

double AdapterDemand::rateOf(const DecayedCount &decayed, core::TimePoint now)
{
    return decayed.weight * decayFactor(decayed.at, now, timeConstant)
        / core::toSeconds(timeConstant);
}

double AdapterDemand::peakRateOf(const DecayedCount &decayed, core::TimePoint now)
{
    const double shortRate = decayed.shortWeight * decayFactor(decayed.at, now, shortTimeConstant)
        / core::toSeconds(shortTimeConstant);
    return std::max(rateOf(decayed, now), shortRate);
}

void AdapterDemand::add(const fleet::AdapterKey &key, const core::RegionId &region, double count,
                        core::TimePoint now)
{
    DecayedCount &decayed = m_adapters[key][region];
    decayed.weight = decayed.weight * decayFactor(decayed.at, now, timeConstant) + count;
    decayed.shortWeight
        = decayed.shortWeight * decayFactor(decayed.at, now, shortTimeConstant) + count;
    if (decayed.at == core::TimePoint())
        decayed.firstRequestAt = now;
    decayed.at = now;
}

const AdapterDemand::DecayedCount *AdapterDemand::find(const fleet::AdapterKey &key,
                                                       const core::RegionId &region) const
{
    const auto regions = m_adapters.find(key);
    if (regions == m_adapters.end())
        return nullptr;
    const auto decayed = regions->second.find(region);
    return decayed == regions->second.end() ? nullptr : &decayed->second;
}

double AdapterDemand::rate(const fleet::AdapterKey &key, const core::RegionId &region,
                           core::TimePoint now) const
{
    const DecayedCount *decayed = find(key, region);
    return decayed == nullptr ? 0 : rateOf(*decayed, now);
}

double AdapterDemand::totalRate(const fleet::AdapterKey &key, core::TimePoint now) const
{
    const auto regions = m_adapters.find(key);
    if (regions == m_adapters.end())
        return 0;
    double total = 0;
    for (const auto &[region, decayed] : regions->second)
        total += rateOf(decayed, now);
    return total;
}

void AdapterDemand::prune(core::TimePoint now)
{
    std::erase_if(m_adapters, [now](const auto &entry) {
        return std::ranges::all_of(entry.second, [now](const auto &region) {
            return rateOf(region.second, now) < minRetainedRate;
        });
    });
}

} // namespace jackdawlead::decisions
