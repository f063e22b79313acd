#pragma once

#include "core/time.h"

namespace jackdawlead::decisions {

/// Learns how many adapters may be on their way from the store at once. The store brings each in
/// the same time up to a number that it does not state, and in proportion longer beyond it, so
/// the limit grows while loads that began at the limit end in time, and shrinks when one is late.
/// Thread safety: one thread at a time.
class TransitLimit
{
public:
    /// A load began while `inTransit` loads were on their way, itself included.
    void loadBegan(int inTransit, core::TimePoint now);
    /// A load was not finished when it should have been.
    void loadWasLate(core::TimePoint now);
    /// Loads that may be on their way at once.
    int value() const { return m_value; }

    /// Below the smallest number seen, 16; the small deployments are served well with it.
    static constexpr int initialValue = 14;
    static constexpr int leastValue = 8;
    /// Bounds what a store that never shows its limit is asked for; 48 is the largest number seen.
    static constexpr int mostValue = 96;

private:
    int m_value = initialValue;
    int m_loadsAtLimit = 0;
    bool m_hasBeenLate = false;
    core::TimePoint m_lastDecrease;
};

} // namespace jackdawlead::decisions
