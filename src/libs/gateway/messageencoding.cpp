#include "gateway/messageencoding.h"

#include "core/boundedjson.h"
#include "rpc/rpccodec.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <vector>

namespace jackdawlead::gateway {

namespace {

constexpr char payloadField[] = "cbor";

} // namespace

std::string packMessage(const nlohmann::json &message)
{
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(message);
    const absl::string_view text(reinterpret_cast<const char *>(bytes.data()), bytes.size());
    return absl::StrCat("{\"", payloadField, "\":\"", absl::Base64Escape(text), "\"}");
}

nlohmann::json unpackMessage(const std::string &text)
{
    const nlohmann::json envelope = core::parseJson(text);
    std::string bytes;
    // Invalid Base64 results in an empty string, which the CBOR parser rejects.
    if (!absl::Base64Unescape(envelope.at(payloadField).get<std::string>(), &bytes))
        bytes.clear();
    return core::parseCbor(bytes);
}

net::HttpRequest peerCall(const char *method, const std::string &params)
{
    net::HttpRequest request;
    request.method = "POST";
    request.path = peerCallPath;
    request.headers.add("Content-Type", "application/json");
    request.body = rpc::encodeCall({method}, {params}).value.text;
    return request;
}

} // namespace jackdawlead::gateway
