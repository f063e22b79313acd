#include "decisions/reportpace.h"

#include <algorithm>

namespace jackdawlead::decisions {

namespace {

// Some hundred reports come in a second, so that the average follows within one.
constexpr double weightOfOne = 0.01;

core::Duration pauseFor(std::chrono::duration<double> time, int daemons, double part)
{
    return std::chrono::duration_cast<core::Duration>(time * daemons / part);
}

} // namespace

void ReportPace::recordReportDuration(Kind kind, core::Duration time)
{
    Seconds &average = kind == Kind::Regular ? m_regular : m_demand;
    average += (time - average) * weightOfOne;
}

core::Duration ReportPace::period(int daemons) const
{
    return std::clamp(pauseFor(m_regular, daemons, maxRegularShare), minPeriod, maxPeriod);
}

core::Duration ReportPace::demandPause(int daemons) const
{
    return std::min(pauseFor(m_demand, daemons, maxDemandShare), maxPeriod);
}

} // namespace jackdawlead::decisions
