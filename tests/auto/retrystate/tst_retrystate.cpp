#include "decisions/retrystate.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

constexpr core::TimePoint now {std::chrono::seconds(100)};
constexpr core::TimePoint deadline {std::chrono::seconds(110)};

} // namespace

// Guards against "not run" told for work of which an earlier attempt may have run.
Test(retrystate, unknownOutweighsLaterNotRun)
{
    RetryState attempts({}, true);
    cr_assert(attempts.recordFailedAttempt({.outcome = core::Outcome::Unknown}, deadline, now));
    cr_assert(attempts.recordFailedAttempt({.outcome = core::Outcome::NotRun}, deadline, now));
    cr_assert(attempts.finalOutcome(core::Outcome::NotRun) == core::Outcome::Unknown);
}

// Guards against a second run of work that must not repeat.
Test(retrystate, nonRepeatableIsNotRepeatedAfterUnknown)
{
    RetryState attempts({}, false);
    cr_assert(attempts.recordFailedAttempt({.outcome = core::Outcome::NotRun}, deadline, now));
    cr_assert_not(attempts.recordFailedAttempt({.outcome = core::Outcome::Unknown}, deadline, now));
}

// Guards against completing a started answer with the answer of another run.
Test(retrystate, startedAnswerIsNotRepeated)
{
    RetryState attempts({}, true);
    cr_assert_not(attempts.recordFailedAttempt(
        {.outcome = core::Outcome::Unknown, .isResponseStarted = true}, deadline, now));
}

// Guards against a request that goes round the whole fleet.
Test(retrystate, repeatsAreBounded)
{
    RetryState attempts({}, true);
    cr_assert(attempts.recordFailedAttempt({.outcome = core::Outcome::Unknown}, deadline, now));
    cr_assert_not(attempts.recordFailedAttempt({.outcome = core::Outcome::Unknown}, deadline, now));
    RetryState late({}, true);
    cr_assert_not(late.recordFailedAttempt({.outcome = core::Outcome::NotRun}, deadline, deadline));
}
