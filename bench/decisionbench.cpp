#include "report.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>
#include <string>

using namespace jackdawlead::bench;

namespace {

constexpr Policy policies[] = {Policy::Random, Policy::LeastLoaded, Policy::ConsistentHash,
                               Policy::ShortestHolder, Policy::Jackdawlead};

struct Options
{
    std::uint64_t seed = 1;
    std::size_t seeds = 3;
    std::string deployment;
    bool isRecoveryMeasured = true;
    bool isOwnOnly = false;
};

std::vector<Deployment> deployments()
{
    const Deployment q {.name = "Q", .slots = 6, .stallWeight = 0.8};
    const Deployment s {.name = "S",
                        .runners = 12,
                        .slots = 6,
                        .storeLoadsPerSecond = 4,
                        .requestsPerSecond = 12,
                        .stallWeight = 0.2};
    std::vector<Deployment> all {q, s, q, s};
    for (std::size_t index = 2; index < all.size(); ++index) {
        all[index].name += " x10";
        all[index].requestsPerSecond *= 10;
    }
    return all;
}

std::vector<RunResult> runSeeds(const Deployment &deployment, Policy policy,
                                Disturbance disturbance, const Options &options)
{
    std::vector<RunResult> results;
    for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
        const auto trace
            = makeTrace(deployment, seed,
                        disturbance == Disturbance::PopularityShift ? Simulation::disturbedAt
                                                                    : TimePoint::max());
        results.push_back(Simulation(deployment, trace, policy, disturbance, seed).run());
    }
    return results;
}

void printUndisturbed(const Deployment &deployment, const Options &options)
{
    std::vector<std::pair<Policy, PolicyMetrics>> rows;
    for (const Policy policy : policies)
        if (!options.isOwnOnly || policy == Policy::Jackdawlead)
            rows.emplace_back(policy,
                              summarize(runSeeds(deployment, policy, Disturbance::None, options),
                                        deployment.customers));
    printMetrics(rows, offlineBound(deployment, makeTrace(deployment, options.seed)));
}

void printRecovery(const Deployment &deployment, const Options &options)
{
    std::printf("recovery s / excess stall s a run: shift, restart of a fifth, store at a quarter "
                "for 60 s\n");
    for (const Policy policy : policies) {
        if (options.isOwnOnly && policy != Policy::Jackdawlead)
            continue;
        const auto undisturbed = runSeeds(deployment, policy, Disturbance::None, options);
        std::printf("%-16s", toString(policy));
        for (const auto &[disturbance, recoveryStart] :
             {std::pair(Disturbance::PopularityShift, Simulation::disturbedAt),
              std::pair(Disturbance::EngineRestart, Simulation::disturbedAt),
              std::pair(Disturbance::SlowStore, Simulation::storeRecoversAt)}) {
            const Recovery recovery
                = measureRecovery(runSeeds(deployment, policy, disturbance, options), undisturbed,
                                  recoveryStart, deployment);
            std::printf(" %5.0f / %7.0f", recovery.seconds, recovery.excessStall);
        }
        std::printf("\n");
    }
}

bool parse(int argc, char **argv, Options &options)
{
    namespace po = boost::program_options;
    po::options_description description(
        "decisionbench: compares the decisions with common baseline policies");
    description.add_options()("help", "print this text")(
        "seed", po::value(&options.seed)->default_value(1), "first seed")(
        "seeds", po::value(&options.seeds)->default_value(3),
        "number of seeds to pool")("deployment", po::value(&options.deployment),
                                   "run only this deployment: Q, S, 'Q x10', 'S x10'")(
        "no-recovery", "skip the runs with disturbances")("own-only", "skip the baseline policies");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    options.isRecoveryMeasured = !values.contains("no-recovery");
    options.isOwnOnly = values.contains("own-only");
    if (values.contains("help"))
        std::cout << description;
    return !values.contains("help");
}

} // namespace

int main(int argc, char **argv)
try {
    Options options;
    if (!parse(argc, argv, options))
        return 0;
    std::printf("decisionbench --seed %llu --seeds %zu\n",
                static_cast<unsigned long long>(options.seed), options.seeds);
    std::printf("link columns in KB/s; unfair: mean stall of the worst customer over the median "
                "customer's; adapters of 20 MB\n");
    for (const Deployment &deployment : deployments()) {
        if (!options.deployment.empty() && options.deployment != deployment.name)
            continue;
        printDeployment(deployment);
        printUndisturbed(deployment, options);
        if (options.isRecoveryMeasured)
            printRecovery(deployment, options);
        std::fflush(stdout);
    }
    return 0;
} catch (const std::exception &error) {
    std::cerr << "decisionbench: " << error.what() << "\n";
    return 2;
}
