#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>

namespace jackdawlead::decisions {

/// Learns from answers what a request costs an endpoint of models: how fast prompts are read, how
/// many tokens they have, and how long a stream runs after its first event. The deployments'
/// engines differ by a factor of two and more, and none of this is stated. Thread safety: one
/// thread at a time.
class RequestCostEstimator
{
public:
    /// A prompt was sent. `isAlone`: the endpoint had nothing else to do, as far as is known, so
    /// that the time to the first event is that of reading the prompt.
    void recordFirstEvent(int promptTokens, core::Duration afterSend, bool isAlone);
    /// A stream ended whole, this long after its first event.
    void recordStreamDuration(core::Duration afterFirstEvent);

    /// Prompt tokens that an endpoint reads a second.
    double tokensPerSecond() const { return m_tokensPerSecond; }
    /// The part of an endpoint with this many slots that one request a second takes.
    double endpointSecondsPerRequest(int slots) const;

private:
    static constexpr std::size_t sampleCount = 32;

    void updateSpeed();

    std::array<double, sampleCount> m_speeds {}; ///< The last ones, in a ring.
    std::size_t m_speedsSeen = 0;
    /// The prompt speed of the first deployments, until enough was seen.
    double m_tokensPerSecond = 38'400;
    double m_promptTokens = 1000;
    core::Duration m_streamTime = std::chrono::milliseconds(1800);
};

} // namespace jackdawlead::decisions
