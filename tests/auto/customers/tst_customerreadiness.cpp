#include "gateway/customers/customerreadiness.h"

#include <criterion/criterion.h>

#include <vector>

using namespace jackdawlead;
using gateway::customers::CustomerReadiness;

// Guards against an upgrade that leaves daemons without a check of keys unnoticed, against warnings
// of daemons that are about to read the configuration, and against a line for each report.
Test(customerreadiness, lastingChangesAreWarnedOfOnce)
{
    CustomerReadiness readiness;
    const std::set<core::HostId> both {core::HostId("h1"), core::HostId("h2")};
    const std::set<core::HostId> one {core::HostId("h2")};
    std::vector<std::pair<int, std::string>> warnings;
    for (int tenths = 0; tenths < 1000; ++tenths) {
        const core::TimePoint now {std::chrono::milliseconds(1000000 + tenths * 100)};
        std::set<core::HostId> lacking;
        if (tenths >= 100 && tenths < 400) // Lasts.
            lacking = tenths < 200 ? both : one;
        if (tenths >= 600 && tenths < 640) // Ends within the settling time.
            lacking = both;
        if (auto warning = readiness.update(lacking, now))
            warnings.emplace_back(tenths, *std::move(warning));
    }
    cr_assert_eq(warnings.size(), 3);
    cr_expect_eq(warnings[0].first, 150);
    cr_expect(warnings[0].second.find("2 daemons") != std::string::npos);
    cr_expect(warnings[0].second.find("h1, h2") != std::string::npos);
    cr_expect_eq(warnings[1].first, 250);
    cr_expect(warnings[1].second.find("1 daemons") != std::string::npos);
    cr_expect_eq(warnings[2].first, 450);
}
