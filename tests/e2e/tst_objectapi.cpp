#include "support/fleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <iostream>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

constexpr core::Duration limit = std::chrono::seconds(40);
constexpr int warmAdapters = 6;

int apiCalls(Fleet &fleet)
{
    const nlohmann::json counts = fleet.caller().read(fleet.platformPort(), "/fake/counts");
    int sum = 0;
    for (const char *method : {"GET", "POST", "PUT", "DELETE"})
        sum += counts.value(method, 0);
    return sum;
}

int apiCallsWithin(Fleet &fleet, core::Duration time)
{
    const int before = apiCalls(fleet);
    fleet.caller().runLoopFor(time);
    return apiCalls(fleet) - before;
}

/// Sends a request for each warm adapter through every daemon; returns the number of complete
/// answers.
int completeWarmRequests(Fleet &fleet, std::size_t daemons)
{
    std::vector<AnswerPtr> answers;
    for (std::size_t daemon = 0; daemon < daemons; ++daemon)
        for (int number = 1; number <= warmAdapters; ++number)
            answers.push_back(fleet.chat(daemon, Fleet::modelName(number), "warm", false));
    fleet.caller().waitForAll(answers, limit);
    const auto complete
        = std::ranges::count_if(answers, [](const auto &answer) { return answer->isComplete(); });
    if (complete < static_cast<std::ptrdiff_t>(answers.size()))
        for (const AnswerPtr &answer : answers)
            if (!answer->isComplete()) {
                std::cout << "first refused: " << answer->status << " " << answer->body << "\n";
                break;
            }
    return static_cast<int>(complete);
}

void expectRefusedAsNotRun(Fleet &fleet, const std::string &key)
{
    const AnswerPtr answer = fleet.order(0, key, "chart");
    cr_expect(fleet.caller().waitForAll({answer}, limit));
    cr_expect_eq(answer->status, 503, "status %d", answer->status);
    cr_expect(answer->isNotRun());
    cr_expect_not(answer->headers.value("Retry-After").empty());
    cr_expect_lt(answer->took.count(), core::Duration(std::chrono::seconds(2)).count());
    cr_expect_eq(fleet.serviceRuns().value(key, 0), 0);
}

} // namespace

// Guards against an outage of the object API that stops warm requests or reverts the configuration,
// against running orders or delaying their refusal meanwhile, and against a surge of calls after
// it.
Test(objectapi, outageLeavesWarmRequestsRunning, .timeout = 150)
{
    Fleet fleet({.daemons = 3, .engines = 3});
    cr_assert(fleet.isReady());
    cr_expect(fleet.waitForModels(0, warmAdapters, limit));
    const std::uint64_t generation = fleet.generation(0);
    constexpr std::chrono::seconds window {4};
    const int callsAtRest = apiCallsWithin(fleet, window);
    const auto owners = fleet.owners();
    cr_expect(fleet.setPlatformFault({{"objectApi", "out"}}));
    for (int round = 0; round < 8; ++round) {
        cr_expect_eq(completeWarmRequests(fleet, 3), 3 * warmAdapters, "%d s into the outage",
                     round);
        expectRefusedAsNotRun(fleet, "order-" + std::to_string(round));
        fleet.caller().runLoopFor(std::chrono::seconds(1));
    }
    cr_expect(fleet.setPlatformFault({{"objectApi", "ok"}}));
    const int callsAfter = apiCallsWithin(fleet, window);
    std::cout << "object API calls in " << window.count() << " s: " << callsAtRest << " at rest, "
              << callsAfter << " after the outage\n";
    // Each of the three daemons may list and watch twice, and renew its lease, in addition.
    cr_expect_leq(callsAfter, 2 * callsAtRest + 3 * 8);
    for (std::size_t daemon = 0; daemon < 3; ++daemon)
        cr_expect_geq(fleet.generation(daemon), generation);
    cr_expect(fleet.waitForModels(1, 12, limit), "cold requests must work again");
    const AnswerPtr order = fleet.order(0, "order-0", "chart");
    cr_expect(fleet.caller().waitForAll({order}, limit));
    cr_expect_eq(order->status, 200);
    cr_expect(fleet.owners() == owners, "no live daemon may lose an endpoint by the outage");
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}

// Guards against orders that are lost or repeated while the object API is slow.
Test(objectapi, slowAnswersDelayOrdersOnly, .timeout = 120)
{
    Fleet fleet({});
    cr_assert(fleet.isReady());
    cr_expect(fleet.waitForModels(0, warmAdapters, limit));
    cr_expect(fleet.setPlatformFault({{"delayMs", 300}}));
    std::vector<AnswerPtr> answers;
    answers.reserve(10);
    for (int index = 0; index < 10; ++index)
        answers.push_back(fleet.order(0, "order-" + std::to_string(index), "chart"));
    for (int round = 0; round < 4; ++round) {
        cr_expect_eq(completeWarmRequests(fleet, 2), 2 * warmAdapters);
        fleet.caller().runLoopFor(std::chrono::seconds(1));
    }
    cr_expect(fleet.caller().waitForAll(answers, limit));
    const nlohmann::json runs = fleet.serviceRuns();
    for (int index = 0; index < 10; ++index) {
        cr_expect_eq(answers[static_cast<std::size_t>(index)]->status, 200);
        cr_expect_eq(runs.value("order-" + std::to_string(index), 0), 1);
    }
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}

