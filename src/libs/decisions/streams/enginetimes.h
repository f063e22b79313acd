#pragma once

#include "core/time.h"

namespace jackdawlead::decisions::streams {

/// How long the engines of a deployment take, as learned from the streams of all endpoints: the
/// pause between two events grows with the requests in the batch, and each prompt token that is
/// read meanwhile adds to it. Times are those of an endpoint with time factor 1. Thread safety: one
/// thread at a time.
class EngineTimes
{
public:
    /// Records a pause without a prompt in it, divided by the endpoint's time factor.
    void recordPause(double requests, core::Duration pause);
    /// Records the time to a first event, divided by the endpoint's time factor, of a prompt that
    /// found no other known one.
    void recordFirstEvent(int promptTokens, double requests, core::Duration time);

    /// The pause between two events in a batch of `requests`.
    core::Duration pause(double requests) const;
    core::Duration readTime(double promptTokens) const;

    /// The batch for which daemons state pauses to each other, so that their own scales of the time
    /// factor don't matter.
    static constexpr double referenceRequests = 16;

private:
    double m_pauseMs = 36; ///< As of the first deployments, until there are samples.
    double m_pauseMsPerRequest = 0.8;
    double m_readMsPerToken = 1.0 / 29.4;
    // Sums of a linear regression; they decay, so that old samples lose their weight.
    double m_weight = 0;
    double m_sumX = 0;
    double m_sumY = 0;
    double m_sumXX = 0;
    double m_sumXY = 0;
};

} // namespace jackdawlead::decisions::streams
