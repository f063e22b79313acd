#pragma once

#include "serving/context.h"
#include "serving/endpointtask.h"

namespace jackdawlead::serving {

/// The path and the headers of the hop from the entry daemon to the owner of an endpoint.
namespace peerprotocol {
inline constexpr const char *dispatchPath = "/peer/v1/dispatch";
inline constexpr const char *endpointHeader = "X-Endpoint";
inline constexpr const char *adapterHeader = "X-Adapter";
inline constexpr const char *sourceHeader = "X-Weight-Source";
inline constexpr const char *enginePathHeader = "X-Engine-Path";
inline constexpr const char *streamHeader = "X-Stream";
inline constexpr const char *deadlineHeader = "X-Request-Deadline-Ms";
inline constexpr const char *customerHeader = "X-Customer";
inline constexpr const char *requestHeader = "X-Request-Id";
/// The step of a refusal by a daemon that does not own the endpoint.
inline constexpr const char *ownershipStep = "find-owner";
} // namespace peerprotocol

/// Sends a request to the daemon that owns its endpoint and relays the answer into its sink.
/// A refusal of the peer keeps its step, peer and outcome. Cancelling the returned call makes the
/// peer drop the request. Thread safety: the loop's thread only.
[[nodiscard]] net::HttpCall forwardToPeer(Context &context, const net::Address &peer,
                                          const core::EndpointId &endpoint,
                                          const EndpointRequest &request);

/// Reads a forwarded request. Errors: kInvalidArgument with step `peer-accept` and the header.
absl::StatusOr<EndpointRequest> requestFromPeer(const net::HttpRequest &request,
                                                core::TimePoint now);

} // namespace jackdawlead::serving
