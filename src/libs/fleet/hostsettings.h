#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "net/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace jackdawlead::fleet {

/// The bounds that the platform requires of the system's behaviour.
struct Bounds
{
    core::Duration stableWindow {};  ///< Time without faults after which the bounds hold again.
    core::Duration drain {};         ///< After it a leaving endpoint receives no new requests.
    core::Duration grace {};         ///< From SIGTERM to SIGKILL.
    core::Duration configuration {}; ///< From acknowledgement until it is in use.
    core::Duration version {};       ///< From the announcement of a version to its use.
    core::Duration lease {};         ///< No two daemons issue orders within it.
    /// Interval at which an endpoint renews its record.
    core::Duration heartbeat = std::chrono::milliseconds(1200);
    /// After it the store has removed the record of an endpoint that is gone.
    core::Duration recordExpiry = std::chrono::milliseconds(3600);
    core::Duration budgetWindow {};                       ///< Window in which retries are counted.
    double budgetRatio = 0;                               ///< Retries per request.
    double budgetSlack = 0;                               ///< Retries that are allowed in addition.
    core::Duration quotaWindow = std::chrono::seconds(8); ///< Window in which quotas are checked.
    double quotaOverage = 0; ///< Fraction by which the use in a window may exceed a quota.
    double quotaSlack = 0;   ///< Tokens by which it may exceed a quota in addition.
};

/// Identity, addresses and bounds of a daemon, read from its settings.
struct HostSettings
{
    core::HostId host;
    core::FailureDomainId domain;
    core::RegionId region;
    std::map<core::FailureDomainId, core::RegionId> regions;
    double availableCores = 1;     ///< Cores that this daemon may use.
    net::Address callerAddress;    ///< Listens for clients.
    net::Address readinessAddress; ///< Listens for probes of the load balancer.
    std::uint16_t firstPeerPort = 0;
    std::uint16_t lastPeerPort = 0;
    net::Address store;
    std::size_t memoryLimit = 256UL * 1024 * 1024; ///< Bytes after which the process is killed.
    std::uint16_t metricsPort = 0;                 ///< 0 disables the metrics.
    bool forecastsStreams = false;                 ///< Places streams by predicted gaps.
    bool isDomainOverflowEnabled = false;          ///< See gateway::OverflowRouter.
    bool isFirstStart = true;                      ///< The whole system starts for the first time.
    Bounds bounds;
};

} // namespace jackdawlead::fleet
