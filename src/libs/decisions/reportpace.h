#pragma once

#include "core/time.h"

namespace jackdawlead::decisions {

/// How often daemons may report to the coordinator, so that all their reports together take a
/// bounded part of its time whatever their number and its processor share are. A coordinator that
/// is late with orders makes more requests wait, and these cause more reports.
/// Thread safety: one thread at a time.
class ReportPace
{
public:
    /// Reading and answering a report took the coordinator this long.
    void reportTook(core::Duration time);
    /// The least time between two reports of one of `daemons` daemons, for whatever reason.
    core::Duration leastPause(int daemons) const;
    /// How often a daemon reports without a reason of its own.
    static core::Duration period(core::Duration leastPause);

    /// The part of the coordinator's time that reports may take; planning may take a fifth.
    static constexpr double reportsPart = 0.4;
    /// The load of endpoints is useful for some hundred milliseconds.
    static constexpr core::Duration shortestPeriod = std::chrono::milliseconds(250);
    /// A daemon of which three reports are missing counts as gone.
    static constexpr core::Duration longestPeriod = std::chrono::milliseconds(750);

private:
    std::chrono::duration<double> m_time {0.0002}; ///< Of one report; a first guess, learned.
};

} // namespace jackdawlead::decisions
