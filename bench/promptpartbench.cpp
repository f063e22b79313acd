#include "auto/promptparttracker/crashsimulation.h"

#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

// Compares what the daemons can do about parts of prompts that crash endpoints, with whole requests
// as the baseline.
using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

constexpr std::uint64_t seeds = 20;

struct Row
{
    std::string name;
    CrashScenario scenario;
};

CrashScenario warmScenario()
{
    CrashScenario scenario;
    scenario.crashingFrom = std::chrono::seconds(6);
    return scenario;
}

std::vector<Row> rows()
{
    std::vector<Row> rows {{"one part", warmScenario()}, {"one part, cold start", {}}};
    CrashScenario unrelated = warmScenario();
    unrelated.unrelatedCrashesPerSecond = 0.5;
    rows.push_back({"one part, 0.5 other crashes/s", unrelated});
    unrelated.crashingPerSecond = 0.001;
    unrelated.unrelatedCrashesPerSecond = 1;
    rows.push_back({"1 other crash/s only", unrelated});
    CrashScenario two = warmScenario();
    two.crashingParts = 2;
    two.crashingPerSecond = 10;
    rows.push_back({"two parts, 10 requests/s", two});
    CrashScenario rare = warmScenario();
    rare.middleParts = 100000;
    rows.push_back({"rare middle parts", rare});
    CrashScenario large = warmScenario();
    large.endpoints = 117;
    large.soundPerSecond = 300;
    large.hopTime = std::chrono::milliseconds(500);
    rows.push_back({"117 endpoints, hops of 0.5 s", large});
    return rows;
}

void print(const Row &row, CrashPolicy policy, const char *policyName)
{
    CrashResult sum;
    std::size_t laterArrivals = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CrashScenario scenario = row.scenario;
        scenario.seed = seed;
        const CrashResult result = CrashSimulation(scenario, policy).run();
        laterArrivals = std::max(laterArrivals, result.laterArrivals);
        sum.crashes += result.crashes;
        sum.soundParts += result.soundParts;
        sum.blamedParts += result.blamedParts;
        sum.soundRequests += result.soundRequests;
        sum.lostRequests += result.lostRequests;
        sum.delayedRequests += result.delayedRequests;
    }
    const auto mean
        = [](std::size_t value) { return static_cast<double>(value) / static_cast<double>(seeds); };
    const auto share = [&sum](std::size_t value) {
        return 100.0 * static_cast<double>(value) / static_cast<double>(sum.soundRequests);
    };
    std::cout << std::left << std::setw(32) << row.name << std::setw(22) << policyName << std::right
              << std::setw(9) << mean(sum.crashes) << std::setw(8) << laterArrivals << std::setw(6)
              << sum.blamedParts << "/" << std::left << std::setw(8) << sum.soundParts << std::right
              << std::setw(7) << share(sum.lostRequests) << std::setw(9)
              << share(sum.delayedRequests) << "\n";
}

} // namespace

int main()
{
    std::cout << "seeds 1 to " << seeds << ", 20 s each; crashes: mean; later: "
              << "most requests later than 4 s after a part's fifth crash (3 allowed); lost, "
              << "delayed: % of sound requests\n"
              << std::fixed << std::setprecision(1) << std::left << std::setw(54) << ""
              << "  crashes   later blamed/parts    lost  delayed\n";
    for (const Row &row : rows()) {
        print(row, CrashPolicy::Fingerprints, "whole requests");
        print(row, CrashPolicy::Block, "block");
        print(row, CrashPolicy::BlockAndNoRepeats, "block, no repeats");
        print(row, CrashPolicy::HoldSuspects, "hold suspects too");
    }
}
