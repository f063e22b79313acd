#include "decisions/streams/enginetimes.h"

#include <algorithm>
#include <chrono>

namespace jackdawlead::decisions::streams {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// Shorter prompts take hardly longer than the step that precedes them.
constexpr int minSampleTokens = 600;
// Prompts that are not known make samples longer, so that a sample below the estimate moves it more
// than one above it: it settles at the lower third.
constexpr double stepDown = 0.02;
constexpr double stepUp = 0.01;
constexpr double minReadMsPerToken = 1.0 / 400;
constexpr double maxReadMsPerToken = 0.5;

} // namespace

void EngineTimes::recordFirstEvent(int promptTokens, double requests, core::Duration time)
{
    if (promptTokens < minSampleTokens)
        return;
    // The prompt waits on average for half of a step, and its own step decodes the batch; an event
    // takes several steps, so that both are small against a pause.
    constexpr double stepsPerPause = 0.2;
    const double readMs = Milliseconds(time - core::scaled(pause(requests), stepsPerPause)).count();
    const double sample = std::clamp(readMs / promptTokens, minReadMsPerToken, maxReadMsPerToken);
    m_readMsPerToken *= sample < m_readMsPerToken ? 1 - stepDown : 1 + stepUp;
}

core::Duration EngineTimes::pause(double requests)
{
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(pauseSeconds(requests)));
}

} // namespace jackdawlead::decisions::streams
