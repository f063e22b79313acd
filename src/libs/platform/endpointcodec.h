#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "fleet/endpoint.h"
#include "http/messageparser.h"
#include "net/httpmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jackdawlead::platform {

/// What a caller says about its request.
struct RequestFields
{
    core::RequestId id;
    std::optional<core::Duration> deadline; ///< How long the caller waits.
    core::ModelId model;                    ///< Empty for requests to plain services.
    core::AdapterId adapter;                ///< Empty if the base model itself is asked for.
    int promptTokens = 0;
};

/// Reads the fields of a caller's request; what cannot be read counts as absent.
/// Thread safety: any thread.
RequestFields parseRequestFields(const http::MessageHead &head);

/// What the system tells the endpoint besides the caller's own request.
struct ForwardFields
{
    core::EndpointId endpoint;
    core::Duration deadline {};        ///< Time that is left; the endpoint stops work at its end.
    std::optional<int> adapterVersion; ///< The endpoint must hold the adapter at this version.
    std::optional<int> priority;       ///< 0 (first) to 9.
    std::optional<std::uint64_t> lastEventId;
};

/// Writes the caller's request as it goes to an endpoint: method, target and body unchanged, fields
/// of one connection and those that only the system may set left out. Thread safety: any thread.
std::string formatForwardedRequest(const http::MessageHead &head, std::string_view body,
                                   const ForwardFields &fields);

/// What the head of an endpoint's answer says.
struct ResponseTraits
{
    bool isNotRun = false;           ///< Certain: the endpoint did not run the request.
    bool isStamped = false;          ///< Carries the endpoint's signature.
    bool hasContentEncoding = false; ///< The body is not the endpoint's own.
    bool isMisdirected = false; ///< The endpoint is another one, or lacks the model or version.
    /// The endpoint turned the request away and wants nothing more for so long.
    std::optional<core::Duration> retryAfter;
};
/// What cannot be read counts as absent. Thread safety: any thread.
ResponseTraits parseResponseTraits(const http::MessageHead &head);

/// Whether an answer says that `endpoint` leaves and takes no new work; false if it comes from
/// another endpoint that has its address now. Thread safety: any thread.
bool announcesLeaving(const net::Headers &headers, const core::EndpointId &endpoint);

/// The fields of an endpoint's answer that go to the caller. Thread safety: any thread.
net::Headers forwardedResponseHeaders(const http::MessageHead &head);

/// The field by which answers are told apart.
const char *requestIdField();
/// The fields that ask a caller to come back after `delay`.
net::Headers retryAfterFields(core::Duration delay);
/// Whether the balancer asks for readiness.
bool isReadinessRequest(const http::MessageHead &head);

enum class OrderOperation { Load, Unload };

/// An order to one endpoint about a model or one of its adapters.
struct Order
{
    OrderOperation operation = OrderOperation::Load;
    core::EndpointId endpoint;
    core::ModelId model;
    core::AdapterId adapter;         ///< Empty for the base model.
    std::optional<int> version;      ///< Of the adapter; the newest if empty.
    std::uint64_t orderRevision = 0; ///< The order is refused if the endpoint is at another one.
    core::HostId holder;
    core::FencingToken token;
};

enum class OrderResult {
    Accepted,       ///< Is being carried out.
    AlreadyApplied, ///< Held already.
    Conflict,       ///< Another order is in progress, or the revision differs.
    Refused,        ///< The endpoint will not carry it out.
    Unknown,        ///< No answer: it may be carried out, also later.
};

net::HttpRequest makeOrderRequest(const Order &order);
OrderResult orderResultFromStatus(int status);
net::HttpRequest makeReportRequest(const core::EndpointId &endpoint);

} // namespace jackdawlead::platform
