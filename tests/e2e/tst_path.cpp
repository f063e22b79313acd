#include "support/fleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <iostream>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

constexpr core::Duration answerLimit = std::chrono::seconds(40);

bool isWholeStream(const Answer &answer)
{
    return answer.isComplete() && answer.body.ends_with("data: [DONE]\n\n");
}

} // namespace

// Guards against answers of another request or adapter, lost bytes, and evictions of adapters in
// use while many more adapters than there are slots are requested at once.
Test(path, answersAreThoseOfTheEngine, .timeout = 120)
{
    Fleet fleet({.engines = 4, .adapters = 40});
    cr_assert(fleet.isReady());
    constexpr int requests = 200;
    std::vector<AnswerPtr> answers;
    std::vector<std::string> models;
    for (int index = 0; index < requests; ++index) {
        models.push_back(Fleet::modelName(1 + index % 40));
        answers.push_back(fleet.chat(static_cast<std::size_t>(index) % 2, models.back(),
                                     "prompt " + std::to_string(index), index % 4 < 2));
    }
    cr_expect(fleet.caller().waitForAll(answers, answerLimit));
    int exact = 0;
    for (std::size_t index = 0; index < answers.size(); ++index) {
        const Answer &answer = *answers[index];
        if (answer.isComplete() && fleet.isRecorded(answer, models[index]))
            ++exact;
        else
            std::cout << index << ": status " << answer.status << " " << answer.body << "\n";
    }
    std::cout << exact << " of " << requests << " answers equal the engine's record, "
              << fleet.engineCounter("engine_loads_total") << " loads\n";
    cr_expect_eq(exact, requests);
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}

// Guards against an order that runs once for each daemon that receives it.
Test(path, orderSentToBothDaemonsRunsOnce, .timeout = 120)
{
    Fleet fleet({});
    cr_assert(fleet.isReady());
    constexpr int orders = 30;
    std::vector<AnswerPtr> answers;
    for (int index = 0; index < orders; ++index)
        for (std::size_t daemon = 0; daemon < 2; ++daemon)
            answers.push_back(
                fleet.order(daemon, "order-" + std::to_string(index), "chart for a wall"));
    cr_expect(fleet.caller().waitForAll(answers, answerLimit));
    const nlohmann::json runs = fleet.serviceRuns();
    for (int index = 0; index < orders; ++index)
        cr_expect_eq(runs.value("order-" + std::to_string(index), 0), 1, "order %d", index);
    for (const AnswerPtr &answer : answers)
        cr_expect(answer->status == 200 || answer->status == 409, "status %d", answer->status);
}

// Guards against interrupting streams in a planned stop, and against an exit code that reports a
// fault.
Test(path, plannedStopCutsNoStream, .timeout = 120)
{
    Fleet fleet(
        {.engines = 4, .adapters = 8, .tokens = 100, .tokenTime = std::chrono::milliseconds(50)});
    cr_assert(fleet.isReady());
    std::vector<AnswerPtr> answers;
    std::vector<std::string> models;
    for (int index = 0; index < 40; ++index) {
        models.push_back(Fleet::modelName(1 + index % 8));
        answers.push_back(fleet.chat(static_cast<std::size_t>(index) % 2, models.back(),
                                     "prompt " + std::to_string(index), true));
    }
    cr_expect(fleet.caller().waitUntil(
        [&] {
            return std::ranges::all_of(answers,
                                       [](const auto &answer) { return !answer->body.empty(); });
        },
        answerLimit));
    const auto ended
        = std::ranges::count_if(answers, [](const auto &answer) { return answer->isEnded; });
    cr_expect_lt(ended, 40, "streams must still run at the stop");
    fleet.daemon(0).signal(SIGTERM);
    cr_expect(fleet.caller().waitForAll(answers, answerLimit));
    for (std::size_t index = 0; index < answers.size(); ++index)
        cr_expect(isWholeStream(*answers[index])
                      && fleet.isRecorded(*answers[index], models[index]),
                  "stream %zu: status %d", index, answers[index]->status);
    cr_expect(fleet.caller().waitUntil([&] { return fleet.daemon(0).exitCode().has_value(); },
                                       answerLimit));
    cr_expect_eq(fleet.daemon(0).exitCode().value_or(-1), 0);
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}

// Guards against a configuration that does not reach a daemon within 16 s, or that goes back.
Test(path, configurationReachesEveryDaemon, .timeout = 120)
{
    Fleet fleet({.daemons = 3});
    cr_assert(fleet.isReady());
    std::vector<std::uint64_t> highest(3, 0);
    bool hasGoneBack = false;
    for (int change = 2; change <= 4; ++change) {
        const std::string file
            = fleet.writeManifest("release-" + std::to_string(change), 12 + change);
        cr_expect_eq(fleet.control({"apply", file}), 0);
        const auto target = static_cast<std::uint64_t>(change);
        const bool isInForce = fleet.caller().waitUntil(
            [&] {
                bool isEverywhere = true;
                for (std::size_t daemon = 0; daemon < highest.size(); ++daemon) {
                    const std::uint64_t seen = fleet.generation(daemon);
                    hasGoneBack = hasGoneBack || seen < highest[daemon];
                    highest[daemon] = std::max(highest[daemon], seen);
                    isEverywhere = isEverywhere && seen >= target;
                }
                return isEverywhere;
            },
            std::chrono::seconds(16));
        cr_expect(isInForce, "generation %d", change);
    }
    cr_expect_not(hasGoneBack);
}

// Prints what a daemon uses at rest; the targets are checked by bench.
Test(path, usageAtRestIsPrinted, .timeout = 120)
{
    Fleet fleet({.engines = 4, .adapters = 40, .hasShortLeases = false});
    cr_assert(fleet.isReady());
    constexpr std::chrono::seconds restTime {5};
    const ProcessUsage before = usageOf(fleet.daemon(0));
    fleet.caller().runLoopFor(restTime);
    const ProcessUsage after = usageOf(fleet.daemon(0));
    std::cout << "daemon at rest: " << after.residentMegabytes << " MB resident, "
              << std::chrono::duration<double, std::milli>(after.cpu - before.cpu).count()
              << " ms of processor time in " << restTime.count() << " s\n";
    cr_expect_gt(after.residentMegabytes, 0.0);
}
