#pragma once

#include "core/ids.h"

#include <optional>

namespace jackdawlead::decisions {

/// The record of an endpoint's owner; no holder after a planned stop.
struct OwnerRecord
{
    core::HostId holder;
    core::FencingToken token;
};

/// What a daemon with a valid lease knows about one endpoint.
struct OwnershipView
{
    core::HostId self;
    std::optional<OwnerRecord> record;
    /// The record was written by this process under its present lease.
    bool isClaimedHere = false;
    /// The daemon that should own the endpoint, the holder in the record left out.
    core::HostId preferred;
    /// The holder's lease has lapsed, or was given up.
    bool hasHolderLeaseExpired = false;
};

/// The token with which the daemon claims the endpoint by conditional update, or none if it leaves
/// the record as it is. The token rises with each claim. Thread safety: any thread.
std::optional<core::FencingToken> tokenToClaim(const OwnershipView &view);

} // namespace jackdawlead::decisions
