#pragma once

#include "core/ids.h"

#include <optional>

namespace jackdawlead::decisions {

/// The record of an endpoint's owner. The holder is empty after a planned stop.
struct OwnerRecord
{
    core::HostId holder;
    core::FencingToken token;
};

/// The state of one endpoint as known to a daemon with a valid lease.
struct OwnershipView
{
    core::HostId self;
    std::optional<OwnerRecord> record;
    /// Whether this process wrote the record under its current lease.
    bool isClaimedHere = false;
    /// The daemon that should own the endpoint, without regard to the holder in the record.
    core::HostId preferred;
    /// Whether the holder's lease has expired or was released.
    bool hasHolderLeaseExpired = false;
};

/// The token with which the daemon claims the endpoint by conditional update; empty if the record
/// stays unchanged. The token increases with each claim. Thread safety: any thread.
std::optional<core::FencingToken> tokenToClaim(const OwnershipView &view);

} // namespace jackdawlead::decisions
