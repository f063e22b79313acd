#pragma once

#include "simulation.h"

#include <random>
#include <vector>

namespace jackdawlead::bench {

/// An endpoint of the caller's region, as a baseline sees it.
struct BaselineChoice
{
    std::size_t engine = 0;
    core::EndpointId id;
    int outstanding = 0;
    bool isHolder = false;
};

/// The engine that a baseline policy sends the request to. Precondition: there is a choice.
std::size_t chooseBaseline(Policy policy, const core::AdapterVersion &adapter,
                           const std::vector<BaselineChoice> &choices, std::mt19937_64 &random);

} // namespace jackdawlead::bench
