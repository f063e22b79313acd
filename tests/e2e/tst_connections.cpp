#include "support/fleet.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

constexpr core::Duration limit = std::chrono::seconds(40);
constexpr int adapters = 8;

FleetOptions relayed(int tokens)
{
    // Every adapter has a slot, so that no stream waits for another to end.
    return {.slots = adapters,
            .adapters = adapters,
            .tokens = tokens,
            .tokenTime = std::chrono::milliseconds(50),
            .limits = {"firstByteTimeoutMs: 1500", "byteGapTimeoutMs: 1000"},
            .areEnginesRelayed = true};
}

bool setRelays(Fleet &fleet, const nlohmann::json &mode)
{
    return fleet.setEngineRelay(0, mode) && fleet.setEngineRelay(1, mode);
}

/// Starts one stream for each adapter and waits until all of them have begun.
std::vector<AnswerPtr> startStreams(Fleet &fleet)
{
    std::vector<AnswerPtr> answers;
    for (int number = 1; number <= adapters; ++number)
        answers.push_back(fleet.chat(static_cast<std::size_t>(number) % 2, Fleet::modelName(number),
                                     "stream", true));
    cr_expect(fleet.caller().waitUntil(
        [&] {
            return std::ranges::all_of(answers,
                                       [](const auto &answer) { return !answer->body.empty(); });
        },
        limit));
    return answers;
}

/// A stream that was interrupted ends with an error event and without the mark of a complete one.
void expectInterrupted(const std::vector<AnswerPtr> &answers)
{
    for (const AnswerPtr &answer : answers) {
        cr_expect(answer->isEnded, "a stream must end");
        cr_expect_not(answer->body.ends_with("data: [DONE]\n\n"));
        cr_expect_neq(answer->body.find("\"error\""), std::string::npos);
    }
}

} // namespace

// Guards against an interrupted stream that looks complete, and against an engine that is not used
// again after its connections were cut.
Test(connections, cutStreamsEndWithAnError, .timeout = 120)
{
    Fleet fleet(relayed(100));
    cr_assert(fleet.isReady());
    const auto answers = startStreams(fleet);
    cr_expect(setRelays(fleet, {{"open", "cut"}}));
    cr_expect(fleet.caller().waitForAll(answers, limit));
    expectInterrupted(answers);
    cr_expect(fleet.waitForModels(0, 1, limit));
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}

// Guards against streams that wait forever on a connection that went silent, and against treating
// the endpoint as lost while new connections to it work.
Test(connections, silentStreamsEndAtTheGapLimit, .timeout = 120)
{
    Fleet fleet(relayed(100));
    cr_assert(fleet.isReady());
    const auto answers = startStreams(fleet);
    cr_expect(setRelays(fleet, {{"open", "swallow-down"}}));
    const AnswerPtr later = fleet.chat(0, Fleet::modelName(1), "new connection", true);
    cr_expect(fleet.caller().waitForAll(answers, limit));
    expectInterrupted(answers);
    cr_expect(fleet.caller().waitForAll({later}, limit));
    cr_expect(later->isComplete(), "new connections work: status %d", later->status);
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}

// Guards against requests without a final answer when their bytes are lost on new connections.
Test(connections, swallowedRequestsGetAFinalAnswer, .timeout = 120)
{
    Fleet fleet(relayed(8));
    cr_assert(fleet.isReady());
    cr_expect(fleet.waitForModels(0, adapters, limit));
    cr_expect(setRelays(fleet, {{"new", "swallow"}}));
    std::vector<AnswerPtr> answers;
    for (int number = 1; number <= adapters; ++number)
        answers.push_back(fleet.chat(0, Fleet::modelName(number), "swallowed", number % 2 == 0));
    cr_expect(fleet.caller().waitForAll(answers, std::chrono::seconds(20)));
    for (const AnswerPtr &answer : answers) {
        cr_expect_neq(answer->status, 200);
        cr_expect_not(answer->headers.value("X-Outcome").empty());
    }
    cr_expect(setRelays(fleet, {{"new", "ok"}, {"open", "cut"}}));
    cr_expect(fleet.waitForModels(0, adapters, limit), "requests must work again");
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}

// Guards against failing requests to an engine whose answers are only delayed.
Test(connections, delayedAnswersAreComplete, .timeout = 120)
{
    Fleet fleet(relayed(8));
    cr_assert(fleet.isReady());
    cr_expect(fleet.waitForModels(0, adapters, limit));
    cr_expect(setRelays(fleet, {{"delayMs", 200}}));
    std::vector<AnswerPtr> answers;
    for (int number = 1; number <= adapters; ++number)
        answers.push_back(fleet.chat(0, Fleet::modelName(number), "delayed", number % 2 == 0));
    cr_expect(fleet.caller().waitForAll(answers, limit));
    for (std::size_t index = 0; index < answers.size(); ++index)
        cr_expect(
            answers[index]->isComplete()
                && fleet.isRecorded(*answers[index], Fleet::modelName(static_cast<int>(index) + 1)),
            "status %d: %s", answers[index]->status, answers[index]->body.c_str());
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}

// Guards against an answer without a valid status that reaches a caller as an answer.
Test(connections, invalidStatusIsNoAnswer, .timeout = 240)
{
    for (const char *status : {"000", "00", "0", "2000", "   "}) {
        Fleet fleet(relayed(8));
        cr_assert(fleet.isReady());
        cr_expect(fleet.waitForModels(0, adapters, limit));
        cr_expect(setRelays(fleet, {{"status", status}}));
        std::vector<AnswerPtr> answers;
        for (int number = 1; number <= adapters; ++number)
            answers.push_back(fleet.chat(0, Fleet::modelName(number), "status", number % 2 == 0));
        cr_expect(fleet.caller().waitForAll(answers, limit));
        for (const AnswerPtr &answer : answers) {
            cr_expect_geq(answer->status, 500, "'%s': %d", status, answer->status);
            cr_expect_leq(answer->status, 599, "'%s': %d", status, answer->status);
        }
    }
}
