#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <map>
#include <numeric>
#include <set>

namespace jackdawlead::bench {

namespace {

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double mean(const std::vector<double> &values)
{
    return values.empty()
        ? 0
        : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + index);
    return values[static_cast<std::size_t>(index)];
}

double worstToMedian(const std::vector<std::vector<double>> &byCustomer)
{
    std::vector<double> means;
    for (const std::vector<double> &stalls : byCustomer)
        if (stalls.size() >= 20)
            means.push_back(mean(stalls));
    const double median = quantile(means, 0.5);
    return median > 0 ? std::ranges::max(means) / median : 0;
}

// Counts the misses of Belady's replacement rule for one region.
std::size_t beladyMisses(const std::vector<const TraceRequest *> &requests, std::size_t slots,
                         TimePoint from)
{
    constexpr std::size_t never = std::numeric_limits<std::size_t>::max();
    std::vector<std::size_t> next(requests.size(), never);
    std::map<std::size_t, std::size_t> seen;
    for (std::size_t index = requests.size(); index-- > 0;) {
        if (const auto found = seen.find(requests[index]->adapter); found != seen.end())
            next[index] = found->second;
        seen[requests[index]->adapter] = index;
    }
    std::map<std::size_t, std::size_t> nextUse; // By adapter.
    std::set<std::pair<std::size_t, std::size_t>> byNextUse;
    std::size_t misses = 0;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const std::size_t adapter = requests[index]->adapter;
        if (const auto held = nextUse.find(adapter); held != nextUse.end()) {
            byNextUse.erase({held->second, adapter});
        } else {
            misses += requests[index]->arrival >= from ? 1 : 0;
            if (nextUse.size() >= slots) {
                const auto victim = std::prev(byNextUse.end());
                nextUse.erase(victim->second);
                byNextUse.erase(victim);
            }
        }
        nextUse[adapter] = next[index];
        byNextUse.emplace(next[index], adapter);
    }
    return misses;
}

} // namespace

PolicyMetrics summarize(const std::vector<RunResult> &results, std::size_t customers)
{
    std::vector<double> stalls;
    std::vector<double> dispatched;
    std::vector<double> firstTokens;
    std::vector<std::vector<double>> byCustomer(customers);
    PolicyMetrics metrics;
    double seconds = 0;
    double refused = 0;
    for (const RunResult &result : results) {
        for (const RunResult::Sample &sample : result.samples) {
            stalls.push_back(toSeconds(sample.stall));
            byCustomer[sample.customer].push_back(stalls.back());
            refused += sample.isRefused ? 1 : 0;
            if (sample.isRefused)
                continue;
            dispatched.push_back(stalls.back());
            firstTokens.push_back(toSeconds(sample.firstToken));
        }
        seconds += result.measuredSeconds;
        for (const auto &[reason, count] : result.refusals)
            metrics.refusals[reason] += count;
        metrics.batchEfficiency += result.batchEfficiency / static_cast<double>(results.size());
        metrics.loadsPerSecond += static_cast<double>(result.loads);
        metrics.evictionsPerSecond += static_cast<double>(result.evictions);
        metrics.promptKbPerSecond += result.promptLinkBytes / 1000;
        metrics.answerKbPerSecond += result.answerLinkBytes / 1000;
        metrics.weightKbPerSecond += result.weightLinkBytes / 1000;
    }
    for (double *perSecond :
         {&metrics.loadsPerSecond, &metrics.evictionsPerSecond, &metrics.promptKbPerSecond,
          &metrics.answerKbPerSecond, &metrics.weightKbPerSecond})
        *perSecond /= seconds;
    metrics.stallMean = mean(stalls);
    metrics.stallP95 = quantile(stalls, 0.95);
    metrics.stallP99 = quantile(stalls, 0.99);
    metrics.servedStallMean = mean(dispatched);
    metrics.firstTokenP95 = quantile(firstTokens, 0.95);
    metrics.refusedShare = refused / static_cast<double>(stalls.size());
    metrics.fairness = worstToMedian(byCustomer);
    return metrics;
}

OfflineBound offlineBound(const Deployment &deployment, const std::vector<TraceRequest> &trace)
{
    const TimePoint from(deployment.warmUp);
    std::size_t misses = 0;
    for (const bool isHomeRegion : {true, false}) {
        std::vector<const TraceRequest *> requests;
        for (const TraceRequest &request : trace)
            if (request.isHomeRegion == isHomeRegion)
                requests.push_back(&request);
        const double share
            = isHomeRegion ? deployment.homeRegionShare : 1 - deployment.homeRegionShare;
        const auto slots = static_cast<std::size_t>(
            std::lround(share * static_cast<double>(deployment.runners * deployment.slots)));
        misses += beladyMisses(requests, slots, from);
    }
    const auto measured = static_cast<double>(
        std::ranges::count_if(trace, [from](const auto &entry) { return entry.arrival >= from; }));
    return {.loadsPerSecond
            = static_cast<double>(misses) / toSeconds(deployment.length - deployment.warmUp),
            .stallMean = 0.25 * static_cast<double>(misses) / measured};
}

