#pragma once

#include "core/time.h"

namespace jackdawlead::decisions {

/// Predicts how long a load takes from its order to its end, the wait for a grant included, from
/// the loads of one endpoint. Thread safety: one thread at a time.
class LoadWaitEstimator
{
public:
    /// Records that a load took this long.
    void addSample(core::Duration wait, core::TimePoint now);
    /// Replaces the prediction.
    void setEstimate(core::Duration wait, core::TimePoint now);
    /// The prediction. It halves for every 2 s without a measurement, so that an endpoint that
    /// refuses everything tries again.
    core::Duration estimate(core::TimePoint now) const;

private:
    core::Duration m_mean {};
    core::TimePoint m_measuredAt;
};

} // namespace jackdawlead::decisions
