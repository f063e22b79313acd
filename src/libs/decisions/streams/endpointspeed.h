#pragma once

#include "core/time.h"
#include "decisions/streams/enginetimes.h"

#include <array>
#include <cstddef>
#include <optional>

namespace jackdawlead::decisions::streams {

/// Estimates how many times as long as EngineTimes states one endpoint takes, from the pauses of
/// the streams that this daemon forwards and from what the other daemons report. Prompts and slow
/// links lengthen single pauses, so that the estimate lies in the lower part of the recent ones.
/// Thread safety: one thread at a time.
class EndpointSpeed
{
public:
    /// Records a pause between two events of a stream in a batch of `requests`. Pauses in which
    /// this daemon did not read the stream must not be recorded.
    void recordPause(double requests, core::Duration pause, core::TimePoint now);
    /// Sets the pause in a batch of EngineTimes::referenceRequests that all daemons report.
    void setReported(core::Duration referencePause, core::TimePoint now);

    /// `unknown` if there is neither a sample nor a report.
    double timeFactor(core::TimePoint now, double unknown) const;
    /// The own estimate as pause in a batch of EngineTimes::referenceRequests, to be reported;
    /// empty without a sample since `since`.
    std::optional<core::Duration> ownReferencePause(core::TimePoint since) const;

private:
    static constexpr std::size_t sampleCount = 12;

    void updateFactor();

    std::array<double, sampleCount>
        m_samples {}; ///< Ring buffer of pauses in terms of EngineTimes.
    std::size_t m_recorded = 0;
    int m_longPauses = 0; ///< Latest ones in a row that are far above the estimate.
    double m_ownFactor = 1;
    double m_reportedFactor = 1;
    core::TimePoint m_sampledAt;
    core::TimePoint m_reportedAt;
};

} // namespace jackdawlead::decisions::streams
