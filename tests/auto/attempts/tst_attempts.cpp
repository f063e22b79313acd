#include "decisions/attempts.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

constexpr core::TimePoint now {std::chrono::seconds(100)};
constexpr core::TimePoint deadline {std::chrono::seconds(110)};

} // namespace

// Guards against "not run" told for work of which an earlier attempt may have run.
Test(attempts, unknownOutweighsLaterNotRun)
{
    Attempts attempts({}, true);
    cr_assert(attempts.mayRepeatAfter({.outcome = core::Outcome::Unknown}, deadline, now));
    cr_assert(attempts.mayRepeatAfter({.outcome = core::Outcome::NotRun}, deadline, now));
    cr_assert(attempts.outcomeToTell(core::Outcome::NotRun) == core::Outcome::Unknown);
}

// Guards against a second run of work that must not repeat.
Test(attempts, nonRepeatableIsNotRepeatedAfterUnknown)
{
    Attempts attempts({}, false);
    cr_assert(attempts.mayRepeatAfter({.outcome = core::Outcome::NotRun}, deadline, now));
    cr_assert_not(attempts.mayRepeatAfter({.outcome = core::Outcome::Unknown}, deadline, now));
}

// Guards against completing a started answer with the answer of another run.
Test(attempts, startedAnswerIsNotRepeated)
{
    Attempts attempts({}, true);
    cr_assert_not(attempts.mayRepeatAfter(
        {.outcome = core::Outcome::Unknown, .isAnswerStarted = true}, deadline, now));
}

// Guards against a request that goes round the whole fleet.
Test(attempts, repeatsAreBounded)
{
    Attempts attempts({}, true);
    cr_assert(attempts.mayRepeatAfter({.outcome = core::Outcome::Unknown}, deadline, now));
    cr_assert_not(attempts.mayRepeatAfter({.outcome = core::Outcome::Unknown}, deadline, now));
    Attempts late({}, true);
    cr_assert_not(late.mayRepeatAfter({.outcome = core::Outcome::NotRun}, deadline, deadline));
}
