#pragma once

#include "core/outcome.h"
#include "core/time.h"

#include <absl/status/status.h>

#include <optional>
#include <string>
#include <string_view>

namespace jackdawlead::core {

/// Returns a status that carries the step and the peer at which the error occurred.
/// Thread safety: any thread.
absl::Status makeError(absl::StatusCode code, std::string_view step, std::string_view peer,
                       std::string_view message);

/// Returns a copy of `status` with the time after which the caller may retry.
absl::Status withRetryAfter(absl::Status status, Duration delay);

/// Returns a copy of `status` with what is known about the execution of the request.
absl::Status withOutcome(absl::Status status, Outcome outcome);

/// The step at which the error occurred; empty if the status carries none.
std::string stepOf(const absl::Status &status);
/// The peer at which the error occurred; empty if the status carries none.
std::string peerOf(const absl::Status &status);
/// The delay after which the caller may retry, if the status carries one.
std::optional<Duration> retryAfterOf(const absl::Status &status);
/// What is known about the execution; Unknown if the status carries none.
Outcome outcomeOf(const absl::Status &status);

} // namespace jackdawlead::core
