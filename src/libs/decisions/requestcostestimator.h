#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>

namespace jackdawlead::decisions {

/// Estimates from answers the cost of a request for an endpoint that serves models: prefill speed,
/// prompt length and the duration of a stream after its first event. The engines of the deployments
/// differ by a factor of two and more, and none of these values is configured. Thread safety: one
/// thread at a time.
class RequestCostEstimator
{
public:
    /// Records the first event of a request. `isOnlyRequest` is true if the endpoint had no other
    /// known work, so that the time to the first event is the prefill time.
    void recordFirstEvent(int promptTokens, core::Duration timeToFirstEvent, bool isOnlyRequest);
    /// Records a complete stream that ended this long after its first event.
    void recordStreamDuration(core::Duration duration);

    /// Prompt tokens that an endpoint processes per second.
    double tokensPerSecond() const { return m_tokensPerSecond; }
    /// The share of an endpoint with this many slots that one request a second takes.
    double endpointSecondsPerRequest(int slots) const;

private:
    static constexpr std::size_t sampleCount = 32;

    void updateSpeed();

    std::array<double, sampleCount> m_speedSamples {}; ///< Ring buffer of the latest samples.
    std::size_t m_speedSampleCount = 0;
    /// Initially the prefill speed of the first deployments, until there are enough samples.
    double m_tokensPerSecond = 38'400;
    double m_meanPromptTokens = 1000;
    core::Duration m_meanStreamDuration = std::chrono::milliseconds(1800);
};

} // namespace jackdawlead::decisions
