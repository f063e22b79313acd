#pragma once

/// Names of the platform's wire formats. Only this folder uses them.
namespace jackdawlead::platform::wire {

/// In requests the client's id of the request; the endpoint copies it to the response.
inline constexpr char requestId[] = "Request-Id";
/// Milliseconds that are left for the request, a duration and not a point in time.
inline constexpr char deadlineMs[] = "Deadline-Ms";
/// Number of the last event that was delivered; the endpoint resumes the stream after it.
inline constexpr char lastEventId[] = "Last-Event-Id";
/// In a client's request that takes up a stream: the id of the request that brought its first
/// event.
inline constexpr char resumes[] = "Resumes";
/// The endpoint's signature of a response, not a timestamp.
inline constexpr char responseStamp[] = "Response-Stamp";
/// Id of the endpoint for which a request is meant.
inline constexpr char expectInstance[] = "Expect-Instance";
/// Adapter version that the endpoint must hold.
inline constexpr char expectVersion[] = "Expect-Version";
/// In responses: the version of what ran the request, its adapter if it names one.
inline constexpr char weightVersions[] = "Weight-Versions";
/// Present if the endpoint certainly did not run the request; the value is not read.
inline constexpr char notExecuted[] = "Not-Executed";
/// Seconds, possibly with a fraction; a date is not accepted.
inline constexpr char retryAfter[] = "Retry-After";
/// "1" if the endpoint that responds takes no new work.
inline constexpr char serverLeaving[] = "Server-Leaving";
/// Requests per second that the endpoint accepts from all daemons together; a decimal number.
inline constexpr char serverLimit[] = "Server-Limit";
/// Refused requests per second from which the endpoint, and the others of its service, crash.
inline constexpr char serverBrittle[] = "Server-Brittle";
/// Id of the endpoint that responds.
inline constexpr char instanceId[] = "Instance-Id";
/// In all responses of the store; rises by one each time it comes back from a copy.
inline constexpr char storeEra[] = "Store-Era";
/// MODEL or MODEL/ADAPTER.
inline constexpr char model[] = "Model";
/// Two numbers separated by a comma; the first one counts the tokens of the prompt.
inline constexpr char tokenCount[] = "Token-Count";
/// The parts of the prompt in their order, as pairs ID:TOKENS separated by commas; the ids are
/// hexadecimal.
inline constexpr char promptPrefix[] = "Prompt-Prefix";
/// 0 (first) to 9.
inline constexpr char requestPriority[] = "Request-Priority";
/// In clients' requests: the key alone. It is not forwarded to endpoints.
inline constexpr char apiKey[] = "Api-Key";
/// In requests to endpoints: the name of the customer that holds the key.
inline constexpr char customer[] = "Tenant";

/// Fields that only the system may set; those in a client's request are dropped.
inline constexpr const char *systemFields[] = {
    expectInstance, expectVersion, requestPriority, deadlineMs, "Hold",
    "Pin-Ms",       "Kv-Backup",   "Kv-From",       "Kv-Fetch",
};

inline constexpr char objectsPath[] = "/-/objects/";
/// Name after which a page of a list begins.
inline constexpr char afterParameter[] = "after";
/// Revision that an object must still have to be removed.
inline constexpr char revisionParameter[] = "revision";
/// Store revision after which a watch reports changes.
inline constexpr char watchParameter[] = "watch";
/// Milliseconds after which the store answers a watch without a change.
inline constexpr char waitParameter[] = "wait_ms";
inline constexpr char orderPath[] = "/-/order";
inline constexpr char reportPath[] = "/-/report";
inline constexpr char readinessPath[] = "/-/readiness";

/// In the spec of `config/main`: the list of customers.
inline constexpr char customersField[] = "tenants";
inline constexpr char configurationKind[] = "config";
/// Endpoints, one object each.
inline constexpr char endpointKind[] = "servers";
/// Announced versions of adapters and models.
inline constexpr char versionKind[] = "versions";
/// Leases for work that only one daemon at a time may do; written by this product alone.
inline constexpr char leaseKind[] = "jackdawlead-leases";

/// Software versions at which streams began; written by this product alone.
inline constexpr char streamKind[] = "jackdawlead-streams";

/// Daemons that send requests for others, one object each; written by this product alone.
inline constexpr char daemonKind[] = "jackdawlead-daemons";

} // namespace jackdawlead::platform::wire
