#include "serving/answercheck.h"

#include <criterion/criterion.h>

using namespace jackdawlead;

namespace {

const core::AdapterVersion expected {core::AdapterId("charts"), "3"};
constexpr const char *goodEvent = "data: {\"model\":\"charts@3\",\"choices\":[]}\n\n";

} // namespace

// Guards against forwarding an answer of another version.
Test(answercheck, answerOfAnotherVersionIsRefused)
{
    serving::AnswerCheck check(expected, false);
    cr_assert(check.accept("{\"model\":\"charts@2\"}").ok());
    cr_assert_eq(check.finish().status().code(), absl::StatusCode::kInternal);
}

// Guards against releasing the first bytes of a stream before its model is known.
Test(answercheck, streamIsHeldUntilItsModelIsKnown)
{
    serving::AnswerCheck check(expected, true);
    const std::string event = goodEvent;
    cr_assert(check.accept(event.substr(0, 20))->empty());
    cr_assert_eq(*check.accept(event.substr(20)), event);
}

// Guards against taking a stream without its end mark for complete.
Test(answercheck, streamWithoutEndMarkIsIncomplete)
{
    serving::AnswerCheck check(expected, true);
    cr_assert(check.accept(goodEvent).ok());
    cr_assert_eq(check.finish().status().code(), absl::StatusCode::kDataLoss);
}

// Guards against refusing a complete stream whose end mark arrives in two pieces.
Test(answercheck, endMarkMayArriveInPieces)
{
    serving::AnswerCheck check(expected, true);
    cr_assert(check.accept(goodEvent).ok());
    cr_assert(check.accept("data: [DO").ok());
    cr_assert(check.accept("NE]\n\n").ok());
    cr_assert(check.finish().ok());
}
