#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jackdawlead::bench {

using core::Duration;
using core::TimePoint;

/// Parameters of one deployment and its traffic. All of them are printed with the results.
struct Deployment
{
    std::string name;
    std::size_t runners = 20;
    std::size_t adapters = 3000;
    std::size_t customers = 24;
    std::size_t slots = 6;
    std::size_t maxBatch = 64;
    double storeLoadsPerSecond = 6;
    std::size_t storeConcurrentLoads = 2;
    double requestsPerSecond = 20;
    double stallWeight = 0.5;
    double zipfExponent = 1.2;
    double homeRegionShare = 2.0 / 3.0; ///< Of the sessions and of the runners.
    double requestsPerSession = 4;
    double thinkSeconds = 8;
    double outputTokens = 120; ///< Mean; at least 16.
    Duration length = std::chrono::seconds(600);
    Duration warmUp = std::chrono::seconds(120);
};

struct TraceRequest
{
    TimePoint arrival;
    TimePoint deadline;
    std::size_t adapter = 0;
    std::size_t customer = 0;
    std::size_t session = 0;
    bool isHomeRegion = true;
    int promptTokens = 0;
    int sharedTokens = 0; ///< Prompt tokens in common with earlier requests of the session.
    int outputTokens = 0;
};

/// Generates the requests of a deployment, ordered by arrival. Sessions draw an adapter by
/// Zipf popularity; 17% of the adapters change their popularity rank in an hour; every minute has a
/// burst of 5 s at three times the rate. At `shiftAt`, half of the adapters change rank at once.
/// The same seed gives the same trace. Thread safety: any thread.
std::vector<TraceRequest> makeTrace(const Deployment &deployment, std::uint64_t seed,
                                    TimePoint shiftAt = TimePoint::max());

} // namespace jackdawlead::bench