Recovery measureRecovery(const std::vector<RunResult> &disturbed,
                         const std::vector<RunResult> &undisturbed, TimePoint from,
                         const Deployment &deployment)
{
    constexpr Duration window = std::chrono::seconds(30);
    const auto stallsBetween
        = [](const std::vector<RunResult> &results, TimePoint begin, TimePoint end) {
              std::vector<double> stalls;
              for (const RunResult &result : results)
                  for (const RunResult::Sample &sample : result.samples)
                      if (sample.arrival >= begin && sample.arrival < end)
                          stalls.push_back(toSeconds(sample.stall));
              return stalls;
          };
    const TimePoint end(deployment.length);
    Recovery recovery;
    TimePoint recovered = from;
    for (TimePoint begin = from; begin + window <= end; begin += std::chrono::seconds(5)) {
        const double steady = mean(stallsBetween(undisturbed, begin, begin + window));
        if (mean(stallsBetween(disturbed, begin, begin + window)) > steady * 1.1 + 0.005)
            recovered = begin + std::chrono::seconds(5);
    }
    recovery.seconds = toSeconds(recovered - from);
    const auto after = stallsBetween(disturbed, Simulation::disturbedAt, end);
    const auto reference = stallsBetween(undisturbed, Simulation::disturbedAt, end);
    recovery.excessStall = std::accumulate(after.begin(), after.end(), 0.0)
        - std::accumulate(reference.begin(), reference.end(), 0.0);
    recovery.excessStall /= static_cast<double>(disturbed.size());
    return recovery;
}

void printDeployment(const Deployment &deployment)
{
    std::printf("\n%s: %zu runners (%.0f%% in the home region), %zu slots and a batch of %zu each, "
                "%zu adapters, %zu customers\n",
                deployment.name.c_str(), deployment.runners, deployment.homeRegionShare * 100,
                deployment.slots, deployment.maxBatch, deployment.adapters, deployment.customers);
    std::printf("store %.1f loads/s, %zu at once; %.0f requests/s, Zipf %.2f, %.0f requests a "
                "session with %.0f s between, 400 prompt tokens at first and 150 more each time, "
                "%.0f tokens of output, deadline 6 to 14 s, weight of load stalls %.2f, %.0f s "
                "after %.0f s of warm-up\n",
                deployment.storeLoadsPerSecond, deployment.storeConcurrentLoads,
                deployment.requestsPerSecond, deployment.zipfExponent,
                deployment.requestsPerSession, deployment.thinkSeconds, deployment.outputTokens,
                deployment.stallWeight, toSeconds(deployment.length - deployment.warmUp),
                toSeconds(deployment.warmUp));
}

void printMetrics(const std::vector<std::pair<Policy, PolicyMetrics>> &rows,
                  const OfflineBound &bound)
{
    std::printf("%-16s %8s %7s %7s %8s %6s %7s %7s %7s %8s %8s %9s %8s %6s\n", "policy", "stall s",
                "p95", "p99", "served s", "batch", "ttft95", "loads/s", "evict/s", "prompt",
                "answer", "weights", "refused", "unfair");
    PolicyMetrics best = rows.front().second;
    for (const auto &[policy, metrics] : rows) {
        std::printf("%-16s %8.3f %7.3f %7.3f %8.3f %6.3f %7.3f %7.2f %7.2f %8.2f %8.2f %9.0f "
                    "%7.2f%% %6.2f\n",
                    toString(policy), metrics.stallMean, metrics.stallP95, metrics.stallP99,
                    metrics.servedStallMean, metrics.batchEfficiency, metrics.firstTokenP95,
                    metrics.loadsPerSecond, metrics.evictionsPerSecond, metrics.promptKbPerSecond,
                    metrics.answerKbPerSecond, metrics.weightKbPerSecond,
                    metrics.refusedShare * 100, metrics.fairness);
        if (policy == Policy::Jackdawlead)
            continue;
        best.stallMean = std::min(best.stallMean, metrics.stallMean);
        best.batchEfficiency = std::max(best.batchEfficiency, metrics.batchEfficiency);
        best.firstTokenP95 = std::min(best.firstTokenP95, metrics.firstTokenP95);
        best.refusedShare = std::min(best.refusedShare, metrics.refusedShare);
        best.fairness = std::min(best.fairness, metrics.fairness);
    }
    const PolicyMetrics &jackdawleadMetrics = rows.back().second;
    std::printf("ratio to the best baseline of each column: stall %.2f, batch %.2f, ttft95 %.2f, "
                "unfair %.2f, refused %+.2f points; ttft95 limit 0.44 s %s\n",
                jackdawleadMetrics.stallMean / best.stallMean,
                jackdawleadMetrics.batchEfficiency / best.batchEfficiency,
                jackdawleadMetrics.firstTokenP95 / best.firstTokenP95,
                jackdawleadMetrics.fairness / best.fairness,
                (jackdawleadMetrics.refusedShare - best.refusedShare) * 100,
                jackdawleadMetrics.firstTokenP95 <= 0.44 ? "kept" : "missed");
    for (const auto &[reason, count] : jackdawleadMetrics.refusals)
        std::printf("refused: %s: %zu\n", reason.c_str(), count);
    std::printf("offline bound on demand: %.2f loads/s, stall %.4f s\n", bound.loadsPerSecond,
                bound.stallMean);
}

} // namespace jackdawlead::bench
