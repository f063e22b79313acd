#pragma once

#include "core/ids.h"
#include "observability/logratelimiter.h"

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace jackdawlead::observability {

enum class LogLevel { Debug, Info, Warn, Error };

/// The fields of one log line; an empty peer or request is omitted.
struct LogEvent
{
    LogLevel level = LogLevel::Info;
    std::string_view step;
    std::string_view message;
    std::string_view peer = {};
    std::string_view request = {};
};

/// Sets the level by its log4cplus name and the host that each line contains. From then on uncaught
/// exceptions of event loop callbacks are logged as errors.
/// Precondition: called once, before the first line. Thread safety: any thread.
void startLogging(const std::string &level, const core::HostId &host);

/// Like startLogging(), but writes to standard output with a bounded volume (BoundedAppender).
void startBoundedLogging(const std::string &level, const core::HostId &host,
                         LogRateLimits limits = {});

/// Writes one line of JSON to the installed appender. It must contain no credential and no request
/// body. Thread safety: any thread.
void log(const LogEvent &event);

/// Logs an error with the step and the peer stored in the status.
void logError(LogLevel level, const absl::Status &status, std::string_view request = {});

} // namespace jackdawlead::observability
