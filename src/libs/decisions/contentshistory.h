#pragma once

#include "decisions/placementview.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace jackdawlead::decisions {

/// What endpoints hold and when each part of it changed, so that a daemon is told only what it
/// does not know: one adapter of an endpoint changes with each order, and telling all of them to
/// each daemon filled the coordinator's link and processor share on a deployment of 85 daemons.
/// Thread safety: one thread at a time.
class ContentsHistory
{
public:
    /// The endpoint holds this from `revision` on; revisions rise over all endpoints. What holds
    /// already is not told again.
    void update(const core::EndpointId &id, const EndpointContents &contents,
                std::uint64_t revision);
    /// A daemon may have dropped the adapter, or with an empty one the model, from its view; it is
    /// told again with the next update.
    void scheduleResend(const core::EndpointId &id, const fleet::AdapterKey &key);
    void remove(const core::EndpointId &id) { m_endpoints.erase(id); }
    /// The revision of the endpoint's last update; 0 if there was none.
    std::uint64_t revisionOf(const core::EndpointId &id) const;

    /// What a daemon that knows everything up to `revision` has to be told.
    std::map<core::EndpointId, ContentsChange> changesSince(std::uint64_t revision) const;

    /// Removals that are kept for each endpoint; a daemon that missed more is told everything.
    static constexpr std::size_t maxRemovals = 64;

private:
    struct Entry
    {
        EndpointContents contents;
        std::unordered_map<fleet::AdapterKey, std::uint64_t> changedAt;
        std::multimap<std::uint64_t, fleet::AdapterKey> removals;
        std::uint64_t revision = 0;     ///< Of the last update.
        std::uint64_t toldRevision = 0; ///< Of the last update that changed something.
        bool hasDeniedModel = false;
        std::uint64_t wholeSince = 0; ///< Who knows less than this is told everything.
    };

    std::map<core::EndpointId, Entry> m_endpoints;
};

} // namespace jackdawlead::decisions
