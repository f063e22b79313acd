#pragma once

#include "core/time.h"

namespace jackdawlead::decisions {

/// Estimates the time from the order of a load to its end, including the wait for a grant, from the
/// loads of one endpoint. Thread safety: one thread at a time.
class LoadWaitEstimator
{
public:
    /// Records the duration of a load.
    void addSample(core::Duration wait, core::TimePoint now);
    /// Replaces the estimate.
    void setEstimate(core::Duration wait, core::TimePoint now);
    /// The estimate. It halves for every 2 s without a sample, so that an endpoint that rejects
    /// every request tries again.
    core::Duration estimate(core::TimePoint now) const;

private:
    core::Duration m_estimate {};
    core::TimePoint m_updatedAt;
};

} // namespace jackdawlead::decisions
