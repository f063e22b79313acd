#include "decisions/requestcostestimator.h"

#include <algorithm>

namespace jackdawlead::decisions {

namespace {

// The way and the first step take as long as reading a shorter prompt on a fast engine.
constexpr int leastTokens = 1000;
// Samples are slowed down by other daemons' prompts that were not known of, and sped up by parts
// that the endpoint had kept; the speed is taken between the middle and the fastest.
constexpr double speedQuantile = 0.6;
constexpr std::size_t leastSamples = 8;
constexpr double slowest = 2'000;
constexpr double fastest = 400'000;
constexpr double smoothing = 0.02; ///< Weight of the newest request in the means.

} // namespace

void RequestCostEstimator::recordFirstEvent(int promptTokens, core::Duration afterSend,
                                            bool isAlone)
{
    if (promptTokens <= 0 || afterSend <= core::Duration::zero())
        return;
    m_promptTokens += smoothing * (promptTokens - m_promptTokens);
    if (!isAlone || promptTokens < leastTokens)
        return;
    m_speeds[m_speedsSeen++ % sampleCount]
        = std::clamp(promptTokens / core::toSeconds(afterSend), slowest, fastest);
    if (m_speedsSeen >= leastSamples)
        updateSpeed();
}

void RequestCostEstimator::updateSpeed()
{
    auto speeds = m_speeds;
    const auto end
        = speeds.begin() + static_cast<std::ptrdiff_t>(std::min(m_speedsSeen, sampleCount));
    const auto nth = speeds.begin()
        + static_cast<std::ptrdiff_t>(speedQuantile * static_cast<double>(end - speeds.begin()));
    std::nth_element(speeds.begin(), nth, end);
    m_tokensPerSecond = *nth;
}

void RequestCostEstimator::recordStreamDuration(core::Duration afterFirstEvent)
{
    m_streamTime += core::scaled(afterFirstEvent - m_streamTime, smoothing);
}

double RequestCostEstimator::endpointSecondsPerRequest(int slots) const
{
    return core::toSeconds(m_streamTime) / std::max(1, slots) + m_promptTokens / m_tokensPerSecond;
}

} // namespace jackdawlead::decisions
