#include "exitcode.h"

namespace jackdawlead::tools {

ExitCode exitCodeOf(const absl::Status &status)
{
    switch (status.code()) {
    case absl::StatusCode::kOk:
        return ExitCode::Success;
    case absl::StatusCode::kAborted:
    case absl::StatusCode::kAlreadyExists:
        return ExitCode::Conflict;
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kDeadlineExceeded:
        return ExitCode::Unreachable;
    default:
        return ExitCode::Refused;
    }
}

} // namespace jackdawlead::tools
