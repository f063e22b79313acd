#include "auto/quota/quotasimulation.h"

#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

// Compares the allowances that the coordinator issues with equal shares of the quota, and with
// permits that expire after 1 s, as baselines. The argument is the number of seeds; "drawn FIRST
// LAST" checks the bound in the scenarios drawn from these seeds instead.
using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

using std::chrono::seconds;

struct Row
{
    std::string name;
    QuotaScenario scenario;
};

constexpr auto resultFields
    = {&QuotaResult::servedOfLimit,    &QuotaResult::servedOfDemand, &QuotaResult::waited,
       &QuotaResult::meanWaitMs,       &QuotaResult::exhausted,      &QuotaResult::unavailable,
       &QuotaResult::reportsPerSecond, &QuotaResult::callsPerSecond, &QuotaResult::unfairness};

template <typename Policy> void print(const char *policy, const Row &row, std::uint64_t seeds)
{
    QuotaResult mean;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        QuotaScenario scenario = row.scenario;
        scenario.seed = seed;
        const QuotaResult result = QuotaSimulation<Policy>(scenario).run();
        for (const auto field : resultFields)
            mean.*field += result.*field / static_cast<double>(seeds);
        mean.worstWindow = std::max(mean.worstWindow, result.worstWindow);
    }
    std::cout << std::left << std::setw(34) << row.name << std::setw(11) << policy << std::right
              << std::fixed << std::setprecision(3);
    for (const double value :
         {mean.servedOfLimit, mean.servedOfDemand, mean.worstWindow, mean.waited})
        std::cout << std::setw(8) << value;
    std::cout << std::setprecision(1) << std::setw(8) << mean.meanWaitMs << std::setprecision(3)
              << std::setw(8) << mean.exhausted << std::setw(8) << mean.unavailable
              << std::setprecision(0) << std::setw(8) << mean.reportsPerSecond << std::setw(8)
              << mean.callsPerSecond << std::setprecision(3) << std::setw(8) << mean.unfairness
              << "\n";
}

QuotaFault faultOf(QuotaFault::Kind kind, core::Duration at, core::Duration length, int first,
                   int count)
{
    QuotaFault fault {kind, at, length, {}};
    for (int i = first; i < first + count; ++i)
        fault.daemons.push_back(i);
    return fault;
}

void addFaults(QuotaScenario &scenario)
{
    using Kind = QuotaFault::Kind;
    const int part = scenario.daemons * 35 / 100;
    scenario.faults = {faultOf(Kind::Freeze, seconds(9), seconds(4), 0, 3),
                       faultOf(Kind::Cut, seconds(15), seconds(12), 5, part),
                       faultOf(Kind::LoseCoordinator, seconds(30), seconds(5), 0, 0),
                       faultOf(Kind::CutAnswers, seconds(38), seconds(12), 20, part),
                       faultOf(Kind::KillAll, seconds(52), seconds(4), 0, 0)};
    scenario.loss = 0.02;
}

std::vector<Row> makeRows()
{
    std::vector<Row> rows;
    for (const auto &[rate, daemons] :
         {std::pair(4200.0, 65), {62878.0, 65}, {367496.0, 65}, {53953.0, 72}}) {
        for (const bool hasBurst : {true, false}) {
            QuotaScenario scenario;
            scenario.daemons = daemons;
            scenario.quota = {rate, hasBurst ? rate : 0};
            std::string name = "r ";
            name.append(std::to_string(static_cast<int>(rate)));
            name.append(hasBurst ? ", b = r, " : ", b = 0, ");
            for (const double load : {0.3, 0.55, 1.0, 4.2}) {
                scenario.loads = {{{}, load}};
                const std::string text = "load " + std::to_string(load).substr(0, 4);
                rows.push_back({name + text, scenario});
            }
            scenario.loads = {{{}, 0.55}, {seconds(20), 4.1}, {seconds(30), 0.55}};
            rows.push_back({name + "jump", scenario});
            scenario.loads = {{{}, 1}};
            addFaults(scenario);
            rows.push_back({name + "load 1, faults", scenario});
        }
    }
    return rows;
}

/// Prints the drawn scenarios that break the bound, and the largest part of it that was used.
int checkDrawn(std::uint64_t first, std::uint64_t last)
{
    double worst = 0;
    double worstHeld = 0;
    int broken = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        const QuotaScenario scenario = drawQuotaScenario(seed);
        const QuotaResult result = QuotaSimulation<IssuedAllowances>(scenario).run();
        worst = std::max(worst, result.worstWindow);
        worstHeld = std::max(worstHeld, result.worstHeld);
        constexpr double rounding = 1e-6;
        if (result.worstWindow <= 1 && result.worstHeld <= 1 + rounding)
            continue;
        ++broken;
        std::cout << "seed " << seed << ": " << result.worstWindow << " of the bound, from "
                  << result.worstFrom << " s; " << result.worstHeld << " of the capacity held\n";
    }
    std::cout << "drawn seeds " << first << " to " << last << ": " << broken
              << " broke a bound; at most " << worst << " of the bound was used and " << worstHeld
              << " of the capacity held\n";
    return broken == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv, argv + argc);
    if (arguments.size() == 4 && arguments[1] == "drawn")
        return checkDrawn(std::stoull(arguments[2]), std::stoull(arguments[3]));
    constexpr std::uint64_t defaultSeeds = 5;
    const std::uint64_t seeds = arguments.size() > 1 ? std::stoull(arguments[1]) : defaultSeeds;
    std::cout << "seeds 1 to " << seeds
              << "; served of the limit and of the demand; most tokens in 8 s as a part of the"
                 " bound; part of the served requests that waited; mean added wait in ms; 429; 503;"
                 " messages to the coordinator and immediate calls per second; unfairness\n";
    for (const Row &row : makeRows()) {
        print<IssuedAllowances>("allowances", row, seeds);
        print<EqualShares>("shares", row, seeds);
        print<ExpiringPermits>("permits", row, seeds);
    }
    return 0;
}
