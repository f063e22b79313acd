#pragma once

#include "core/ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace jackdawlead::decisions::streams {

/// An endpoint and how much of the streams it can take, in any unit.
struct SharedEndpoint
{
    core::EndpointId id;
    double capacity = 1;
};

/// Which part of each endpoint is meant for one daemon.
using StreamShares = std::map<core::EndpointId, double>;

/// Divides the endpoints among `daemons` daemons with equal capacity for each and as few daemons
/// for each endpoint as possible, and returns the part of the daemon at `position`. A daemon knows
/// its own prompts at once and those of others only from reports that are older than the time to
/// read a prompt; with few daemons at an endpoint it knows most of what arrives there. Neighbours
/// in the order of the endpoints and of the daemons are combined. Precondition: position < daemons.
StreamShares sharesOf(std::size_t position, std::size_t daemons,
                      const std::vector<SharedEndpoint> &endpoints);

} // namespace jackdawlead::decisions::streams
