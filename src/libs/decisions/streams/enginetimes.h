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
    static double pauseSeconds(double requests)
    {
        return core::toSeconds(referencePause) * (1 + growth * (requests - referenceRequests));
    }
    double readSecondsPerToken() const { return m_readMsPerToken / 1000; }
    /// Sets the lower median of the endpoints' time factors.
    void setTypicalFactor(double factor) { m_typicalFactor = factor; }
    /// The time factor of endpoints of which nothing is known.
    double typicalFactor() const { return m_typicalFactor; }

    static constexpr double referenceRequests = 16;
    static constexpr core::Duration referencePause = std::chrono::milliseconds(50);

private:
    /// Growth of the pause per request, as a part of the reference pause. The time factors follow
    /// the batches at hand, so that an error here matters only for changes of a batch.
    static constexpr double growth = 0.016;

    double m_typicalFactor = 1;
    double m_readMsPerToken = 1.7 / 29.4; ///< Cautious until there are samples.
};

} // namespace jackdawlead::decisions::streams
