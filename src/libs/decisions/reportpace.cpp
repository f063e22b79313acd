#include "decisions/reportpace.h"

#include <algorithm>

namespace jackdawlead::decisions {

namespace {

// Some hundred reports come in a second, so that the average follows within one.
constexpr double weightOfOne = 0.01;

} // namespace

void ReportPace::reportTook(core::Duration time)
{
    m_time += (time - m_time) * weightOfOne;
}

core::Duration ReportPace::leastPause(int daemons) const
{
    const auto pause = std::chrono::duration_cast<core::Duration>(m_time * daemons / reportsPart);
    return std::min(pause, longestPeriod);
}

core::Duration ReportPace::period(core::Duration leastPause)
{
    return std::clamp(leastPause * 2, shortestPeriod, longestPeriod);
}

} // namespace jackdawlead::decisions
