#pragma once

#include "config/release.h"
#include "syncclient.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

namespace jackdawlead::tools {

/// The configuration stored in the object API; generation 0 if there is none.
struct StoredConfig
{
    std::optional<objectapi::Object> object;
    config::ConfigRoot root;
    config::Manifest manifest;
};

struct ApplyResult
{
    enum class Kind { Accepted, ConfirmedByReadBack, Unchanged, Conflict };
    Kind kind = Kind::Accepted;
    core::Generation expectedGeneration; ///< The generation on which the manifest was based.
    core::Generation generation;         ///< The generation in force now.
    std::vector<std::string> changes;    ///< Differences to the configuration in force.
    std::size_t parts = 0;
    std::size_t bytes = 0; ///< Total size of all parts.
};

/// Reads the configuration in force. Errors: kUnavailable, kDataLoss.
absl::StatusOr<StoredConfig> readStoredConfig(SyncClient &client);

/// Makes `manifest` the desired state by one conditional update of the root object. If another
/// operator changed the root object first, the result is a conflict.
/// Errors: kUnavailable if the object API is unreachable; step `settle` if the outcome of the
/// write is unknown, any other step if nothing was changed. kAborted if there was a conflict and
/// the configuration in force cannot be read.
absl::StatusOr<ApplyResult> apply(SyncClient &client, const config::Manifest &manifest,
                                  std::optional<core::Generation> expected);

} // namespace jackdawlead::tools
