#pragma once

#include "decisions/adapterplanner.h"

#include <cmath>
#include <random>
#include <vector>

namespace jackdawlead::testsupport {

/// Returns the Zipf distribution of ranks from 0 to `count` - 1: the weight of rank r is (r + 1) ^
/// -`skew`. Precondition: `count` is greater than 0.
inline std::discrete_distribution<int> zipfDistribution(int count, double skew)
{
    std::vector<double> weights;
    for (int rank = 1; rank <= count; ++rank)
        weights.push_back(std::pow(rank, -skew));
    return {weights.begin(), weights.end()};
}

/// Adds an endpoint to the planner and applies its first report, with the models of its engine and
/// no adapter. Thread safety: one thread at a time, as for the planner.
inline void addEmptyEndpoint(decisions::AdapterPlanner &planner, const core::EndpointId &id,
                             const core::RegionId &region, const fleet::EngineSpec &engine,
                             core::TimePoint now)
{
    fleet::Endpoint endpoint;
    endpoint.id = id;
    endpoint.slots = engine.slots;
    planner.setEndpoint(endpoint, region, engine);
    fleet::EndpointReport report;
    for (const fleet::ModelSpec &spec : engine.models)
        report.models.push_back({spec.model, 1, {}});
    planner.applyReport(id, report, now);
}

} // namespace jackdawlead::testsupport
