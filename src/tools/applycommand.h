#pragma once

#include "config/release.h"
#include "syncplatform.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

namespace jackdawlead::tools {

/// The configuration that the object API holds; generation 0 if it holds none.
struct StoredConfig
{
    std::optional<objectapi::Object> object;
    config::ConfigRoot root;
    config::Manifest manifest;
};

struct ApplyResult
{
    enum class Kind { Accepted, SettledByReadingBack, Unchanged, Conflict };
    Kind kind = Kind::Accepted;
    core::Generation expected;        ///< The generation on which the manifest was based.
    core::Generation generation;      ///< The generation in force now.
    std::vector<std::string> changes; ///< Fields that differ from `expected`, or from the winner.
    std::size_t parts = 0;
    std::size_t bytes = 0; ///< Of all parts.
};

/// Reads the configuration in force. Errors: kUnavailable, kDataLoss.
absl::StatusOr<StoredConfig> readStored(SyncPlatform &platform);

/// Makes `manifest` the desired state by one conditional update of the root object. If another
/// operator was first, the result is a conflict.
/// Errors: kUnavailable if the object API is out of reach; step `settle` if the outcome of the
/// write is unknown, any other step if nothing was changed. kAborted if another operator was first
/// and the winner cannot be read.
absl::StatusOr<ApplyResult> apply(SyncPlatform &platform, const config::Manifest &manifest,
                                  std::optional<core::Generation> expected);

} // namespace jackdawlead::tools
