#pragma once

#include "simulation.h"

#include <map>
#include <string>
#include <vector>

namespace jackdawlead::bench {

/// Results of one policy, pooled over all seeds of one deployment.
struct PolicyMetrics
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

PolicyMetrics summarize(const std::vector<RunResult> &results, std::size_t customers);

/// Lower bounds for policies that load on demand, computed from all requests in advance.
struct OfflineBound
{
    double loadsPerSecond = 0; ///< With Belady's rule over the pooled slots of each region.
    double stallMean = 0;      ///< 0.25 s for each request that misses its adapter.
};

OfflineBound offlineBound(const Deployment &deployment, const std::vector<TraceRequest> &trace);

struct Recovery
{
    double seconds = 0;     ///< Until the stall stays near that of the undisturbed run.
    double excessStall = 0; ///< Stall seconds of all requests above those of the undisturbed run.
};

/// Compares disturbed runs with undisturbed ones of the same seeds. A run has recovered when the
/// mean stall over 30 s stays within 10% (and 5 ms) of the undisturbed run.
Recovery measureRecovery(const std::vector<RunResult> &disturbed,
                         const std::vector<RunResult> &undisturbed, TimePoint from,
                         const Deployment &deployment);

void printDeployment(const Deployment &deployment);
void printMetrics(const std::vector<std::pair<Policy, PolicyMetrics>> &rows,
                  const OfflineBound &bound);

} // namespace jackdawlead::bench
