#include "support/fleet.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

constexpr core::Duration limit = std::chrono::seconds(40);
constexpr int warmAdapters = 4;
// The second region's daemons and engines are the last two of four.
constexpr std::size_t homeDaemon = 0;
constexpr std::size_t awayDaemon = 2;

} // namespace

// Guards against a region that stops serving while it cannot reach the object API, and against one
// that keeps an old configuration once the object API is reachable again.
Test(regions, eachRegionServesAloneWithoutTheLink, .timeout = 150)
{
    Fleet fleet(
        {.daemons = 4, .engines = 4, .awayDaemons = 2, .awayEngines = 2, .isLinkRelayed = true});
    cr_assert(fleet.isReady());
    cr_expect(fleet.waitForModels(homeDaemon, warmAdapters, limit));
    cr_expect(fleet.waitForModels(awayDaemon, warmAdapters, limit));
    cr_expect(fleet.setLink({{"open", "cut"}, {"new", "refuse"}}));
    cr_expect_eq(fleet.control({"apply", fleet.writeManifest("release-2", 14)}), 0);
    for (int round = 0; round < 8; ++round) {
        std::vector<AnswerPtr> answers;
        for (int number = 1; number <= warmAdapters; ++number)
            for (const std::size_t daemon : {homeDaemon, awayDaemon, awayDaemon + 1})
                answers.push_back(fleet.chat(daemon, Fleet::modelName(number), "alone", false));
        cr_expect(fleet.caller().waitForAll(answers, limit));
        const auto complete = std::ranges::count_if(
            answers, [](const auto &answer) { return answer->isComplete(); });
        cr_expect_eq(complete, 3 * warmAdapters, "%d s into the outage: %d of %d", round,
                     static_cast<int>(complete), 3 * warmAdapters);
        fleet.caller().runLoopFor(std::chrono::seconds(1));
    }
    cr_expect(fleet.setLink({{"new", "ok"}}));
    cr_expect(fleet.caller().waitUntil(
        [&] { return fleet.generation(awayDaemon) >= 2 && fleet.generation(awayDaemon + 1) >= 2; },
        std::chrono::seconds(16)));
    cr_expect(fleet.waitForModels(awayDaemon, warmAdapters, limit));
    cr_expect_eq(fleet.engineCounter("engine_evictions_in_use_total"), 0);
}
