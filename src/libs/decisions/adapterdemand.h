#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "fleet/adapterkey.h"

#include <map>
#include <unordered_map>

namespace jackdawlead::decisions {

/// Request rate of each adapter in each region, from exponentially decayed counts. Thread safety:
/// one thread at a time.
class AdapterDemand
{
public:
    /// Popularity shifts within a few seconds, but with half of this time constant the count of a
    /// rare adapter would decay to nothing between two of its requests.
    static constexpr core::Duration timeConstant = std::chrono::seconds(4);
    /// Shows a jump of demand within this time; used only to decide on further copies.
    static constexpr core::Duration shortTimeConstant = std::chrono::seconds(1);

    struct DecayedCount
    {
        double weight = 0;
        double shortWeight = 0;
        core::TimePoint at;
        core::TimePoint firstRequestAt; ///< First request since the entry was created.
    };

    void add(const fleet::AdapterKey &key, const core::RegionId &region, double count,
             core::TimePoint now);
    double rate(const fleet::AdapterKey &key, const core::RegionId &region,
                core::TimePoint now) const;
    double totalRate(const fleet::AdapterKey &key, core::TimePoint now) const;
    /// The counts of one adapter in one region; nullptr if there are none.
    const DecayedCount *find(const fleet::AdapterKey &key, const core::RegionId &region) const;
    /// Removes adapters whose rate has decayed to almost zero in every region.
    void prune(core::TimePoint now);

    using ByRegion = std::map<core::RegionId, DecayedCount>;
    const std::unordered_map<fleet::AdapterKey, ByRegion> &adapters() const { return m_adapters; }
    static double rateOf(const DecayedCount &decayed, core::TimePoint now);
    /// The higher of the rates over the long and the short time constant.
    static double peakRateOf(const DecayedCount &decayed, core::TimePoint now);

private:
    std::unordered_map<fleet::AdapterKey, ByRegion> m_adapters;
};

} // namespace jackdawlead::decisions
