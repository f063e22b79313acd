#include "decisions/endpointlimits.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::EndpointId endpoint {"i-1"};
const fleet::StartTime incarnation {10};
constexpr core::TimePoint start {seconds(100)};
constexpr fleet::RequestRate low {1.5};
constexpr fleet::RequestRate high {4};

} // namespace

// Guards against a limit that is lifted by an answer to a request from before the limit.
Test(endpointlimits, onlyALaterRequestLiftsTheLimit)
{
    EndpointLimits limits;
    cr_assert(limits.recordAnnounced(endpoint, incarnation, low, start - seconds(1), start)
              == LimitChange::Announced);
    cr_assert(limits.recordUnlimited(endpoint, incarnation, start - milliseconds(1))
              == LimitChange::None);
    cr_assert_not_null(limits.find(endpoint, incarnation));
    cr_assert(limits.recordUnlimited(endpoint, incarnation, start + milliseconds(1))
              == LimitChange::Lifted);
    cr_assert_null(limits.find(endpoint, incarnation));
    cr_assert(
        limits.recordAnnounced(endpoint, incarnation, low, start + seconds(1), start + seconds(2))
        == LimitChange::Announced);
}

// Guards against the higher limit of two answers that crossed, and against a limit that never
// rises again.
Test(endpointlimits, lowerLimitAppliesToCrossedAnswers)
{
    EndpointLimits limits;
    limits.recordAnnounced(endpoint, incarnation, low, start - seconds(1), start);
    cr_assert(limits.recordAnnounced(endpoint, incarnation, high, start - milliseconds(500),
                                     start + milliseconds(10))
              == LimitChange::None);
    cr_assert_eq(limits.find(endpoint, incarnation)->rate->perSecond, low.perSecond);
    cr_assert(limits.recordAnnounced(endpoint, incarnation, high, start + milliseconds(20),
                                     start + milliseconds(30))
              == LimitChange::Changed);
    cr_assert_eq(limits.find(endpoint, incarnation)->rate->perSecond, high.perSecond);
}

// Guards against a limit that never rises while requests overlap: each answer then crosses another
// one.
Test(endpointlimits, limitRisesWhileAnswersOverlap)
{
    constexpr core::Duration answerInterval = milliseconds(100);
    constexpr core::Duration answerTime = milliseconds(300);
    EndpointLimits limits;
    core::TimePoint now = start;
    const auto receiveAnswers = [&](fleet::RequestRate rate) {
        for (int count = 0; count < 10; ++count) {
            limits.recordAnnounced(endpoint, incarnation, rate, now - answerTime, now);
            now += answerInterval;
        }
    };
    receiveAnswers(low);
    receiveAnswers(high);
    cr_assert_eq(limits.find(endpoint, incarnation)->rate->perSecond, high.perSecond);
}

// Guards against the limit of an ended incarnation that binds its successor, and against a late
// message about the predecessor that replaces the successor's limit.
Test(endpointlimits, limitEndsWithItsIncarnation)
{
    EndpointLimits limits;
    limits.recordAnnounced(endpoint, incarnation, low, start, start);
    const fleet::StartTime next = incarnation + milliseconds(1);
    cr_assert_null(limits.find(endpoint, next));
    limits.applyUpdate(endpoint, {next, high, start});
    cr_assert(limits.applyUpdate(endpoint, {incarnation, low, start + seconds(1)})
              == LimitChange::None);
    cr_assert_eq(limits.find(endpoint, next)->rate->perSecond, high.perSecond);
}

// Guards against an older statement of another daemon that replaces a newer one, and against
// memory for limits that were lifted long ago.
Test(endpointlimits, newestStatementOfAllDaemonsApplies)
{
    EndpointLimits limits;
    limits.applyUpdate(endpoint, {incarnation, low, start});
    cr_assert(limits.applyUpdate(endpoint, {incarnation, std::nullopt, start - seconds(1)})
              == LimitChange::None);
    cr_assert(limits.applyUpdate(endpoint, {incarnation, std::nullopt, start + seconds(1)})
              == LimitChange::Lifted);
    cr_assert(limits.applyUpdate(endpoint, {incarnation, low, start}) == LimitChange::None);
    limits.removeExpired(start + seconds(1) + EndpointLimits::liftedRetention);
    cr_assert_eq(limits.all().size(), 1U);
    limits.removeExpired(start + seconds(2) + EndpointLimits::liftedRetention);
    cr_assert(limits.all().empty());
}
