#include "decisions/retrystate.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

constexpr core::TimePoint now {std::chrono::seconds(100)};
constexpr core::TimePoint deadline {std::chrono::seconds(110)};

} // namespace

// Guards against the outcome "not run" for a request of which an earlier attempt may have run.
Test(retrystate, unknownOutcomeTakesPrecedenceOverLaterNotRun)
{
    RetryState state({}, true);
    cr_assert(state.recordFailedAttempt({.outcome = core::Outcome::Unknown}, deadline, now));
    cr_assert(state.recordFailedAttempt({.outcome = core::Outcome::NotRun}, deadline, now));
    cr_assert(state.finalOutcome(core::Outcome::NotRun) == core::Outcome::Unknown);
}

// Guards against a second run of a request that must not run twice.
Test(retrystate, nonRepeatableRequestIsNotRetriedAfterUnknownOutcome)
{
    RetryState state({}, false);
    cr_assert(state.recordFailedAttempt({.outcome = core::Outcome::NotRun}, deadline, now));
    cr_assert_not(state.recordFailedAttempt({.outcome = core::Outcome::Unknown}, deadline, now));
}

// Guards against completing a started response with the response of another run.
Test(retrystate, startedResponseIsNotRetried)
{
    RetryState state({}, true);
    cr_assert_not(state.recordFailedAttempt(
        {.outcome = core::Outcome::Unknown, .isResponseStarted = true}, deadline, now));
}

// Guards against a request that is retried at every endpoint of the fleet.
Test(retrystate, retriesAreBounded)
{
    RetryState state({}, true);
    cr_assert(state.recordFailedAttempt({.outcome = core::Outcome::Unknown}, deadline, now));
    cr_assert_not(state.recordFailedAttempt({.outcome = core::Outcome::Unknown}, deadline, now));
    RetryState late({}, true);
    cr_assert_not(late.recordFailedAttempt({.outcome = core::Outcome::NotRun}, deadline, deadline));
}
