#pragma once

#include "rpc/rpccodec.h"
#include "serving/context.h"

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include <functional>

namespace jackdawlead::serving {

/// The methods that daemons call on each other with `POST /peer/v1/rpc`.
namespace peermethods {
/// {from, generation, facts} -> {generation, facts}: a probe that carries facts both ways.
inline const rpc::MethodName exchange {"exchange"};
/// {from, target, number} -> {}: probe `target` and call `probed` when it answers.
inline const rpc::MethodName probeFor {"probeFor"};
/// {number} -> {}: the target of probe `number` has answered.
inline const rpc::MethodName probed {"probed"};
/// {} -> {root}: the root of the generation in force; null if there is none.
inline const rpc::MethodName configRoot {"configRoot"};
/// {name} -> {content}
inline const rpc::MethodName configPart {"configPart"};
/// {} -> {states}: a list of [host, is reachable, age in ms, lasted ms] about the object API.
inline const rpc::MethodName apiStates {"apiStates"};
} // namespace peermethods

/// Calls methods of other daemons. Errors carry step `peer-call` and the peer; kUnavailable and
/// kDeadlineExceeded if there is no answer, kInternal if the answer is faulty or reports an error.
/// Thread safety: the loop's thread only.
class PeerClient
{
public:
    using Handler = std::function<void(const absl::StatusOr<nlohmann::json> &)>;

    explicit PeerClient(Context &context)
        : m_context(context)
    { }

    void call(const net::Address &peer, const rpc::MethodName &method, const nlohmann::json &params,
              core::Duration timeout, Handler handler);

private:
    Context &m_context;
};

} // namespace jackdawlead::serving
