#pragma once

#include <algorithm>
#include <cstddef>

namespace jackdawlead::decisions {

/// How many idle connections one of `daemons` keeps to an endpoint that takes `most` from all
/// callers together: half of the limit is for connections in use. At least one, without which each
/// request would open a new one.
constexpr std::size_t idleConnectionLimit(std::size_t most, int daemons)
{
    constexpr std::size_t partsForUse = 2;
    return std::max<std::size_t>(
        1, most / partsForUse / static_cast<std::size_t>(std::max(1, daemons)));
}

} // namespace jackdawlead::decisions
