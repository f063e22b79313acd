#pragma once

#include "simulation.h"

#include <random>
#include <vector>

namespace jackdawlead::bench {

/// An endpoint of the caller's region, with the state that baseline policies use.
struct BaselineCandidate
{
    std::size_t engine = 0;
    core::EndpointId id;
    int outstanding = 0;
    bool isHolder = false;
};

/// Returns the engine to which a baseline policy sends the request. Precondition: `candidates` is
/// not empty.
std::size_t selectBaselineEngine(Policy policy, const core::AdapterVersion &adapter,
                                 const std::vector<BaselineCandidate> &candidates,
                                 std::mt19937_64 &random);

} // namespace jackdawlead::bench
