#include "auto/requestpermits/limitsimulation.h"

#include <iomanip>
#include <iostream>
#include <string>

// Compares the permits that the coordinator issues with equal shares of the limit as a baseline.
using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

constexpr std::uint64_t seeds = 5;

struct Row
{
    std::string name;
    LimitScenario scenario;
};

template <LimitPolicy Policy> LimitResult meanOf(const LimitScenario &scenario)
{
    LimitResult mean;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LimitScenario seeded = scenario;
        seeded.seed = seed;
        const LimitResult result = LimitSimulation<Policy>(seeded).run();
        mean.servedShare += result.servedShare / static_cast<double>(seeds);
        mean.worstWindow = std::max(mean.worstWindow, result.worstWindow);
    }
    return mean;
}

LimitScenario scenarioOf(int daemons, double firstDaemonShare, int cutOffDaemons)
{
    LimitScenario scenario;
    scenario.daemons = daemons;
    scenario.firstDaemonShare = firstDaemonShare;
    scenario.cutOffDaemons = cutOffDaemons;
    constexpr int largeFleet = 100;
    if (daemons >= largeFleet)
        scenario.reportPeriod = std::chrono::milliseconds(750);
    return scenario;
}

} // namespace

int main()
{
    std::cout << "limit 1.4 requests per second, 20 requests per second, seeds 1 to " << seeds
              << "; served share of the limit, most requests in 4 s\n"
              << std::left << std::setw(30) << ""
              << "permits        equal shares   ratio\n"
              << std::fixed << std::setprecision(2);
    std::vector<Row> rows;
    for (const int daemons : {7, 60, 195}) {
        const std::string name = std::to_string(daemons) + " daemons";
        rows.push_back({name + ", balanced", scenarioOf(daemons, 0, 0)});
        rows.push_back({name + ", skewed", scenarioOf(daemons, 0.8, 0)});
        rows.push_back({name + ", one cut off", scenarioOf(daemons, 0, 1)});
        rows.push_back({name + ", no coordinator", scenarioOf(daemons, 0, daemons)});
    }
    for (const Row &row : rows) {
        const LimitResult issued = meanOf<IssuedPermits>(row.scenario);
        const LimitResult equal = meanOf<EqualShares>(row.scenario);
        std::cout << std::setw(30) << row.name << issued.servedShare << ", " << std::setw(9)
                  << issued.worstWindow << equal.servedShare << ", " << std::setw(9)
                  << equal.worstWindow << issued.servedShare / equal.servedShare << "\n";
    }
    return 0;
}
