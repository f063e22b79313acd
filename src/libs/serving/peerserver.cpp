#include "serving/peerserver.h"

#include <string>
#include <utility>

namespace jackdawlead::serving {

namespace {

using nlohmann::json;

rpc::RpcResult failure(std::string message)
{
    if (message.empty())
        message = "call failed";
    return {std::move(message), {}};
}

} // namespace

void PeerServer::bind(const rpc::MethodName &method, Handler handler)
{
    m_dispatcher.bind(method, [handler = std::move(handler)](const rpc::JsonText &params) {
        try {
            const auto result = handler(json::parse(params.text));
            if (!result.ok())
                return failure(std::string(result.status().message()));
            return rpc::RpcResult {{}, {result->dump()}};
        } catch (const json::exception &error) {
            return failure(error.what());
        }
    });
}

void PeerServer::serve(const std::shared_ptr<net::ServerExchange> &exchange)
{
    exchange->respond({.status = 200,
                       .headers = {{"Content-Type", "application/json"}},
                       .body = m_dispatcher.dispatch({exchange->request().body}).text});
}

} // namespace jackdawlead::serving
