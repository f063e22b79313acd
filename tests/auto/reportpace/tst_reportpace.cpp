#include "decisions/reportpace.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using Kind = ReportPace::Kind;

ReportPace paceOf(Kind kind, core::Duration timeOfReport)
{
    ReportPace pace;
    for (int number = 0; number < 1000; ++number)
        pace.recordReportDuration(kind, timeOfReport);
    return pace;
}

/// The part of a coordinator's time that takes `time` for each of `daemons` daemons once in
/// `pause`.
double partOf(core::Duration time, int daemons, core::Duration pause)
{
    return core::toSeconds(time) * daemons / core::toSeconds(pause);
}

} // namespace

// Guards against reports taking all of the coordinator's time: those of 195 daemons took 700 ms of
// each second, so that orders were answered after their timeout and sent again.
Test(reportpace, reportsTakeABoundedPartOfTheTime)
{
    constexpr double tolerance = 1.02; // The average has not wholly reached the time.
    for (const int daemons : {7, 36, 85, 195, 360}) {
        for (const core::Duration time :
             {microseconds(100), microseconds(300), microseconds(700)}) {
            const core::Duration period = paceOf(Kind::Regular, time).period(daemons);
            if (period < ReportPace::maxPeriod)
                cr_assert_leq(partOf(time, daemons, period),
                              ReportPace::maxRegularShare * tolerance, "%d daemons", daemons);
            const core::Duration pause = paceOf(Kind::Demand, time).demandPause(daemons);
            if (pause < ReportPace::maxPeriod)
                cr_assert_leq(partOf(time, daemons, pause), ReportPace::maxDemandShare * tolerance,
                              "%d daemons", daemons);
        }
    }
}

// Guards against the period being cut to whole seconds, which made it the shortest one for every
// number of daemons under 300.
Test(reportpace, periodGrowsWithDaemonsAndCost)
{
    const ReportPace pace = paceOf(Kind::Regular, microseconds(1400));
    cr_assert_eq(pace.period(7), ReportPace::minPeriod);
    cr_assert_gt(pace.period(85), ReportPace::minPeriod);
    cr_assert_gt(pace.period(160), pace.period(85));
    cr_assert_eq(pace.period(1000), ReportPace::maxPeriod);
}

// Guards against small deployments being slowed down: their reports of new demand go at once.
Test(reportpace, fewDaemonsReportDemandAtOnce)
{
    cr_assert_lt(paceOf(Kind::Demand, microseconds(200)).demandPause(7), milliseconds(10));
}

// Guards against views, which grow with what changes, delaying the reports of waiting requests.
Test(reportpace, viewsDoNotDelayReportsOfDemand)
{
    const ReportPace pace = paceOf(Kind::Regular, microseconds(2000));
    cr_assert_lt(pace.demandPause(195), milliseconds(200));
}
