#pragma once

#include "core/time.h"

namespace jackdawlead::decisions {

/// Limits how often daemons report to the coordinator, so that all reports together take a bounded
/// share of its time whatever the number of daemons and its CPU share are. A coordinator that sends
/// orders late makes more requests wait, and these cause more reports. Thread safety: one thread at
/// a time.
class ReportPace
{
public:
    enum class Kind {
        Regular, ///< Answered with the changes of the view.
        Demand,  ///< Reports requests that began to wait; answered without a view.
    };

    /// Records how long the coordinator took to process and answer a report.
    void recordReportDuration(Kind kind, core::Duration duration);
    /// Interval of the regular reports of each of `daemons` daemons.
    core::Duration period(int daemons) const;
    /// Minimum interval between two demand reports of one of `daemons` daemons.
    core::Duration demandPause(int daemons) const;

    /// Maximum shares of the time of the coordinator for reports; planning may take a fifth.
    static constexpr double maxRegularShare = 0.35;
    static constexpr double maxDemandShare = 0.15;
    /// The reported load of endpoints is useful for some hundred milliseconds.
    static constexpr core::Duration minPeriod = std::chrono::milliseconds(250);
    /// A daemon counts as failed when three of its reports are missing.
    static constexpr core::Duration maxPeriod = std::chrono::milliseconds(750);

private:
    using Seconds = std::chrono::duration<double>;

    Seconds m_regularDuration {0.0002}; ///< Mean duration of one regular report; initial estimate.
    Seconds m_demandDuration {0.0001};  ///< Mean duration of one demand report; initial estimate.
};

} // namespace jackdawlead::decisions
