#pragma once

#include <absl/status/status.h>

namespace jackdawlead::tools {

/// The exit codes of jackdawctl; documented in docs/OPERATIONS.md.
enum class ExitCode { Success = 0, Refused = 1, UsageError = 2, Conflict = 3, Unreachable = 4 };

/// Maps the status of a command to an exit code. Thread safety: any thread.
ExitCode exitCodeOf(const absl::Status &status);

} // namespace jackdawlead::tools
