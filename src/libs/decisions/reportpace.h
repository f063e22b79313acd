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
    enum class Kind {
        Regular, ///< Answered with a view of what changed.
        Demand,  ///< Tells of requests that began to wait, and is answered without a view.
    };

    /// Reading and answering a report took the coordinator this long.
    void recordReportDuration(Kind kind, core::Duration time);
    /// How often each of `daemons` daemons reports regularly.
    core::Duration period(int daemons) const;
    /// The least time between two reports of demand of one of `daemons` daemons.
    core::Duration demandPause(int daemons) const;

    /// The parts of the coordinator's time that reports may take; planning may take a fifth.
    static constexpr double maxRegularShare = 0.35;
    static constexpr double maxDemandShare = 0.15;
    /// The load of endpoints is useful for some hundred milliseconds.
    static constexpr core::Duration minPeriod = std::chrono::milliseconds(250);
    /// A daemon of which three reports are missing counts as gone.
    static constexpr core::Duration maxPeriod = std::chrono::milliseconds(750);

private:
    using Seconds = std::chrono::duration<double>;

    Seconds m_regular {0.0002}; ///< Time of one report; a first guess, learned.
    Seconds m_demand {0.0001};  ///< The same.
};

} // namespace jackdawlead::decisions
