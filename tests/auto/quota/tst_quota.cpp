#include "quotasimulation.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

// Guards against daemons that together spend more than the bound in any window.
Test(quota, spentTokensStayWithinEachWindow)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const QuotaResult result = QuotaSimulation<IssuedAllowances>(drawQuotaScenario(seed)).run();
        cr_expect_leq(result.worstWindow, 1, "seed %lu: %.3f of the bound", seed,
                      result.worstWindow);
    }
}
