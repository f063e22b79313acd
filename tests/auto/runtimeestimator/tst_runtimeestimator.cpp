#include "decisions/runtimeestimator.h"
#include "decisions/runtimes.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::TimePoint now(seconds(100));

} // namespace

// Guards against a prediction from a few fast answers: a request is then sent that is cut off.
Test(runtimeestimator, fewSamplesPredictNothing)
{
    RunTimeEstimator estimator;
    for (int number = 0; number < 7; ++number)
        estimator.record(now, now + milliseconds(10));
    cr_assert_not(estimator.longestExpected().has_value());
    estimator.record(now, now + milliseconds(10));
    cr_assert(estimator.longestExpected().has_value());
}

// Guards against a prediction that follows the mean, which half of the requests exceed, and against
// one that a single slow request determines for ever.
Test(runtimeestimator, predictionCoversTheSlowestRecentRequest)
{
    RunTimeEstimator estimator;
    estimator.record(now, now + seconds(3));
    for (int number = 0; number < 20; ++number)
        estimator.record(now, now + milliseconds(60));
    cr_assert_geq(*estimator.longestExpected(), seconds(3));
    for (int number = 0; number < 64; ++number)
        estimator.record(now, now + milliseconds(60));
    cr_assert_lt(*estimator.longestExpected(), milliseconds(100));
}

// Guards against work that is sent although neither its limit nor its expected time ends in time,
// and against refusing work that ends in time for certain.
Test(runtimeestimator, limitAndExpectationDecideWhetherWorkCanEnd)
{
    const core::TimePoint end = now + seconds(2);
    cr_assert(canEndBy(end, now, seconds(2), std::nullopt));
    cr_assert_not(canEndBy(end, now, seconds(3), std::nullopt));
    cr_assert(canEndBy(end, now, seconds(3), milliseconds(500)));
    cr_assert_not(canEndBy(end, now, seconds(9), seconds(3)));
    cr_assert(canEndBy(end, now, seconds(1), seconds(3)));
}

namespace {

/// An estimator with answers after 400 ms, to which requests since `now` are compared.
RunTimeEstimator observedEstimator()
{
    RunTimeEstimator estimator;
    for (int number = 0; number < 8; ++number)
        estimator.record(now - seconds(1), now - milliseconds(600));
    estimator.beginObservation(now, milliseconds(100));
    return estimator;
}

} // namespace

// Guards against a prediction from earlier answers that requests in progress have already shown to
// be wrong.
Test(runtimeestimator, slowRequestsRefuteThePrediction)
{
    RunTimeEstimator estimator = observedEstimator();
    const std::vector<core::TimePoint> sentAt(5, now);
    estimator.checkInProgress(sentAt, now + milliseconds(350));
    cr_assert_not(estimator.isRefuted());
    estimator.checkInProgress(sentAt, now + milliseconds(700));
    cr_assert(estimator.isRefuted());
    cr_assert_not(estimator.longestExpected(Confidence::NearlyCertain).has_value());
}

// Guards against answers that are left out because they are complete: endpoints that became slower
// have few requests in progress when few arrive.
Test(runtimeestimator, slowAnswersRefuteThePrediction)
{
    RunTimeEstimator estimator = observedEstimator();
    for (int number = 0; number < 5; ++number)
        estimator.record(now, now + milliseconds(900));
    estimator.checkInProgress({}, now + seconds(1));
    cr_assert(estimator.isRefuted());
}

// Guards against a single endpoint that hangs, and against requests that hung before, so that all
// other requests are refused.
Test(runtimeestimator, fewHangingRequestsRefuteNothing)
{
    RunTimeEstimator estimator = observedEstimator();
    for (int number = 0; number < 8; ++number)
        estimator.record(now, now + milliseconds(400));
    std::vector<core::TimePoint> sentAt(4, now);
    estimator.checkInProgress(sentAt, now + seconds(1));
    cr_assert_not(estimator.isRefuted());
    sentAt.assign(20, now - seconds(4));
    estimator.checkInProgress(sentAt, now + seconds(1));
    cr_assert_not(estimator.isRefuted());
}

// Guards against work that is accepted late in a stop although it ends in time only if endpoints
// stay as fast as they were.
Test(runtimeestimator, nearlyCertainPredictionLeavesRoomForASlowEndpoint)
{
    RunTimeEstimator estimator;
    for (int number = 0; number < 8; ++number)
        estimator.record(now, now + milliseconds(500));
    cr_assert_lt(*estimator.longestExpected(), seconds(1));
    cr_assert_geq(*estimator.longestExpected(Confidence::NearlyCertain), seconds(5));
}

// Guards against short work that is refused because it became a little slower.
Test(runtimeestimator, negligibleTimesRefuteNothing)
{
    RunTimeEstimator estimator;
    for (int number = 0; number < 8; ++number)
        estimator.record(now - seconds(1), now - milliseconds(980));
    estimator.beginObservation(now, milliseconds(100));
    for (int number = 0; number < 8; ++number)
        estimator.record(now, now + milliseconds(90));
    estimator.checkInProgress({}, now + seconds(1));
    cr_assert_not(estimator.isRefuted());
}

// Guards against short work that is accepted in the last second of a stop and cut off by a pause of
// its endpoint.
Test(runtimeestimator, nearlyCertainPredictionOfShortWorkHasAMinimum)
{
    RunTimeEstimator estimator;
    for (int number = 0; number < 8; ++number)
        estimator.record(now, now + milliseconds(60));
    cr_assert_geq(*estimator.longestExpected(Confidence::NearlyCertain), seconds(2));
}

// Guards against a rare route with long work that is predicted from the short work of its service,
// and against times of routes that are kept for ever.
Test(runtimeestimator, routesKeepTheirOwnTimes)
{
    const core::ServiceId service("plain");
    fleet::Route shortWork;
    shortWork.pathPrefix = "/get/";
    fleet::Route longWork;
    longWork.pathPrefix = "/order/";
    RunTimes times;
    times.record(service, longWork, now, now + seconds(3));
    for (int number = 0; number < 64; ++number)
        times.record(service, shortWork, now, now + milliseconds(20));
    const auto expected = [&](const fleet::Route &route) {
        return *times.longestExpected(service, route, Confidence::Likely);
    };
    cr_assert_lt(expected(shortWork), milliseconds(100));
    cr_assert_gt(expected(longWork), seconds(3));
    times.retainRoutes({shortWork});
    cr_assert_lt(expected(longWork), milliseconds(100));
}
