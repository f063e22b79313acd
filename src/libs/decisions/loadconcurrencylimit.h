#pragma once

#include "core/time.h"

namespace jackdawlead::decisions {

/// Adapts the maximum number of concurrent adapter loads to the store. The load time is constant up
/// to a number of concurrent loads that the store does not publish, and grows in proportion beyond
/// it. The limit therefore grows while loads that start at the limit end in time, and shrinks when
/// loads are late. Thread safety: one thread at a time.
class LoadConcurrencyLimit
{
public:
    /// Sets the configured rate at which the store delivers whole models. The first positive rate
    /// determines the initial limit and its lower bound.
    void setStoreRate(double loadsPerSecond);
    /// Records the start of a load; `inFlight` is the number of loads in flight, including this
    /// one.
    void recordLoadStart(int inFlight, core::TimePoint now);
    /// Records that a load was not finished in time. To be called once for each load.
    void recordLateLoad(core::TimePoint now);
    /// Maximum number of concurrent loads.
    int value() const { return m_value; }

    /// Used until the rate of the store is known; below the number of most deployments, 16.
    static constexpr int initialValue = 14;
    /// The smallest number seen on any deployment.
    static constexpr int minValue = 8;
    /// Bounds the load on a store whose limit is never reached; 48 is the largest number seen.
    static constexpr int maxValue = 96;

private:
    void advanceWindow(core::TimePoint now);

    int m_value = initialValue;
    core::TimePoint m_windowStart;
    int m_loadsInWindow = 0;         ///< Loads started in the current window.
    int m_loadsInPreviousWindow = 0; ///< Loads started in the previous window.
    int m_lateLoadsInWindow = 0;     ///< Loads found late in the current window.
    int m_lowerBound = minValue;
    bool m_hasStoreRate = false;
    int m_loadsAtLimit = 0;
    bool m_hasDecreased = false;
    core::TimePoint m_lastDecreaseAt;
};

} // namespace jackdawlead::decisions
