#pragma once

#include "core/time.h"

namespace jackdawlead::decisions::streams {

/// How the times of the engines of a deployment depend on the batch and on the prompts: the pause
/// between two events grows with the requests in the batch, and each prompt token that is read
/// meanwhile adds to it. Times are those of an endpoint with time factor 1, whose pause in a batch
/// of `referenceRequests` is `referencePause`; so the time factors of all daemons have the same
/// scale. Thread safety: one thread at a time.
class EngineTimes
{
public:
    /// Records the time to a first event, divided by the endpoint's time factor, of a prompt that
    /// found no other known one in a batch of `requests`.
    void recordFirstEvent(int promptTokens, double requests, core::Duration time);

    /// The pause between two events in a batch of `requests`.
    static core::Duration pause(double requests);
    core::Duration readTime(double promptTokens) const;

    static constexpr double referenceRequests = 16;
    static constexpr core::Duration referencePause = std::chrono::milliseconds(50);

private:
    double m_readMsPerToken = 1.7 / 29.4; ///< Cautious until there are samples.
};

} // namespace jackdawlead::decisions::streams
