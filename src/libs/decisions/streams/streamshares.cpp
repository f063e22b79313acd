#include "decisions/streams/streamshares.h"

#include <algorithm>

namespace jackdawlead::decisions::streams {

namespace {

// A smaller part is less than a prompt.
constexpr double minShare = 0.05;

} // namespace

StreamShares sharesOf(std::size_t position, std::size_t daemons,
                      const std::vector<SharedEndpoint> &endpoints)
{
    double total = 0;
    for (const SharedEndpoint &endpoint : endpoints)
        total += endpoint.capacity;
    const double part = total / static_cast<double>(daemons);
    const double begin = part * static_cast<double>(position);
    StreamShares shares;
    double at = 0;
    for (const SharedEndpoint &endpoint : endpoints) {
        const double end = at + endpoint.capacity;
        const double overlap = std::min(end, begin + part) - std::max(at, begin);
        if (endpoint.capacity > 0 && overlap / endpoint.capacity >= minShare)
            shares[endpoint.id] = overlap / endpoint.capacity;
        at = end;
    }
    return shares;
}

} // namespace jackdawlead::decisions::streams
