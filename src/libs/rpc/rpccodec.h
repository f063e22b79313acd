#pragma once

#include <functional>
#include <memory>
#include <string>

// This header is included from C++14 and from C++20 and therefore uses only C++14.
namespace jackdawlead {
namespace rpc {

/// The text of a JSON value.
struct JsonText
{
    std::string text;
};

struct MethodName
{
    std::string name;
};

/// Either a JSON value, or an error when `error` is not empty.
struct RpcResult
{
    std::string error;
    JsonText value;

    bool ok() const { return error.empty(); }
};

/// Requests and replies over this size are refused unread. A configuration part of 900 KB grows to
/// at most twice its size when it is quoted as a JSON string.
constexpr std::size_t maxMessageBytes = 2 * 1024 * 1024;
/// Deeper nesting is refused before the text is parsed, since the parser recurses.
constexpr std::size_t maxNesting = 64;

/// Writes a JSON-RPC 2.0 request with `params`, which must be a JSON object or array.
/// Errors: `params` is not valid. Thread safety: any thread.
RpcResult encodeCall(const MethodName &method, const JsonText &params);

/// Reads the reply to a request of encodeCall(); the value is that of its result.
/// Errors: the reply is malformed, oversized, belongs to another request or reports an error.
/// Thread safety: any thread.
RpcResult decodeReply(const JsonText &reply);

/// Calls the handler that is bound to the method of a request. Thread safety: one thread at a time.
class RpcDispatcher
{
public:
    using Handler = std::function<RpcResult(const JsonText &params)>;

    RpcDispatcher();
    ~RpcDispatcher();
    RpcDispatcher(const RpcDispatcher &) = delete;
    RpcDispatcher &operator=(const RpcDispatcher &) = delete;

    /// Precondition: no other handler is bound to `method`.
    void bind(const MethodName &method, Handler handler);
    /// The reply to `request`. A request that is malformed, oversized or names an unknown method
    /// gets a JSON-RPC error, and no handler is called.
    JsonText dispatch(const JsonText &request);

private:
    class Server;
    std::unique_ptr<Server> m_server;
};

} // namespace rpc
} // namespace jackdawlead
