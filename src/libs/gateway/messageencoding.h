#pragma once

#include "net/httpmessage.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace jackdawlead::gateway {

/// Writes a message between daemons: JSON-RPC parameters or a result with one field, CBOR in
/// Base64. Thread safety: any thread.
std::string packMessage(const nlohmann::json &message);
/// Errors: nlohmann::json::exception if the text is malformed. Thread safety: any thread.
nlohmann::json unpackMessage(const std::string &text);

/// A JSON-RPC call to another daemon. Thread safety: any thread.
net::HttpRequest peerCall(const char *method, const std::string &params);

/// Where daemons accept JSON-RPC calls.
inline constexpr char peerCallPath[] = "/rpc";

} // namespace jackdawlead::gateway
