#include "decisions/requestcostestimator.h"

#include <algorithm>

namespace jackdawlead::decisions {

namespace {

// The network round trip and the first decoding step take as long as the prefill of a shorter
// prompt on a fast engine.
constexpr int minSampleTokens = 1000;
// Unknown prompts of other daemons make samples slower, and cached prompt prefixes at the endpoint
// make them faster; the estimate lies between the median and the fastest sample.
constexpr double speedQuantile = 0.6;
constexpr std::size_t minSamples = 8;
constexpr double minTokensPerSecond = 2'000;
constexpr double maxTokensPerSecond = 400'000;
constexpr double smoothingFactor = 0.02; ///< Weight of the latest request in the means.

} // namespace

void RequestCostEstimator::recordFirstEvent(int promptTokens, core::Duration timeToFirstEvent,
                                            bool isOnlyRequest)
{
    if (promptTokens <= 0 || timeToFirstEvent <= core::Duration::zero())
        return;
    m_meanPromptTokens += smoothingFactor * (promptTokens - m_meanPromptTokens);
    if (!isOnlyRequest || promptTokens < minSampleTokens)
        return;
    m_speedSamples[m_speedSampleCount++ % sampleCount] = std::clamp(
        promptTokens / core::toSeconds(timeToFirstEvent), minTokensPerSecond, maxTokensPerSecond);
    if (m_speedSampleCount >= minSamples)
        updateSpeed();
}

void RequestCostEstimator::updateSpeed()
{
    auto speeds = m_speedSamples;
    const auto end
        = speeds.begin() + static_cast<std::ptrdiff_t>(std::min(m_speedSampleCount, sampleCount));
    const auto nth = speeds.begin()
        + static_cast<std::ptrdiff_t>(speedQuantile * static_cast<double>(end - speeds.begin()));
    std::nth_element(speeds.begin(), nth, end);
    m_tokensPerSecond = *nth;
}

void RequestCostEstimator::recordStreamDuration(core::Duration duration)
{
    m_meanStreamDuration += core::scaled(duration - m_meanStreamDuration, smoothingFactor);
}

double RequestCostEstimator::endpointSecondsPerRequest(int slots) const
{
    return core::toSeconds(m_meanStreamDuration) / std::max(1, slots)
        + m_meanPromptTokens / m_tokensPerSecond;
}

} // namespace jackdawlead::decisions