// Guards against running an order twice, or reporting one that ran as not run, when the responses
// to writes are lost although the writes took effect.
Test(objectapi, lostAnswersRunNoOrderTwice, .timeout = 120)
{
    Fleet fleet({});
    cr_assert(fleet.isReady());
    cr_expect(fleet.setPlatformFault({{"objectApi", "lose-answers"}}));
    std::vector<AnswerPtr> answers;
    answers.reserve(10);
    for (int index = 0; index < 10; ++index)
        answers.push_back(fleet.order(0, "order-" + std::to_string(index), "chart"));
    cr_expect(fleet.caller().waitForAll(answers, limit));
    nlohmann::json runs = fleet.serviceRuns();
    for (int index = 0; index < 10; ++index) {
        const Answer &answer = *answers[static_cast<std::size_t>(index)];
        const int count = runs.value("order-" + std::to_string(index), 0);
        cr_expect_leq(count, 1);
        cr_expect(!answer.isNotRun() || count == 0, "called not run, but run");
        cr_expect(answer.status != 200 || count == 1);
    }
    // Long enough for the leases to expire if renewals with lost responses count as failed.
    fleet.caller().runLoopFor(std::chrono::seconds(6));
    cr_expect(fleet.waitForModels(0, warmAdapters, limit), "requests must work meanwhile");
    cr_expect(fleet.setPlatformFault({{"objectApi", "ok"}}));
    answers.clear();
    for (int index = 0; index < 10; ++index)
        answers.push_back(fleet.order(1, "order-" + std::to_string(index), "chart"));
    cr_expect(fleet.caller().waitForAll(answers, limit));
    runs = fleet.serviceRuns();
    for (int index = 0; index < 10; ++index)
        cr_expect_leq(runs.value("order-" + std::to_string(index), 0), 1);
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}

// Guards against a configuration that is not applied because a watch missed its event.
Test(objectapi, watchGapDelaysAConfigurationByLessThan16s, .timeout = 120)
{
    Fleet fleet({});
    cr_assert(fleet.isReady());
    cr_expect(fleet.setPlatformFault({{"dropEvents", true}}));
    cr_expect_eq(fleet.control({"apply", fleet.writeManifest("release-2", 14)}), 0);
    cr_expect(fleet.caller().waitUntil(
        [&] { return fleet.generation(0) >= 2 && fleet.generation(1) >= 2; },
        std::chrono::seconds(16)));
    cr_expect(fleet.setPlatformFault({{"dropEvents", false}}));
    cr_expect(fleet.waitForModel(0, Fleet::modelName(14), limit));
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}

// Guards against requests that fail after a daemon and an engine were killed, because the host list
// is unavailable and does not show it.
Test(objectapi, lateHostListDoesNotStopRequests, .timeout = 150)
{
    Fleet fleet({.daemons = 3, .engines = 3});
    cr_assert(fleet.isReady());
    cr_expect(fleet.waitForModels(0, warmAdapters, limit));
    cr_expect(fleet.setPlatformFault({{"hostList", "out"}}));
    fleet.daemon(2).kill();
    fleet.engine(2).kill();
    cr_expect(fleet.waitForModels(0, 12, limit), "requests must go to the other engines");
    cr_expect(fleet.setPlatformFault({{"hostList", "ok"}}));
    fleet.setHostState(Fleet::engineName(2), "leaving");
    cr_expect(fleet.waitForModels(1, 12, limit));
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}

// Guards against reporting success to two operators of whose concurrent changes only one is in
// force.
Test(objectapi, oneOfTwoRacingOperatorsWins, .timeout = 120)
{
    Fleet fleet({.daemons = 1, .engines = 1});
    cr_assert(fleet.isReady());
    for (int round = 1; round <= 5; ++round) {
        const std::string expected = std::to_string(fleet.generation(0));
        const auto race = fleet.controlAtOnce(
            {{"apply", fleet.writeManifest("left-" + std::to_string(round), 12 + round),
              "--expect-generation", expected},
             {"apply", fleet.writeManifest("right-" + std::to_string(round), 20 + round),
              "--expect-generation", expected}});
        const auto winner = std::ranges::count(race, 0, &ControlResult::exitCode);
        const auto loser = std::ranges::find(race, 3, &ControlResult::exitCode);
        cr_expect_eq(winner, 1);
        cr_assert(loser != race.end(), "exit codes %d and %d", race[0].exitCode, race[1].exitCode);
        const std::string next = std::to_string(std::stoi(expected) + 1);
        cr_expect_neq(loser->output.find("generation " + expected), std::string::npos);
        cr_expect_neq(loser->output.find("generation " + next), std::string::npos);
        cr_expect(fleet.caller().waitUntil(
            [&] { return std::to_string(fleet.generation(0)) == next; }, limit));
    }
}

// Guards against configurations that no daemon takes any more because another writer has left a
// root of its own, or one that cannot be read.
Test(objectapi, rootsOfOtherNamesAreNoConfiguration, .timeout = 200)
{
    Fleet fleet({.daemons = 1, .engines = 1});
    cr_assert(fleet.isReady());
    for (const auto &[name, spec] : std::map<std::string, std::string> {
             {"a&b", R"({"generation":1000,"release":"x","digest":"x","parts":[]})"},
             {"odd", "17"}}) {
        net::HttpRequest request {"POST", "/apis/jackdawlead.dev/v1/configroots", {}, {}};
        request.body
            = nlohmann::json {{"metadata", {{"name", name}}}, {"spec", nlohmann::json::parse(spec)}}
                  .dump();
        cr_assert(fleet.caller().waitForAll({fleet.caller().start(fleet.platformPort(), request)},
                                            limit));
    }
    fleet.caller().runLoopFor(std::chrono::seconds(1));
    const std::uint64_t generation = fleet.generation(0);
    cr_expect_lt(generation, 1000U);
    cr_assert_eq(fleet.control({"apply", fleet.writeManifest("next", 20)}), 0);
    cr_expect(
        fleet.caller().waitUntil([&] { return fleet.generation(0) == generation + 1; }, limit),
        "generation %d", static_cast<int>(fleet.generation(0)));
}
