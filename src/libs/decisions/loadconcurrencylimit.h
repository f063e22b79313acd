#pragma once

#include "core/time.h"

namespace jackdawlead::decisions {

/// Learns how many adapters may be on their way from the store at once. The store brings each in
/// the same time up to a number that it does not state, and in proportion longer beyond it, so
/// the limit grows while loads that began at the limit end in time, and shrinks when one is late.
/// Thread safety: one thread at a time.
class LoadConcurrencyLimit
{
public:
    /// The rate at which the store brings whole models, as the configuration states it. The first
    /// rate that is told sets where the limit starts and how far it falls.
    void setStoreRate(double loadsPerSecond);
    /// A load began while `inTransit` loads were on their way, itself included.
    void recordLoadStart(int inTransit, core::TimePoint now);
    /// A load was not finished when it should have been. To be told once for each load.
    void recordLateLoad(core::TimePoint now);
    /// Loads that may be on their way at once.
    int value() const { return m_value; }

    /// Until the store's rate is known: below the number of most deployments, 16.
    static constexpr int initialValue = 14;
    /// The smallest number seen on any deployment.
    static constexpr int minValue = 8;
    /// Bounds what a store that never shows its limit is asked for; 48 is the largest number seen.
    static constexpr int maxValue = 96;

private:
    void advanceWindow(core::TimePoint now);

    int m_value = initialValue;
    core::TimePoint m_windowBegan;
    int m_loads = 0;       ///< That began in this window.
    int m_loadsBefore = 0; ///< The same of the window before.
    int m_lateLoads = 0;   ///< That turned out late in this window.
    int m_floor = minValue;
    bool m_hasStoreRate = false;
    int m_loadsAtLimit = 0;
    bool m_hasBeenLate = false;
    core::TimePoint m_lastDecrease;
};

} // namespace jackdawlead::decisions
