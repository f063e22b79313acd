#pragma once

#include "cluster.h"

#include <string>
#include <vector>

namespace jackdawlead::faults {

struct Result
{
    std::vector<Violation> violations;
    std::size_t strikes = 0; ///< Times that a planned fault struck.
    std::size_t requests = 0;
    std::size_t completed = 0;
};

/// Runs one schedule: four daemons in two regions, three engines, callers, operators, a daemon
/// that dies, one that stops as planned, and an endpoint that leaves for a while; with the faults
/// of the plan on top. Equal plans give equal results.
Result runSchedule(const Plan &plan);

} // namespace jackdawlead::faults
