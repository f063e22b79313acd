#pragma once

#include <absl/status/status.h>

namespace jackdawlead::tools {

/// The exit codes of jackdawctl; documented in docs/OPERATIONS.md.
enum class ExitCode { Done = 0, Refused = 1, WrongUse = 2, Conflict = 3, OutOfReach = 4 };

/// The exit code for an error of a command. Thread safety: any thread.
ExitCode exitCodeOf(const absl::Status &status);

} // namespace jackdawlead::tools
