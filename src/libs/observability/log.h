#pragma once

#include "core/ids.h"
#include "observability/logratelimiter.h"

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace jackdawlead::observability {

enum class LogLevel { Debug, Info, Warn, Error };

/// The fields of one log line; empty fields are left out.
struct LogEvent
{
    LogLevel level = LogLevel::Info;
    std::string_view step;
    std::string_view message;
    std::string_view peer = {};
    std::string_view request = {};
};

/// Sets the level by its log4cplus name and the host that is written on each line. Exceptions that
/// callbacks of a loop let through are logged as errors from then on.
/// Precondition: called once, before the first line. Thread safety: any thread.
void startLogging(const std::string &level, const core::HostId &host);

/// The same, with the lines on standard output and their volume bounded (BoundedAppender).
void startBoundedLogging(const std::string &level, const core::HostId &host,
                         LogRateLimits limits = {});

/// Writes one line of JSON to where logging was started. It must carry no credential and no request
/// body. Thread safety: any thread.
void log(const LogEvent &event);

/// Writes an error with the step and the peer that it carries.
void logError(LogLevel level, const absl::Status &status, std::string_view request = {});

} // namespace jackdawlead::observability
