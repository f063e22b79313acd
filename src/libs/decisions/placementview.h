#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "fleet/adapterkey.h"
#include "fleet/endpoint.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace jackdawlead::decisions {

/// The models and adapters that one incarnation of an endpoint holds.
struct EndpointContents
{
    fleet::StartTime startTime {};
    struct Adapter
    {
        int version = 1;
        core::TimePoint usableAt; ///< Expected end of its load.
        bool operator==(const Adapter &) const = default;
    };
    std::map<core::ModelId, core::TimePoint> models; ///< With the expected end of their loads.
    std::unordered_map<fleet::AdapterKey, Adapter> adapters;
};

/// A snapshot or a delta of an endpoint's contents.
struct ContentsChange
{
    bool isSnapshot = true;    ///< Replaces the known contents; a delta adds and removes adapters.
    EndpointContents contents; ///< The models are always complete.
    std::vector<fleet::AdapterKey> removals;
};

/// One daemon's view of the contents of each endpoint. An endpoint's record is used until the
/// coordinator has sent a snapshot of this incarnation, because records do not reflect later loads
/// of adapters.
/// Thread safety: one thread at a time.
class PlacementView
{
public:
    void updateFromRecord(const fleet::Endpoint &endpoint);
    /// Returns false if a delta does not apply to the known contents, so that snapshots are needed.
    bool applyUpdate(const core::EndpointId &id, ContentsChange change);
    void remove(const core::EndpointId &id) { m_endpoints.erase(id); }
    /// The endpoint responded that it does not hold the adapter or the model.
    void recordPlacementMiss(const core::EndpointId &id, const fleet::AdapterKey &key);

    bool holdsModel(const core::EndpointId &id, const core::ModelId &model,
                    core::TimePoint now) const;
    /// The version at which the endpoint holds the adapter.
    std::optional<int> heldVersion(const core::EndpointId &id, const fleet::AdapterKey &key,
                                   core::TimePoint now) const;

    /// The highest version at which any endpoint was known to hold or to load the adapter; zero if
    /// that is the first one.
    int highestVersion(const fleet::AdapterKey &key) const;

private:
    void recordVersion(const fleet::AdapterKey &key, int version);

    struct Entry
    {
        EndpointContents contents;
        bool hasCoordinatorContents = false;
    };
    std::map<core::EndpointId, Entry> m_endpoints;
    std::unordered_map<fleet::AdapterKey, int> m_highestVersions; ///< Those above the first one.
};

} // namespace jackdawlead::decisions
