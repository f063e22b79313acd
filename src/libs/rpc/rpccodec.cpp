#include "rpc/rpccodec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <algorithm>
#include <exception>
#include <map>
#include <utility>

namespace jackdawlead {
namespace rpc {

namespace {

/// Carries no message: it keeps the request that the client hands over, and returns a reply that
/// was received before.
class TextConnector : public jsonrpc::IClientConnector
{
public:
    explicit TextConnector(std::string reply)
        : m_reply(std::move(reply))
    { }

    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        m_request = message;
        result = m_reply;
    }

    const std::string &request() const { return m_request; }

private:
    std::string m_reply;
    std::string m_request;
};

RpcResult failure(const std::string &message)
{
    return {message, {}};
}

RpcResult success(const std::string &text)
{
    return {{}, {text}};
}

std::string write(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

/// The reason why `text` is not parsed at all; empty if it may be.
std::string sizeFault(const std::string &text)
{
    if (text.size() > maxMessageBytes)
        return "message of " + std::to_string(text.size()) + " bytes, at most "
            + std::to_string(maxMessageBytes) + " are allowed";
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (isInString) {
            if (character == '\\')
                ++index;
            else if (character == '"')
                isInString = false;
            continue;
        }
        if (character == '"')
            isInString = true;
        else if (character == '{' || character == '[')
            ++depth;
        else if ((character == '}' || character == ']') && depth > 0)
            --depth;
        if (depth > maxNesting)
            return "message is nested too deeply";
    }
    return {};
}

/// Whether `text` is one JSON object or array.
bool parse(const std::string &text, Json::Value &value)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    std::string errors;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    const char *begin = text.data();
    return reader->parse(begin, begin + text.size(), &value, &errors);
}

std::string errorReply(int code, const std::string &message)
{
    Json::Value reply;
    reply["jsonrpc"] = "2.0";
    reply["id"] = Json::Value();
    reply["error"]["code"] = code;
    reply["error"]["message"] = message;
    return write(reply);
}

} // namespace

RpcResult encodeCall(const MethodName &method, const JsonText &params)
{
    const std::string fault = sizeFault(params.text);
    if (!fault.empty())
        return failure(fault);
    try {
        Json::Value value;
        if (!parse(params.text, value))
            return failure("parameters must be a JSON object or array");
        TextConnector connector("");
        jsonrpc::Client client(connector);
        Json::Value result;
        try {
            client.CallMethod(method.name, value, result);
        } catch (const jsonrpc::JsonRpcException &) {
            // Expected: the client finds no reply. The request has been captured before that.
        }
        return success(connector.request());
    } catch (const std::exception &error) {
        return failure(error.what());
    }
}

RpcResult decodeReply(const JsonText &reply)
{
    const std::string fault = sizeFault(reply.text);
    if (!fault.empty())
        return failure(fault);
    try {
        Json::Value whole;
        if (!parse(reply.text, whole) || !whole.isObject())
            return failure("reply is not a JSON object");
        // The library numbers every call 1 and does not compare the number of the reply.
        if (whole["id"] != Json::Value(1))
            return failure("reply belongs to another request");
        TextConnector connector(reply.text);
        jsonrpc::Client client(connector);
        Json::Value result;
        client.CallMethod("reply", Json::Value(Json::objectValue), result);
        return success(write(result));
    } catch (const std::exception &error) {
        return failure(error.what());
    }
}

class RpcDispatcher::Server : public jsonrpc::IProcedureInvokationHandler
{
public:
    Server()
        : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this))
    { }

    void bind(const MethodName &method, Handler handler)
    {
        m_protocol->AddProcedure(jsonrpc::Procedure(method.name, jsonrpc::PARAMS_BY_NAME,
                                                    jsonrpc::JSON_OBJECT, nullptr));
        m_handlers[method.name] = std::move(handler);
    }

    std::string handle(const std::string &request)
    {
        std::string reply;
        m_protocol->HandleRequest(request, reply);
        return reply;
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input,
                          Json::Value &output) override
    {
        const RpcResult result = m_handlers.at(procedure.GetProcedureName())({write(input)});
        if (!result.ok())
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                            result.error);
        if (!parse(result.value.text, output))
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                            "handler returned no JSON value");
    }

    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override { }

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
    std::map<std::string, Handler> m_handlers;
};

RpcDispatcher::RpcDispatcher()
    : m_server(new Server)
{ }

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::bind(const MethodName &method, Handler handler)
{
    m_server->bind(method, std::move(handler));
}

JsonText RpcDispatcher::dispatch(const JsonText &request)
{
    const std::string fault = sizeFault(request.text);
    if (!fault.empty())
        return {errorReply(jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST, fault)};
    try {
        Json::Value value;
        if (!parse(request.text, value))
            return {errorReply(jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR,
                               "request is not a JSON object")};
        // A batch would let one message cause any amount of work.
        if (!value.isObject())
            return {errorReply(jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST,
                               "request must be one JSON object")};
        const std::string reply = m_server->handle(request.text);
        if (reply.empty())
            return {errorReply(jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST,
                               "notifications are not supported")};
        return {reply};
    } catch (const std::exception &error) {
        return {errorReply(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, error.what())};
    }
}

} // namespace rpc
} // namespace jackdawlead
