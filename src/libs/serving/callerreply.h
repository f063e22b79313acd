#pragma once

#include "core/ids.h"
#include "net/httpserver.h"

#include <absl/status/status.h>

#include <memory>

namespace jackdawlead::serving {

/// The HTTP status under which an error is told to callers and peers.
int httpStatusOf(const absl::Status &status);

/// The refusal as it goes to callers and between daemons: a JSON error that names step, peer and
/// outcome, with X-Outcome and, where it helps, Retry-After.
net::HttpResponse refusalResponse(const absl::Status &status, const core::RequestId &request);

/// Reads a refusal that another daemon sent. Step, peer and outcome are those of its origin.
absl::Status refusalFromPeer(int status, const net::Headers &headers, const std::string &body,
                             const std::string &peer);

} // namespace jackdawlead::serving
