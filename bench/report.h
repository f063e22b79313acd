#pragma once

#include "simulation.h"

#include <map>
#include <string>
#include <vector>

namespace jackdawlead::bench {

/// The figures of one policy over all seeds of one deployment.
struct Figures
{
    double stallMean = 0; ///< Seconds, refused requests included with their wait.
    double stallP95 = 0;
    double stallP99 = 0;
    double servedStallMean = 0; ///< Seconds, only requests that were dispatched.
    double batchEfficiency = 0;
    double firstTokenP95 = 0;
    double loadsPerSecond = 0;
    double evictionsPerSecond = 0;
    double promptKbPerSecond = 0;
    double answerKbPerSecond = 0;
    double weightKbPerSecond = 0;
    double refusedShare = 0;
    std::map<std::string, std::size_t> refusals; ///< By reason.
    double fairness = 0; ///< Mean stall of the worst customer over that of the median one.
};

Figures summarize(const std::vector<RunResult> &results, std::size_t customers);

/// What no policy that loads on demand can beat, with all requests known ahead.
struct OfflineBound
{
    double loadsPerSecond = 0; ///< Belady's rule over the slots of each region pooled.
    double stallMean = 0;      ///< 0.25 s for each request that finds its adapter absent.
};

OfflineBound offlineBound(const Deployment &deployment, const std::vector<TraceRequest> &trace);

struct Recovery
{
    double seconds = 0;     ///< Until the stall stays near that of the undisturbed run.
    double excessStall = 0; ///< Stall seconds of all requests above those of the undisturbed run.
};

/// Compares disturbed runs with undisturbed ones of the same seeds. A run has recovered when the
/// mean stall over 30 s stays within 10% (and 5 ms) of the undisturbed run.
Recovery recoveryOf(const std::vector<RunResult> &disturbed,
                    const std::vector<RunResult> &undisturbed, TimePoint from,
                    const Deployment &deployment);

void printDeployment(const Deployment &deployment);
void printFigures(const std::vector<std::pair<Policy, Figures>> &rows, const OfflineBound &bound);

} // namespace jackdawlead::bench
