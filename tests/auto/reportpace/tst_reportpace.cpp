#include "decisions/reportpace.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using Kind = ReportPace::Kind;

ReportPace paceOf(Kind kind, core::Duration reportDuration)
{
    ReportPace pace;
    for (int number = 0; number < 1000; ++number)
        pace.recordReportDuration(kind, reportDuration);
    return pace;
}

/// The share of the time of a coordinator for reports that take `time` for each of `daemons`
/// daemons, once per `interval`.
double shareOf(core::Duration time, int daemons, core::Duration interval)
{
    return core::toSeconds(time) * daemons / core::toSeconds(interval);
}

} // namespace

// Guards against reports that use all of the time of the coordinator: reports of 195 daemons used
// 700 ms of each second, so that orders were answered after their timeout and sent again.
Test(reportpace, reportsUseBoundedShareOfTime)
{
    constexpr double tolerance = 1.02; // The average has not fully converged.
    for (const int daemons : {7, 36, 85, 195, 360}) {
        for (const core::Duration time :
             {microseconds(100), microseconds(300), microseconds(700)}) {
            const core::Duration period = paceOf(Kind::Regular, time).period(daemons);
            if (period < ReportPace::maxPeriod)
                cr_assert_leq(shareOf(time, daemons, period),
                              ReportPace::maxRegularShare * tolerance, "%d daemons", daemons);
            const core::Duration interval = paceOf(Kind::Demand, time).demandPause(daemons);
            if (interval < ReportPace::maxPeriod)
                cr_assert_leq(shareOf(time, daemons, interval),
                              ReportPace::maxDemandShare * tolerance, "%d daemons", daemons);
        }
    }
}

// Guards against a period that is truncated to whole seconds, which made it the minimum for every
// number of daemons below 300.
Test(reportpace, periodGrowsWithDaemonsAndCost)
{
    const ReportPace pace = paceOf(Kind::Regular, microseconds(1400));
    cr_assert_eq(pace.period(7), ReportPace::minPeriod);
    cr_assert_gt(pace.period(85), ReportPace::minPeriod);
    cr_assert_gt(pace.period(160), pace.period(85));
    cr_assert_eq(pace.period(1000), ReportPace::maxPeriod);
}

// Guards against delays in small deployments: their demand reports are sent at once.
Test(reportpace, fewDaemonsReportDemandAtOnce)
{
    cr_assert_lt(paceOf(Kind::Demand, microseconds(200)).demandPause(7), milliseconds(10));
}

// Guards against views, which grow with the number of changes, delaying the demand reports.
Test(reportpace, viewsDoNotDelayDemandReports)
{
    const ReportPace pace = paceOf(Kind::Regular, microseconds(2000));
    cr_assert_lt(pace.demandPause(195), milliseconds(200));
}
