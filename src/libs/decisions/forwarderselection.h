#pragma once

#include "core/ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace jackdawlead::decisions {

/// A daemon that reaches the endpoints over its own connections.
struct ForwarderCandidate
{
    core::HostId host;
    core::FailureDomainId domain;
};

/// Selects daemons that send requests to endpoints for `self` while its own connections fail: one
/// of each failure domain in turn, its own domain and region first, because most daemons of a
/// domain can lose their links together. Daemons of one domain get different ones, so that their
/// requests spread. Thread safety: any thread.
std::vector<core::HostId>
selectForwarders(const ForwarderCandidate &self, const std::vector<ForwarderCandidate> &candidates,
                 const std::map<core::FailureDomainId, core::RegionId> &regions, std::size_t count);

} // namespace jackdawlead::decisions
