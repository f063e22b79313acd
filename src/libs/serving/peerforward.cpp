#include "serving/peerforward.h"

#include "core/error.h"
#include "serving/callerreply.h"

#include <charconv>
#include <memory>

namespace jackdawlead::serving {

namespace {

// The owner ends a request at its limits; the hop allows this much more before it gives up.
constexpr core::Duration hopAllowance = std::chrono::seconds(1);

core::Duration remaining(core::TimePoint deadline, core::TimePoint now)
{
    return std::max(deadline - now, core::Duration(std::chrono::milliseconds(1)));
}

net::Headers forwardHeaders(const Context &context, const core::EndpointId &endpoint,
                            const EndpointRequest &request)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        remaining(request.deadline, context.timers.now()));
    return {{"Authorization", "Bearer " + context.settings.peerCredential},
            {"Content-Type", "application/json"},
            {peerprotocol::endpointHeader, endpoint.value()},
            {peerprotocol::adapterHeader, request.adapter.toString()},
            {peerprotocol::sourceHeader, request.weightSource},
            {peerprotocol::enginePathHeader, request.path},
            {peerprotocol::streamHeader, request.isStream ? "true" : "false"},
            {peerprotocol::deadlineHeader, std::to_string(left.count())},
            {peerprotocol::customerHeader, request.customer.value()},
            {peerprotocol::requestHeader, request.id.value()}};
}

} // namespace

net::HttpCall forwardToPeer(Context &context, const net::Address &peer,
                            const core::EndpointId &endpoint, const EndpointRequest &request)
{
    struct Progress
    {
        int status = 0;
        net::Headers headers;
        std::string errorBody;
    };
    auto progress = std::make_shared<Progress>();
    const std::string peerName = peer.toString();
    net::HttpReplyHandlers handlers;
    handlers.onHead = [progress, sink = request.sink](int status, const net::Headers &headers) {
        progress->status = status;
        progress->headers = headers;
        if (status == 200)
            sink.onHead(status, headers);
    };
    handlers.onData = [progress, sink = request.sink](std::string_view data) {
        if (progress->status == 200)
            sink.onData(data);
        else
            progress->errorBody += data;
    };
    handlers.onEnd = [progress, peerName, sink = request.sink](const absl::Status &status) {
        if (!status.ok())
            sink.onEnd(core::withOutcome(
                core::makeError(status.code(), "forward", peerName, std::string(status.message())),
                core::outcomeOf(status)));
        else if (progress->status == 200)
            sink.onEnd(absl::OkStatus());
        else
            sink.onEnd(refusalFromPeer(progress->status, progress->headers, progress->errorBody,
                                       peerName));
    };
    // The head arrives only after the wait for the adapter, so the deadline bounds the first byte.
    const net::HttpTimeouts timeouts {remaining(request.deadline, context.timers.now())
                                          + context.settings.firstByteTimeout + hopAllowance,
                                      context.settings.byteGapTimeout + hopAllowance};
    return context.http.stream(peer,
                               {.method = "POST",
                                .path = peerprotocol::dispatchPath,
                                .headers = forwardHeaders(context, endpoint, request),
                                .body = request.body},
                               timeouts, std::move(handlers));
}

absl::StatusOr<EndpointRequest> requestFromPeer(const net::HttpRequest &request,
                                                core::TimePoint now)
{
    const auto invalid = [](const std::string &header) {
        return core::withOutcome(core::makeError(absl::StatusCode::kInvalidArgument, "peer-accept",
                                                 "daemon",
                                                 "header " + header + " is missing or malformed"),
                                 core::Outcome::NotRun);
    };
    EndpointRequest result;
    result.id = core::RequestId(request.headers.value(peerprotocol::requestHeader));
    if (result.id.isEmpty())
        return invalid(peerprotocol::requestHeader);
    result.adapter = parseAdapterVersion(request.headers.value(peerprotocol::adapterHeader));
    if (result.adapter.adapter.isEmpty())
        return invalid(peerprotocol::adapterHeader);
    const std::string deadline = request.headers.value(peerprotocol::deadlineHeader);
    std::int64_t ms = 0;
    const auto [end, error]
        = std::from_chars(deadline.data(), deadline.data() + deadline.size(), ms);
    if (error != std::errc() || end != deadline.data() + deadline.size())
        return invalid(peerprotocol::deadlineHeader);
    result.customer = core::CustomerId(request.headers.value(peerprotocol::customerHeader));
    result.deadline = now + std::chrono::milliseconds(ms);
    result.weightSource = request.headers.value(peerprotocol::sourceHeader);
    result.path = request.headers.value(peerprotocol::enginePathHeader);
    result.isStream = request.headers.value(peerprotocol::streamHeader) == "true";
    result.body = request.body;
    return result;
}

} // namespace jackdawlead::serving
