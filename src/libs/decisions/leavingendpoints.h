#pragma once

#include "core/ids.h"
#include "fleet/endpoint.h"

#include <cstddef>
#include <deque>
#include <map>

namespace jackdawlead::decisions {

/// Endpoint incarnations that announced in one of their responses that they leave. An entry is kept
/// when the record of the endpoint in the store expires, since the record may come back. Thread
/// safety: one thread at a time.
class LeavingEndpoints
{
public:
    /// Maximum number of entries; an endpoint that leaves is removed within a minute.
    static constexpr std::size_t maxEntries = 1000;

    /// Returns whether the entry is new.
    bool add(const core::EndpointId &id, fleet::StartTime startTime);
    /// Whether this incarnation of the endpoint is leaving. A later incarnation is not.
    bool contains(const core::EndpointId &id, fleet::StartTime startTime) const;

private:
    std::map<core::EndpointId, fleet::StartTime> m_startTimes;
    std::deque<core::EndpointId> m_insertionOrder; ///< Oldest entry first.
};

} // namespace jackdawlead::decisions
