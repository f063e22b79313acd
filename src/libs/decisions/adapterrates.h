#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <unordered_map>

namespace jackdawlead::decisions {

/// Estimates how often each adapter is requested, from exponentially decayed counts. It also keeps
/// the counts of adapters that are not resident, so that a returning adapter does not count as a
/// new one. Thread safety: one thread at a time.
class AdapterRates
{
public:
    /// Records one request for the adapter.
    void recordRequest(const core::AdapterVersion &adapter, core::TimePoint now);
    /// The value of keeping the adapter: its rate over seconds, which represents sessions in
    /// progress, plus a share of its rate over a minute. Unit: requests per second.
    double value(const core::AdapterVersion &adapter, core::TimePoint now) const;
    /// The rate over a minute. Unit: requests per second.
    double rate(const core::AdapterVersion &adapter, core::TimePoint now) const;

private:
    struct Rate
    {
        double slow = 0;
        double fast = 0;
        core::TimePoint at;
    };

    void prune(core::TimePoint now);

    std::unordered_map<core::AdapterVersion, Rate> m_rates;
};

} // namespace jackdawlead::decisions
