#pragma once

/// The names of the platform's wire formats. They are used in this folder only.
namespace jackdawlead::platform::wire {

inline constexpr char requestId[] = "Request-Id";
inline constexpr char deadlineMs[] = "Deadline-Ms";
inline constexpr char lastEventId[] = "Last-Event-Id";
inline constexpr char responseStamp[] = "Response-Stamp";
inline constexpr char expectInstance[] = "Expect-Instance";
inline constexpr char expectVersion[] = "Expect-Version";
inline constexpr char notExecuted[] = "Not-Executed";
inline constexpr char retryAfter[] = "Retry-After";
inline constexpr char serverLeaving[] = "Server-Leaving";
inline constexpr char instanceId[] = "Instance-Id";
inline constexpr char model[] = "Model";
inline constexpr char tokenCount[] = "Token-Count";
inline constexpr char requestPriority[] = "Request-Priority";

/// Fields that only the system may set; a caller's own are dropped.
inline constexpr const char *systemFields[] = {
    expectInstance, expectVersion, requestPriority, deadlineMs, "Hold",
    "Pin-Ms",       "Kv-Backup",   "Kv-From",       "Kv-Fetch",
};

inline constexpr char objectsPath[] = "/-/objects/";
inline constexpr char watchParameter[] = "watch";
inline constexpr char waitParameter[] = "wait_ms";
inline constexpr char orderPath[] = "/-/order";
inline constexpr char reportPath[] = "/-/report";
inline constexpr char readinessPath[] = "/-/readiness";

inline constexpr char configurationKind[] = "config";
inline constexpr char endpointKind[] = "servers";
inline constexpr char versionKind[] = "versions";
/// Our own kind, for what one daemon at a time may do.
inline constexpr char leaseKind[] = "jackdawlead-leases";

} // namespace jackdawlead::platform::wire
