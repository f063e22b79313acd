#include "support/fleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <iostream>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

constexpr core::Duration limit = std::chrono::seconds(40);
// The exit code of an engine that its fault `crashOn` ended.
constexpr int crashCode = 70;

} // namespace

// Guards against requests that wait for adapters which a restarted engine no longer holds.
Test(enginefaults, restartedEngineIsFilledAgain, .timeout = 120)
{
    Fleet fleet({.tokens = 20, .tokenTime = std::chrono::milliseconds(50)});
    cr_assert(fleet.isReady());
    cr_expect(fleet.waitForModels(0, 4, limit));
    std::vector<AnswerPtr> answers;
    answers.reserve(24);
    for (int index = 0; index < 24; ++index)
        answers.push_back(fleet.chat(static_cast<std::size_t>(index) % 2,
                                     Fleet::modelName(1 + index % 12), "restart", index % 2 == 0));
    cr_expect(fleet.caller().waitUntil([&] { return !answers[0]->body.empty(); }, limit));
    fleet.engine(0).kill();
    fleet.startEngine(0);
    cr_expect(fleet.caller().waitForAll(answers, limit), "every request must get a final answer");
    cr_expect(fleet.waitForModels(0, 12, limit), "requests must work again");
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}

// Guards against requests that wait until their deadline while engines cannot load adapters.
Test(enginefaults, failingLoadsAreAnsweredAtOnce, .timeout = 120)
{
    Fleet fleet({});
    cr_assert(fleet.isReady());
    cr_expect(fleet.setEngineFault(0, {{"loads", "fail"}}));
    cr_expect(fleet.waitForModels(0, 12, limit), "the next home must serve");
    cr_expect(fleet.setEngineFault(1, {{"loads", "fail"}}));
    // Enough adapters that some of them are resident nowhere.
    std::vector<AnswerPtr> answers;
    for (int number = 1; number <= 12; ++number)
        answers.push_back(fleet.chat(1, Fleet::modelName(number), "refused", false));
    cr_expect(fleet.caller().waitForAll(answers, limit));
    int refused = 0;
    for (const AnswerPtr &answer : answers) {
        if (answer->status == 200)
            continue;
        ++refused;
        cr_expect(answer->isNotRun(), "%s", answer->body.c_str());
        cr_expect_not(answer->headers.value("Retry-After").empty());
        cr_expect_lt(answer->took.count(), core::Duration(std::chrono::seconds(10)).count(),
                     "a refusal must not wait for the deadline of 30 s");
    }
    cr_expect_gt(refused, 0);
    cr_expect(fleet.setEngineFault(0, {{"loads", "ok"}}));
    cr_expect(fleet.setEngineFault(1, {{"loads", "ok"}}));
    cr_expect(fleet.waitForModels(0, 12, limit), "requests must work again");
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}

// Guards against an outage of the weight store that stops requests to resident adapters.
Test(enginefaults, weightStoreOutLeavesResidentAdapters, .timeout = 120)
{
    Fleet fleet({});
    cr_assert(fleet.isReady());
    cr_expect(fleet.waitForModels(0, 2, limit));
    cr_expect(fleet.setPlatformFault({{"store", "out"}}));
    std::vector<AnswerPtr> cold;
    for (int number = 3; number <= 8; ++number)
        cold.push_back(fleet.chat(1, Fleet::modelName(number), "cold", false));
    for (int round = 0; round < 10; ++round) {
        const AnswerPtr warm = fleet.chat(0, Fleet::modelName(1 + round % 2), "warm", true);
        cr_expect(fleet.caller().waitForAll({warm}, limit));
        cr_expect(warm->isComplete(), "round %d: status %d %s", round, warm->status,
                  warm->body.c_str());
    }
    cr_expect(fleet.caller().waitForAll(cold, limit));
    for (const AnswerPtr &answer : cold) {
        cr_expect(answer->isNotRun());
        cr_expect_not(answer->headers.value("Retry-After").empty());
        cr_expect_lt(answer->took.count(), core::Duration(std::chrono::seconds(10)).count());
    }
    cr_expect(fleet.setPlatformFault({{"store", "ok"}}));
    cr_expect(fleet.waitForModels(0, 12, limit), "requests must work again");
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}

// Guards against a request that its caller resends until every engine has crashed.
Test(enginefaults, crashingRequestEndsAtMostTwoEngines, .timeout = 120)
{
    Fleet fleet({.engines = 4, .adapters = 4});
    cr_assert(fleet.isReady());
    for (std::size_t index = 0; index < 4; ++index)
        cr_expect(fleet.setEngineFault(index, {{"crashOn", "crash-marker"}}));
    for (int attempt = 0; attempt < 8; ++attempt) {
        const AnswerPtr answer = fleet.chat(static_cast<std::size_t>(attempt) % 2,
                                            Fleet::modelName(1), "crash-marker", attempt % 2 == 0);
        cr_expect(fleet.caller().waitForAll({answer}, limit));
        fleet.caller().runLoopFor(std::chrono::milliseconds(500));
    }
    int deaths = 0;
    for (std::size_t index = 0; index < 4; ++index)
        deaths += fleet.engine(index).exitCode() == crashCode ? 1 : 0;
    std::cout << deaths << " engines died\n";
    cr_expect_leq(deaths, 2);
    if (deaths > 2)
        return;
    cr_expect(fleet.waitForModels(0, 4, limit), "other requests must work");
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}
