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
#include <vector>

namespace jackdawlead::platform {

/// Header fields of a client's request.
struct RequestFields
{
    core::RequestId id;
    std::optional<core::Duration> deadline; ///< How long the client waits.
    core::ModelId model;                    ///< Empty for requests to plain services.
    core::AdapterId adapter;                ///< Empty if the base model itself is requested.
    int promptTokens = 0;
    std::optional<double> totalTokens; ///< Of the prompt and of the answer.
    /// The parts of the prompt in their order. Ids that differ only in case or leading zeros are
    /// the same part; malformed parts, and those beyond a fixed number, are left out.
    std::vector<core::PromptPartId> promptParts;
    std::optional<std::uint64_t> lastEventId; ///< The client takes up a stream after this event.
    core::RequestId begunBy; ///< The request that began that stream; empty if it is not stated.
};

/// Parses the header fields of a client's request; a malformed field counts as absent.
/// Thread safety: any thread.
RequestFields parseRequestFields(const http::MessageHead &head);

/// The key that a client's request carries.
struct KeyField
{
    std::size_t count = 0; ///< Of fields with a key.
    std::string value;     ///< Of the first one.
};
/// Thread safety: any thread.
KeyField keyFieldOf(const http::MessageHead &head);

/// Header fields that the system adds to a client's request for the endpoint.
struct ForwardFields
{
    core::EndpointId endpoint;
    core::Duration deadline {}; ///< Remaining time, after which the endpoint aborts the request.
    std::optional<int> adapterVersion; ///< The endpoint must hold the adapter at this version.
    std::optional<int> priority;       ///< 0 (first) to 9.
    std::optional<std::uint64_t> lastEventId;
    /// Drops the client's fields for the key and the customer. False if the configuration lists no
    /// customers: then they are forwarded like any other field.
    bool dropsCustomerFields = false;
    core::CustomerId customer; ///< Empty if no customer is stated to the endpoint.
};

/// Formats the client's request for an endpoint: method, target and body are unchanged; hop-by-hop
/// fields and those that only the system may set are dropped. Thread safety: any thread.
std::string formatForwardedRequest(const http::MessageHead &head, std::string_view body,
                                   const ForwardFields &fields);

/// Subtracts `by` from the deadline in a request of formatForwardedRequest(). Returns false, and
/// leaves the request as it is, if no time is left; a request without a readable deadline is
/// unchanged. Thread safety: any thread.
bool shortenDeadline(std::string &request, core::Duration by);

/// Whether a request of formatForwardedRequest() contains the field with a client's key. Thread
/// safety: any thread.
bool hasKeyField(std::string_view request);

/// Properties of an endpoint's response, from its status and header fields.
struct ResponseTraits
{
    bool isNotRun = false;  ///< Certain: the endpoint did not run the request.
    bool isStamped = false; ///< Carries the endpoint's signature.
    bool hasContentEncoding
        = false; ///< An intermediary encoded the body, so that it is not the endpoint's own.
    bool isMisdirected = false; ///< Another endpoint responded, or it lacks the model or version.
    std::optional<int> version; ///< Of the adapter, or the model, that ran the request.
    /// The endpoint rejected the request and is to get no further ones for this time.
    std::optional<core::Duration> retryAfter;
};
/// Malformed fields count as absent. Thread safety: any thread.
ResponseTraits parseResponseTraits(const http::MessageHead &head);

/// Whether a response announces that `endpoint` leaves and takes no new work; false if it comes
/// from another endpoint that has the address now. Thread safety: any thread.
bool announcesLeaving(const net::Headers &headers, const core::EndpointId &endpoint);

/// Parses how many requests per second `endpoint` can refuse without crashing; empty if the
/// response states nothing, or comes from another endpoint that has the address now. Thread safety:
/// any thread.
std::optional<fleet::RequestRate> parseRefusalLimit(const net::Headers &headers,
                                                    const core::EndpointId &endpoint);

/// The request limit that a response announces.
struct AnnouncedLimit
{
    std::optional<fleet::RequestRate> rate;
    bool isMalformed = false; ///< A limit is announced, but its value cannot be read.
};

/// Parses the request limit that `endpoint` announces in a response; none if the response comes, or
/// for status 421 may come, from another endpoint that has the address now. Of several values the
/// lowest one counts. Thread safety: any thread.
AnnouncedLimit parseRequestLimit(int status, const net::Headers &headers,
                                 const core::EndpointId &endpoint);

/// The header fields of an endpoint's response that are forwarded to the client. Thread safety: any
/// thread.
net::Headers forwardedResponseHeaders(const http::MessageHead &head);

/// Name of the field that assigns a response to its request.
const char *requestIdField();
/// The fields of a response that requests a retry after `delay`.
net::Headers retryAfterFields(core::Duration delay);
/// Whether this is a readiness probe of the load balancer.
bool isReadinessRequest(const http::MessageHead &head);

enum class OrderOperation { Load, Unload };

/// An order to one endpoint about a model or one of its adapters.
struct Order
{
    OrderOperation operation = OrderOperation::Load;
    core::EndpointId endpoint;
    core::ModelId model;
    core::AdapterId adapter;    ///< Empty for the base model.
    std::optional<int> version; ///< Of the adapter; the newest if empty.
    std::uint64_t orderRevision
        = 0; ///< The endpoint refuses the order if its own revision differs.
    core::HostId holder;
    core::FencingToken token;
};

enum class OrderResult {
    Accepted,       ///< The endpoint is carrying it out.
    AlreadyApplied, ///< The ordered state is in effect already.
    Conflict,       ///< Another order is in progress, or the revision differs.
    Refused,        ///< The endpoint will not carry it out.
    Unknown,        ///< No response: the order may take effect, also later.
};

net::HttpRequest makeOrderRequest(const Order &order);
OrderResult orderResultFromStatus(int status);
net::HttpRequest makeReportRequest(const core::EndpointId &endpoint);
net::HttpRequest makeHealthRequest(const core::EndpointId &endpoint, const std::string &path);

} // namespace jackdawlead::platform
