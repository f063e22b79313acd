#pragma once

#include "net/httpmessage.h"

#include <absl/status/status.h>

#include <functional>
#include <string_view>

namespace jackdawlead::serving {

/// Receives the answer to one request: at most one head, then data, then exactly one end.
/// An end with an error and without a head is a refusal; with a head it is a cut answer. The error
/// carries step, peer and outcome (core::outcomeOf).
struct ReplySink
{
    std::function<void(int status, const net::Headers &headers)> onHead;
    std::function<void(std::string_view data)> onData;
    std::function<void(const absl::Status &status)> onEnd;
};

} // namespace jackdawlead::serving
