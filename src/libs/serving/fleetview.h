#pragma once

#include "core/ids.h"
#include "objectapi/hostlist.h"

#include <map>
#include <optional>
#include <vector>

namespace jackdawlead::serving {

/// The hosts as this daemon knows them. Immutable once published.
struct FleetView
{
    std::map<core::HostId, objectapi::HostEntry> daemons;
    std::map<core::EndpointId, objectapi::HostEntry> endpoints;
};

/// Who may load and evict adapters of an endpoint.
struct Ownership
{
    core::HostId holder;
    core::FencingToken token;
};

/// The owner of each endpoint, as last seen in the object API.
using OwnerMap = std::map<core::EndpointId, Ownership>;

} // namespace jackdawlead::serving
