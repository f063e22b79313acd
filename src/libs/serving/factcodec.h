#pragma once

#include "decisions/factstore.h"

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include <vector>

namespace jackdawlead::serving {

/// A list of facts as a JSON array of `[kind, subject, version, value]`. Thread safety: any thread.
nlohmann::json factsToJson(const std::vector<decisions::Fact> &facts);

/// Reads what factsToJson() wrote. Errors: kInvalidArgument with step `decode` that names the
/// faulty entry; nothing is taken from a list with a fault. Thread safety: any thread.
absl::StatusOr<std::vector<decisions::Fact>> factsFromJson(const nlohmann::json &source);

} // namespace jackdawlead::serving
