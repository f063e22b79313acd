#include "decisions/runtimeestimator.h"

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
        estimator.record(milliseconds(10));
    cr_assert_not(estimator.longestExpected().has_value());
    estimator.record(milliseconds(10));
    cr_assert(estimator.longestExpected().has_value());
}

// Guards against a prediction that follows the mean, which half of the requests exceed, and against
// one that a single slow request determines for ever.
Test(runtimeestimator, predictionCoversTheSlowestRecentRequest)
{
    RunTimeEstimator estimator;
    estimator.record(seconds(3));
    for (int number = 0; number < 20; ++number)
        estimator.record(milliseconds(60));
    cr_assert_geq(*estimator.longestExpected(), seconds(3));
    for (int number = 0; number < 64; ++number)
        estimator.record(milliseconds(60));
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
