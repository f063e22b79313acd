#include "decisions/reportpace.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

ReportPace paceOf(core::Duration timeOfReport)
{
    ReportPace pace;
    for (int number = 0; number < 1000; ++number)
        pace.reportTook(timeOfReport);
    return pace;
}

/// The part of a coordinator's time that the reports of all daemons take if each sends as often as
/// it may.
double mostPart(const ReportPace &pace, int daemons, core::Duration timeOfReport)
{
    return core::toSeconds(timeOfReport) * daemons / core::toSeconds(pace.leastPause(daemons));
}

} // namespace

// Guards against reports taking all of the coordinator's time: those of 195 daemons took 700 ms of
// each second, so that orders were answered after their timeout and sent again.
Test(reportpace, reportsTakeABoundedPartOfTheTime)
{
    for (const int daemons : {7, 36, 85, 195, 360}) {
        for (const core::Duration time :
             {microseconds(100), microseconds(300), microseconds(700)}) {
            const ReportPace pace = paceOf(time);
            if (pace.leastPause(daemons) < ReportPace::longestPeriod)
                cr_assert_leq(mostPart(pace, daemons, time), ReportPace::reportsPart * 1.02,
                              "%d daemons", daemons);
        }
    }
}

// Guards against the period being cut to whole seconds, which made it the shortest one for every
// number of daemons under 300.
Test(reportpace, periodGrowsWithDaemonsAndCost)
{
    const ReportPace pace = paceOf(microseconds(700));
    const auto periodOf
        = [&pace](int daemons) { return ReportPace::period(pace.leastPause(daemons)); };
    cr_assert_eq(periodOf(7), ReportPace::shortestPeriod);
    cr_assert_gt(periodOf(85), ReportPace::shortestPeriod);
    cr_assert_gt(periodOf(195), periodOf(85));
    cr_assert_eq(periodOf(1000), ReportPace::longestPeriod);
}

// Guards against small deployments being slowed down: their reports of new demand go at once.
Test(reportpace, fewDaemonsReportDemandAtOnce)
{
    cr_assert_lt(paceOf(microseconds(300)).leastPause(7), milliseconds(10));
}
