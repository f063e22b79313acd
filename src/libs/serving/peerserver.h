#pragma once

#include "net/httpserver.h"
#include "rpc/rpccodec.h"

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>

namespace jackdawlead::serving {

/// Answers the calls of other daemons. A call whose parameters are faulty gets an error that names
/// the field. Thread safety: the loop's thread only.
class PeerServer
{
public:
    /// May throw nlohmann::json::exception for parameters that are missing or of another type.
    using Handler = std::function<absl::StatusOr<nlohmann::json>(const nlohmann::json &params)>;

    void bind(const rpc::MethodName &method, Handler handler);
    /// Precondition: the caller's credential has been checked.
    void serve(const std::shared_ptr<net::ServerExchange> &exchange);

private:
    rpc::RpcDispatcher m_dispatcher;
};

} // namespace jackdawlead::serving
