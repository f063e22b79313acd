#include "decisions/streams/enginetimes.h"

#include <algorithm>
#include <chrono>

namespace jackdawlead::decisions::streams {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr double sampleDecay = 0.999;
// Below it the slope would follow from the noise of a few samples.
constexpr double minWeight = 200;
constexpr double minVariance = 4;
constexpr double maxPauseMsPerRequest = 10;
constexpr double minPauseMs = 0.5;
// Shorter prompts take hardly longer than the step that precedes them.
constexpr int minSampleTokens = 600;
// Prompts that are not known make samples longer, so that a sample below the estimate moves it more
// than one above it: it settles at the lower third.
constexpr double stepDown = 0.02;
constexpr double stepUp = 0.01;
constexpr double minReadMsPerToken = 1.0 / 400;
constexpr double maxReadMsPerToken = 0.5;

core::Duration fromMilliseconds(double value)
{
    return std::chrono::duration_cast<core::Duration>(Milliseconds(value));
}

} // namespace

void EngineTimes::recordPause(double requests, core::Duration pause)
{
    const double y = Milliseconds(pause).count();
    for (double *sum : {&m_weight, &m_sumX, &m_sumY, &m_sumXX, &m_sumXY})
        *sum *= sampleDecay;
    m_weight += 1;
    m_sumX += requests;
    m_sumY += y;
    m_sumXX += requests * requests;
    m_sumXY += requests * y;
    if (m_weight < minWeight)
        return;
    const double meanX = m_sumX / m_weight;
    const double meanY = m_sumY / m_weight;
    const double variance = m_sumXX / m_weight - meanX * meanX;
    if (variance >= minVariance)
        m_pauseMsPerRequest = std::clamp((m_sumXY / m_weight - meanX * meanY) / variance, 0.0,
                                         maxPauseMsPerRequest);
    m_pauseMs = std::max(minPauseMs, meanY - m_pauseMsPerRequest * meanX);
}

void EngineTimes::recordFirstEvent(int promptTokens, double requests, core::Duration time)
{
    if (promptTokens < minSampleTokens)
        return;
    // The prompt waits on average for half of a step, and its own step decodes the batch; an event
    // takes several steps, so that both are small against a pause.
    constexpr double stepsPerPause = 0.2;
    const double readMs = Milliseconds(time - core::scaled(pause(requests), stepsPerPause)).count();
    const double sample
        = std::clamp(readMs / promptTokens, minReadMsPerToken, maxReadMsPerToken);
    m_readMsPerToken *= sample < m_readMsPerToken ? 1 - stepDown : 1 + stepUp;
}

core::Duration EngineTimes::pause(double requests) const
{
    return fromMilliseconds(m_pauseMs + m_pauseMsPerRequest * requests);
}

core::Duration EngineTimes::readTime(double promptTokens) const
{
    return fromMilliseconds(m_readMsPerToken * promptTokens);
}

} // namespace jackdawlead::decisions::streams
