#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "net/httpmessage.h"

#include <cstdint>
#include <map>
#include <string>

namespace jackdawlead::fleet {

/// The bounds that the platform states for the behaviour of the system.
struct Bounds
{
    core::Duration stableWindow {};  ///< Calm time after which the bounds hold again.
    core::Duration drain {};         ///< After it a leaving endpoint gets nothing new.
    core::Duration grace {};         ///< From SIGTERM to SIGKILL.
    core::Duration configuration {}; ///< From acknowledgement to force.
    core::Duration version {};       ///< From the announcement of a version to its use.
    core::Duration lease {};         ///< Two daemons never take turns in orders within it.
    core::Duration budgetWindow {};  ///< The window over which repeated sends are counted.
    double budgetRatio = 0;          ///< Repeated sends per request.
    double budgetSlack = 0;          ///< Repeated sends that are allowed besides.
};

/// What a daemon learns about itself and its surroundings at its start.
struct HostSettings
{
    core::HostId host;
    core::FailureDomainId domain;
    core::RegionId region;
    std::map<core::FailureDomainId, core::RegionId> regions;
    double availableCores = 1;     ///< Cores that this daemon may use.
    net::Address callerAddress;    ///< Where callers' connections arrive.
    net::Address readinessAddress; ///< Where the balancer asks.
    std::uint16_t firstPeerPort = 0;
    std::uint16_t lastPeerPort = 0;
    net::Address store;
    std::uint16_t metricsPort = 0; ///< 0 serves no metrics.
    Bounds bounds;
};

} // namespace jackdawlead::fleet
