#include "auto/streamforecast/streampolicies.h"

#include <cstdint>
#include <iomanip>
#include <iostream>
#include <string>

// Compares the choice by predicted pauses with the choice by load and with a chooser that knows the
// state of all endpoints, in virtual time.
using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

struct Row
{
    std::string name;
    StreamScenario scenario;
};

template <typename Policy> StreamResult print(const char *policy, const StreamScenario &scenario)
{
    const StreamResult result = StreamSimulation<Policy>(scenario).run();
    std::cout << "  " << std::left << std::setw(12) << policy << std::right << " late "
              << std::setw(6) << result.late << " of " << result.streams << " ("
              << result.lateShare() << "), first event " << result.lateFirst << ", with 3 s "
              << result.lateAtThree << ", refused " << result.refused << ", wait "
              << result.meanWaitMilliseconds << " ms";
    if (result.sentWhileSlow > 0)
        std::cout << ", sent to endpoint 0 " << result.sentToSlow << " of " << result.sentWhileSlow;
    std::cout << std::endl;
    return result;
}

std::vector<Row> rows(std::uint64_t seed)
{
    std::vector<Row> rows;
    StreamScenario scenario;
    scenario.seed = seed;
    for (const double rate : {300.0, 400.0, 450.0, 500.0, 550.0, 600.0, 625.0}) {
        scenario.requestsPerSecond = rate;
        rows.push_back({"any endpoint", scenario});
    }
    scenario.daemonSkew = 2;
    for (const double rate : {400.0, 450.0}) {
        scenario.requestsPerSecond = rate;
        rows.push_back({"any endpoint, busy daemons", scenario});
    }
    scenario.daemonSkew = 1;
    scenario.holders = 6;
    for (const double rate : {300.0, 400.0, 450.0}) {
        scenario.requestsPerSecond = rate;
        rows.push_back({"one of 6 endpoints", scenario});
    }
    scenario.holders = 0;
    scenario.slowAt = std::chrono::seconds(20);
    scenario.slowEnd = std::chrono::seconds(40);
    scenario.requestsPerSecond = 400;
    rows.push_back({"endpoint 0 turns slow", scenario});
    scenario.slowFactor = 1;
    rows.push_back({"the same without a change", scenario});
    return rows;
}

} // namespace

int main(int argc, char *argv[])
{
    const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : 1;
    std::cout << "71 daemons, 60 endpoints with time factors 0.7, 0.7, 1.7, seed " << seed << "\n"
              << std::fixed << std::setprecision(3);
    for (const Row &row : rows(seed)) {
        std::cout << row.name << ", " << row.scenario.requestsPerSecond << " streams/s\n";
        const StreamResult known = print<AllKnowingChooser>("all-knowing", row.scenario);
        const StreamResult present = print<PresentChooser>("by load", row.scenario);
        const StreamResult forecast = print<ForecastChooser>("forecast", row.scenario);
        std::cout << "  late by forecast / by load " << forecast.lateShare() / present.lateShare();
        if (known.late > 0)
            std::cout << ", / all-knowing " << forecast.lateShare() / known.lateShare();
        std::cout << "\n";
    }
    return 0;
}
