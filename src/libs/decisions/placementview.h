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

/// What one life of an endpoint holds, as the coordinator last told.
struct EndpointContents
{
    fleet::StartTime startTime {};
    struct Adapter
    {
        int version = 1;
        core::TimePoint usableAt; ///< When its load will have ended.
        bool operator==(const Adapter &) const = default;
    };
    std::map<core::ModelId, core::TimePoint> models; ///< With the end of their load.
    std::unordered_map<fleet::AdapterKey, Adapter> adapters;
};

/// What changed in an endpoint's contents.
struct ContentsChange
{
    bool isSnapshot = true;    ///< Replaces what was known; else adapters are added and removed.
    EndpointContents contents; ///< The models always stand here whole.
    std::vector<fleet::AdapterKey> removals;
};

/// One daemon's view of what each endpoint holds. An endpoint's own record is used until the
/// coordinator of orders has told of this life, since records do not follow loads of adapters.
/// Thread safety: one thread at a time.
class PlacementView
{
public:
    void updateFromRecord(const fleet::Endpoint &endpoint);
    /// Returns false if the change does not fit to what is known; everything must be told anew.
    bool applyUpdate(const core::EndpointId &id, ContentsChange change);
    void remove(const core::EndpointId &id) { m_endpoints.erase(id); }
    /// The endpoint answered that it does not hold the adapter or the model.
    void recordPlacementMiss(const core::EndpointId &id, const fleet::AdapterKey &key);

    bool holdsModel(const core::EndpointId &id, const core::ModelId &model,
                    core::TimePoint now) const;
    /// The version at which the endpoint holds the adapter.
    std::optional<int> heldVersion(const core::EndpointId &id, const fleet::AdapterKey &key,
                                   core::TimePoint now) const;

private:
    struct Entry
    {
        EndpointContents contents;
        bool isTold = false;
    };
    std::map<core::EndpointId, Entry> m_endpoints;
};

} // namespace jackdawlead::decisions
