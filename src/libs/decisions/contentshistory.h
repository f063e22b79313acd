#pragma once

#include "decisions/placementview.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace jackdawlead::decisions {

/// Contents of the endpoints and the revision at which each part changed, so that each daemon
/// receives only deltas. An order changes one adapter of an endpoint; sending all adapters of the
/// endpoint to each daemon filled the link and the CPU share of the coordinator on a deployment of
/// 85 daemons. Thread safety: one thread at a time.
class ContentsHistory
{
public:
    /// Sets the contents of the endpoint from `revision` on; revisions increase across all
    /// endpoints. Unchanged contents are not sent again.
    void update(const core::EndpointId &id, const EndpointContents &contents,
                std::uint64_t revision);
    /// Sends the adapter, or the models if the adapter of `key` is empty, again with the next
    /// update, because a daemon may have removed it from its view.
    void scheduleResend(const core::EndpointId &id, const fleet::AdapterKey &key);
    void remove(const core::EndpointId &id) { m_endpoints.erase(id); }
    /// The revision of the last update of the endpoint; 0 if there was none.
    std::uint64_t revisionOf(const core::EndpointId &id) const;

    /// The changes to send to a daemon that has received everything up to `revision`.
    std::map<core::EndpointId, ContentsChange> changesSince(std::uint64_t revision) const;

    /// Number of removals kept for each endpoint; a daemon that missed more receives a snapshot.
    static constexpr std::size_t maxRemovals = 64;

private:
    struct Entry
    {
        EndpointContents contents;
        std::unordered_map<fleet::AdapterKey, std::uint64_t> changedAt;
        std::multimap<std::uint64_t, fleet::AdapterKey> removals;
        std::uint64_t revision = 0;       ///< Revision of the last update.
        std::uint64_t changeRevision = 0; ///< Revision of the last update that changed something.
        bool mustResendModels = false;
        /// Daemons at an earlier revision receive a snapshot.
        std::uint64_t firstDeltaRevision = 0;
    };

    std::map<core::EndpointId, Entry> m_endpoints;
};

} // namespace jackdawlead::decisions
