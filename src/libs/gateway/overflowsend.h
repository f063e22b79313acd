#pragma once

#include "core/ids.h"
#include "decisions/routing/domainstate.h"

#include <cstddef>

namespace jackdawlead::gateway {

/// What OverflowRouter needs to know of one send until its end; the endpoint may be gone by then.
/// Thread safety: a value type.
struct OverflowSend
{
    core::ServiceId service;
    core::FailureDomainId domain; ///< Of the endpoint; empty if --domain-overflow is off.
    bool isAway = false;          ///< The domain is not the daemon's.
    decisions::routing::OverflowReason reason = decisions::routing::OverflowReason::None;
    double utilization = 0; ///< Of the endpoint, before the send.
    std::size_t bytes = 0;  ///< Of the answer that have arrived.
};

} // namespace jackdawlead::gateway
