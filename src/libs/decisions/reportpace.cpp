#include "decisions/reportpace.h"

#include <algorithm>

namespace jackdawlead::decisions {

namespace {

// Some hundred reports arrive each second, so that the average follows a change within a second.
constexpr double sampleWeight = 0.01;

core::Duration intervalFor(std::chrono::duration<double> duration, int daemons, double maxShare)
{
    return std::chrono::duration_cast<core::Duration>(duration * daemons / maxShare);
}

} // namespace

void ReportPace::recordReportDuration(Kind kind, core::Duration duration)
{
    Seconds &average = kind == Kind::Regular ? m_regularDuration : m_demandDuration;
    average += (duration - average) * sampleWeight;
}

core::Duration ReportPace::period(int daemons) const
{
    return std::clamp(intervalFor(m_regularDuration, daemons, maxRegularShare), minPeriod,
                      maxPeriod);
}

core::Duration ReportPace::demandPause(int daemons) const
{
    return std::min(intervalFor(m_demandDuration, daemons, maxDemandShare), maxPeriod);
}

} // namespace jackdawlead::decisions
