#pragma once

#include "core/ids.h"
#include "fleet/endpoint.h"

#include <cstddef>
#include <deque>
#include <map>

namespace jackdawlead::decisions {

/// The lives of endpoints that said in an answer of their own that they leave. A mark outlives the
/// endpoint's entry in the store, which may lapse and come back. Thread safety: one thread at a
/// time.
class LeavingEndpoints
{
public:
    /// Marks kept; an endpoint that leaves is gone within a minute.
    static constexpr std::size_t maxEntries = 1000;

    /// Returns whether this is news.
    bool add(const core::EndpointId &id, fleet::StartTime startTime);
    /// Whether this life of the endpoint leaves. A later life does not.
    bool contains(const core::EndpointId &id, fleet::StartTime startTime) const;

private:
    std::map<core::EndpointId, fleet::StartTime> m_marks;
    std::deque<core::EndpointId> m_order; ///< The oldest first.
};

} // namespace jackdawlead::decisions
