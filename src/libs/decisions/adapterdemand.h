#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "fleet/adapterkey.h"

#include <map>
#include <unordered_map>

namespace jackdawlead::decisions {

/// Requests per second for each adapter and region, with older ones weighing less.
/// Thread safety: one thread at a time.
class AdapterDemand
{
public:
    /// Popularity shifts within a few seconds; half of this time would forget rare adapters
    /// between two of their requests.
    static constexpr core::Duration timeConstant = std::chrono::seconds(4);
    /// A jump of demand shows in this time; used only to decide on further copies.
    static constexpr core::Duration shortTimeConstant = std::chrono::seconds(1);

    struct DecayedCount
    {
        double weight = 0;
        double shortWeight = 0;
        core::TimePoint at;
        core::TimePoint firstRequestAt; ///< Since then it was asked for without being forgotten.
    };

    void add(const fleet::AdapterKey &key, const core::RegionId &region, double count,
             core::TimePoint now);
    double rate(const fleet::AdapterKey &key, const core::RegionId &region,
                core::TimePoint now) const;
    double totalRate(const fleet::AdapterKey &key, core::TimePoint now) const;
    /// What is remembered of one adapter in one region; nullptr if nothing is.
    const DecayedCount *find(const fleet::AdapterKey &key, const core::RegionId &region) const;
    /// Forgets adapters that were not asked for lately.
    void prune(core::TimePoint now);

    using ByRegion = std::map<core::RegionId, DecayedCount>;
    const std::unordered_map<fleet::AdapterKey, ByRegion> &adapters() const { return m_adapters; }
    static double rateOf(const DecayedCount &decayed, core::TimePoint now);
    /// The higher one of the rates over the long and the short memory.
    static double peakRateOf(const DecayedCount &decayed, core::TimePoint now);

private:
    std::unordered_map<fleet::AdapterKey, ByRegion> m_adapters;
};

} // namespace jackdawlead::decisions
