#pragma once

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace jackdawlead::tools {

/// Adds up the answers of several daemons to `/admin/v1/burn` and computes the burn of each
/// indicator and window. Errors: kFailedPrecondition with step `merge` if the daemons do not have
/// the same objectives or a malformed answer. Thread safety: any thread.
absl::StatusOr<nlohmann::json> mergeBurn(const std::vector<nlohmann::json> &daemons);

/// The merged report as a table.
std::string burnTable(const nlohmann::json &merged);

} // namespace jackdawlead::tools
