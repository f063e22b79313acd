#include "serving/peerclient.h"

#include "core/error.h"

#include <string>
#include <utility>

namespace jackdawlead::serving {

namespace {

using nlohmann::json;

constexpr char step[] = "peer-call";

absl::StatusOr<json> readReply(const net::HttpResponse &reply, const std::string &peer)
{
    if (reply.status != 200)
        return core::makeError(absl::StatusCode::kUnavailable, step, peer,
                               "status " + std::to_string(reply.status));
    const rpc::RpcResult result = rpc::decodeReply({reply.body});
    if (!result.ok())
        return core::makeError(absl::StatusCode::kInternal, step, peer, result.error);
    json value = json::parse(result.value.text, nullptr, false);
    if (!value.is_object())
        return core::makeError(absl::StatusCode::kInternal, step, peer, "result is not an object");
    return value;
}

} // namespace

void PeerClient::call(const net::Address &peer, const rpc::MethodName &method, const json &params,
                      core::Duration timeout, Handler handler)
{
    const std::string name = peer.toString();
    const rpc::RpcResult request = rpc::encodeCall(method, {params.dump()});
    if (!request.ok()) {
        m_context.loop.post([handler = std::move(handler), name, error = request.error] {
            handler(core::makeError(absl::StatusCode::kInvalidArgument, step, name, error));
        });
        return;
    }
    const net::Headers headers {{"Content-Type", "application/json"},
                                {"Authorization", "Bearer " + m_context.settings.peerCredential}};
    m_context.controlHttp.send(
        peer,
        {.method = "POST", .path = "/peer/v1/rpc", .headers = headers, .body = request.value.text},
        {timeout, timeout}, [name, handler = std::move(handler)](const auto &reply) {
            if (!reply.ok())
                handler(core::makeError(reply.status().code(), step, name,
                                        std::string(reply.status().message())));
            else
                handler(readReply(*reply, name));
        });
}

} // namespace jackdawlead::serving
