#include "support/fleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <iostream>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

constexpr core::Duration limit = std::chrono::seconds(40);

/// The daemon that owns the first engine.
std::size_t ownerOfFirstEngine(Fleet &fleet)
{
    const std::string holder = fleet.owners()[Fleet::engineName(0)];
    return static_cast<std::size_t>(std::stoul(holder.substr(holder.rfind('-') + 1)));
}

bool ownsNothing(Fleet &fleet, std::size_t daemon)
{
    const auto owners = fleet.owners();
    return owners.size() == 4 && std::ranges::none_of(owners, [daemon](const auto &entry) {
               return entry.second == Fleet::daemonName(daemon);
           });
}

void pauseOwnerPastItsLease(bool isFencingChecked)
{
    Fleet fleet({.daemons = 3, .engines = 4, .adapters = 24, .isFencingChecked = isFencingChecked});
    cr_assert(fleet.isReady());
    const std::size_t paused = ownerOfFirstEngine(fleet);
    const std::size_t other = (paused + 1) % 3;
    // Adapters that the paused daemon is still loading when it continues.
    std::vector<AnswerPtr> answers;
    for (int number = 1; number <= 24; ++number)
        answers.push_back(fleet.chat(paused, Fleet::modelName(number), "before", true));
    fleet.daemon(paused).signal(SIGSTOP);
    const bool isTakenOver
        = fleet.caller().waitUntil([&] { return ownsNothing(fleet, paused); }, limit);
    cr_expect(isTakenOver, "endpoints of the paused daemon must be taken over");
    cr_expect(fleet.waitForModels(other, 24, limit), "requests must work while it is paused");
    // Work of the new owners is in progress when the old one continues.
    for (int number = 1; number <= 24; ++number)
        answers.push_back(fleet.chat(other, Fleet::modelName(number), "after", true));
    fleet.daemon(paused).signal(SIGCONT);
    for (int number = 24; number >= 1; --number)
        answers.push_back(fleet.chat(paused, Fleet::modelName(number), "continued", true));
    cr_expect(fleet.caller().waitForAll(answers, limit), "every request must get its final answer");
    std::cout << "stale orders refused: "
              << fleet.engineCounter("engine_stale_orders_refused_total")
              << ", accepted: " << fleet.engineCounter("engine_stale_orders_accepted_total")
              << "\n";
    if (isFencingChecked)
        cr_expect_eq(fleet.engineCounter("engine_stale_orders_accepted_total"), 0);
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
    cr_expect(fleet.waitForModels(paused, 24, limit), "the continued daemon must serve again");
}

} // namespace

// Guards against endpoints that stay without an owner when their daemon is killed.
Test(daemonfaults, killedDaemonIsReplaced, .timeout = 150)
{
    Fleet fleet({.daemons = 3, .engines = 4, .adapters = 12});
    cr_assert(fleet.isReady());
    const std::size_t killed = ownerOfFirstEngine(fleet);
    const std::size_t other = (killed + 1) % 3;
    cr_expect(fleet.waitForModels(other, 12, limit));
    fleet.daemon(killed).kill();
    cr_expect(fleet.caller().waitUntil([&] { return ownsNothing(fleet, killed); }, limit),
              "endpoints of the killed daemon must be taken over");
    cr_expect(fleet.waitForModels(other, 12, limit), "requests must work again");
    fleet.startDaemon(killed);
    cr_expect(fleet.waitForModels(killed, 12, limit), "the restarted daemon must serve");
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}

// Guards against orders of a daemon that was paused past its lease, on engines that check fencing.
Test(daemonfaults, pausedOwnerSendsNoOrderWithFencing, .timeout = 150)
{
    pauseOwnerPastItsLease(true);
}

// Guards against a daemon that was paused past its lease and evicts adapters in use, on engines
// that ignore fencing tokens.
Test(daemonfaults, pausedOwnerEvictsNothingInUseWithoutFencing, .timeout = 150)
{
    pauseOwnerPastItsLease(false);
}
