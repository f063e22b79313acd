#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace jackdawlead::config {

/// The settings of one daemon. Thread safety: a value type.
struct Settings
{
    core::HostId host;
    core::RegionId region;
    core::FailureDomainId failureDomain;

    std::string listenIp = "127.0.0.1";
    std::uint16_t callerPort = 0; ///< For callers; requires a bearer token of the manifest.
    std::uint16_t peerPort = 0;   ///< For other daemons; requires the peer credential.
    std::uint16_t adminPort = 0;  ///< For operators and health checks.
    std::string peerCredential;
    std::string adminCredential;
    std::string orderCredential; ///< Sent to endpoints of pools that need it; may be empty.

    std::string objectApiIp;
    std::uint16_t objectApiPort = 0;
    std::string hostListIp;
    std::uint16_t hostListPort = 0;

    core::Duration leaseDuration = std::chrono::seconds(15);
    core::Duration leaseRenewPeriod = std::chrono::seconds(5);
    core::Duration leaseGuard = std::chrono::seconds(1);
    core::Duration hostListPeriod = std::chrono::seconds(1);
    core::Duration probePeriod = std::chrono::seconds(1);
    core::Duration connectTimeout = std::chrono::seconds(1);
    core::Duration firstByteTimeout = std::chrono::seconds(10);
    core::Duration byteGapTimeout = std::chrono::seconds(5);
    core::Duration orderTimeout = std::chrono::seconds(2);
    core::Duration defaultDeadline = std::chrono::seconds(30);
    core::Duration drainTimeout = std::chrono::seconds(120);
    std::int64_t maxQueuedPerEndpoint = 256;
    std::int64_t maxRunningPerEndpoint = 64;
    std::int64_t maxBodyBytes = 4LL * 1024 * 1024;
    double storeLoadsPerSecond = 6.0;
    std::int64_t storeConcurrentLoads = 2;

    std::string logLevel = "INFO";

    core::Duration firstTokenObjective = std::chrono::milliseconds(440);
    core::Duration answerObjective = std::chrono::milliseconds(5000);
    core::Duration loadStallObjective = std::chrono::milliseconds(440);
    double firstTokenShare = 0.95; ///< Minimum share of requests within the objective.
    double answerShare = 0.95;
    double loadStallShare = 0.95;
};

/// Parses daemon settings and validates them as a whole. Errors: kInvalidArgument with step
/// `settings`; the message lists every error with its line, key, actual value and allowed values.
absl::StatusOr<Settings> parseSettings(const std::string &yaml, const std::string &source);

} // namespace jackdawlead::config
