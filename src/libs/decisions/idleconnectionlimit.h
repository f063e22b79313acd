#pragma once

#include <algorithm>
#include <cstddef>

namespace jackdawlead::decisions {

/// Number of idle connections that one of `daemons` keeps to an endpoint which accepts
/// `maxConnections` from all daemons together. Half of that limit is for connections in use. The
/// result is at least 1, because otherwise each request would open a new connection.
/// Thread safety: any thread.
constexpr std::size_t idleConnectionLimit(std::size_t maxConnections, int daemons)
{
    constexpr std::size_t inUseDivisor = 2;
    return std::max<std::size_t>(
        1, maxConnections / inUseDivisor / static_cast<std::size_t>(std::max(1, daemons)));
}

} // namespace jackdawlead::decisions
