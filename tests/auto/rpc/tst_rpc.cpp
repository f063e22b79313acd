#include "rpc/rpccodec.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <random>
#include <string>

using namespace jackdawlead::rpc;
using nlohmann::json;

namespace {

const MethodName echoMethod {"echo"};

void bindEcho(RpcDispatcher &dispatcher, int &calls)
{
    dispatcher.bind(echoMethod, [&calls](const JsonText &params) -> RpcResult {
        ++calls;
        const json value = json::parse(params.text);
        if (value.contains("fail"))
            return {"field fail is set", {}};
        return {{}, {json {{"params", value}}.dump()}};
    });
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

// Guards against parameters or results that change in transit.
Test(rpc, callIsAnswered)
{
    int calls = 0;
    RpcDispatcher dispatcher;
    bindEcho(dispatcher, calls);
    const json params {{"text", "quote \" backslash \\ \n \xc3\xa9"},
                       {"list", {1, 2.5, nullptr, true}},
                       {"large", 18446744073709551615ULL}};
    const RpcResult request = encodeCall(echoMethod, {params.dump()});
    cr_assert(request.ok(), "%s", request.error.c_str());
    const RpcResult reply = decodeReply(dispatcher.dispatch(request.value));
    cr_assert(reply.ok(), "%s", reply.error.c_str());
    cr_expect(json::parse(reply.value.text).at("params") == params, "%s", reply.value.text.c_str());
    cr_expect_eq(calls, 1);
}

// Guards against an error of the handler that is taken for a result or loses its text.
Test(rpc, errorOfHandlerIsReported)
{
    int calls = 0;
    RpcDispatcher dispatcher;
    bindEcho(dispatcher, calls);
    const RpcResult request = encodeCall(echoMethod, {R"({"fail":1})"});
    const RpcResult reply = decodeReply(dispatcher.dispatch(request.value));
    cr_expect_not(reply.ok());
    cr_expect(reply.error.find("field fail is set") != std::string::npos, "%s",
              reply.error.c_str());
}

// Guards against faulty requests that reach a handler, or that are not answered with an error.
Test(rpc, malformedRequestsAreRefused)
{
    int calls = 0;
    RpcDispatcher dispatcher;
    bindEcho(dispatcher, calls);
    for (const char *text : {"", " ", "null", "[]", "{}", "1", "\"text\"", "{\"jsonrpc\":\"2.0\"}",
                             "nonsense", R"({"jsonrpc":"2.0","method":"other","params":{},"id":1})",
                             R"({"jsonrpc":"2.0","method":7,"params":{},"id":1})",
                             R"({"jsonrpc":"2.0","method":"echo","params":3,"id":1})",
                             R"({"jsonrpc":"2.0","method":"echo","params":{},"id":{}})",
                             R"({"method":"echo","params":{},"id":1})",
                             R"([{"jsonrpc":"2.0","method":"echo","params":{},"id":1}])"}) {
        const JsonText reply = dispatcher.dispatch({text});
        cr_expect(json::parse(reply.text).contains("error"), "%s -> %s", text, reply.text.c_str());
        cr_expect_not(decodeReply(reply).ok());
    }
    cr_expect_eq(calls, 0);
}

// Guards against taking a truncated message for a complete one.
Test(rpc, truncatedMessagesAreRefused)
{
    int calls = 0;
    RpcDispatcher dispatcher;
    bindEcho(dispatcher, calls);
    const std::string request = encodeCall(echoMethod, {R"({"a":[1,"x"]})"}).value.text;
    const std::string reply = dispatcher.dispatch({request}).text;
    calls = 0;
    const std::string whole = reply.substr(0, reply.find_last_of('}') + 1);
    for (std::size_t length = 0; length < request.find_last_of('}'); ++length)
        cr_expect_not(decodeReply(dispatcher.dispatch({request.substr(0, length)})).ok());
    for (std::size_t length = 0; length + 1 < whole.size(); ++length)
        cr_expect_not(decodeReply({whole.substr(0, length)}).ok());
    cr_expect_eq(calls, 0);
}

// Guards against memory and stack use that a peer controls.
Test(rpc, oversizedMessagesAreRefused)
{
    int calls = 0;
    RpcDispatcher dispatcher;
    bindEcho(dispatcher, calls);
    const std::string large = "[\"" + std::string(maxMessageBytes, 'x') + "\"]";
    cr_expect_not(encodeCall(echoMethod, {large}).ok());
    cr_expect_not(decodeReply({large}).ok());
    cr_expect(json::parse(dispatcher.dispatch({large}).text).contains("error"));
    const std::string deep = nested(500'000);
    cr_expect_not(encodeCall(echoMethod, {deep}).ok());
    cr_expect_not(decodeReply({deep}).ok());
    cr_expect(json::parse(dispatcher.dispatch({deep}).text).contains("error"));
    cr_expect_eq(calls, 0);
}

// Guards against accepting a malformed reply or the reply to another request.
Test(rpc, faultyRepliesAreRefused)
{
    for (const char *text :
         {"", "[]", "{}", "null", R"({"jsonrpc":"2.0","id":1})",
          R"({"jsonrpc":"2.0","result":{},"id":99})", R"({"jsonrpc":"2.0","error":3,"id":1})",
          R"({"jsonrpc":"2.0","error":{"code":"x","message":[]},"id":1})",
          R"({"jsonrpc":"1.0","result":{},"id":1})"})
        cr_expect_not(decodeReply({text}).ok(), "%s", text);
    for (const char *params : {"", "3", "{", "\"x\"", "{\"a\":}"})
        cr_expect_not(encodeCall(echoMethod, {params}).ok(), "%s", params);
}

// Guards against input that stops the daemon: every mutation gets a reply or an error.
Test(rpc, mutatedMessagesAreAnswered)
{
    constexpr unsigned seed = 20261204;
    std::printf("seed %u\n", seed);
    std::mt19937 random(seed);
    int calls = 0;
    RpcDispatcher dispatcher;
    bindEcho(dispatcher, calls);
    const std::string request = encodeCall(echoMethod, {R"({"a":[1,"x"],"b":{}})"}).value.text;
    for (int round = 0; round < 20'000; ++round) {
        std::string text = request;
        for (int change = 0; change < 3; ++change)
            text[random() % text.size()] = static_cast<char>(random() % 256);
        decodeReply({text});
        cr_assert_not(dispatcher.dispatch({text}).text.empty());
    }
}
