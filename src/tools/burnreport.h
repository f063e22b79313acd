#pragma once

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace jackdawlead::tools {

/// Sums the responses of several daemons to `/admin/v1/burn` and computes the burn of each
/// indicator and window. Errors: kFailedPrecondition with step `merge` if the objectives of the
/// daemons differ or a response is malformed. Thread safety: any thread.
absl::StatusOr<nlohmann::json> mergeBurn(const std::vector<nlohmann::json> &daemons);

/// Formats the merged report as a table.
std::string burnTable(const nlohmann::json &merged);

} // namespace jackdawlead::tools
