#include "observability/log.h"

#include "core/error.h"
#include "net/guard.h"
#include "observability/boundedappender.h"
#include "observability/logline.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <unistd.h>

namespace jackdawlead::observability {

namespace {

std::string &hostName()
{
    static std::string name;
    return name;
}

log4cplus::Logger &logger()
{
    static log4cplus::Logger instance = log4cplus::Logger::getInstance("jackdawlead");
    return instance;
}

log4cplus::LogLevel toLog4cplusLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

} // namespace

namespace {

void installAppender(log4cplus::Appender *sink, const std::string &level, const core::HostId &host)
{
    hostName() = host.value();
    const log4cplus::SharedAppenderPtr appender(sink);
    // %D is UTC; the message supplies the remaining fields and the closing brace.
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        R"({"time":"%D{%Y-%m-%dT%H:%M:%S.%q}Z","level":"%p",%m%n)"));
    logger().addAppender(appender);
    logger().setLogLevel(log4cplus::getLogLevelManager().fromString(level));
    net::setFailureReport([](std::string_view source, std::string_view what) {
        log({.level = LogLevel::Error, .step = "exception", .message = what, .peer = source});
    });
}

void initialize()
{
    static const log4cplus::Initializer initializer;
}

} // namespace

void startLogging(const std::string &level, const core::HostId &host)
{
    initialize();
    constexpr bool logToStdErr = true;
    constexpr bool immediateFlush = true;
    installAppender(new log4cplus::ConsoleAppender(logToStdErr, immediateFlush), level, host);
}

void startBoundedLogging(const std::string &level, const core::HostId &host, LogRateLimits limits)
{
    initialize();
    installAppender(new BoundedAppender(STDOUT_FILENO, limits), level, host);
}

void log(const LogEvent &event)
{
    const log4cplus::LogLevel level = toLog4cplusLevel(event.level);
    if (logger().isEnabledFor(level))
        logger().forcedLog(LogLine(logger().getName(), level, event, hostName()));
}

void logError(LogLevel level, const absl::Status &status, std::string_view request)
{
    const std::string step = core::stepOf(status);
    const std::string peer = core::peerOf(status);
    const std::string message(status.message());
    log({.level = level, .step = step, .message = message, .peer = peer, .request = request});
}

} // namespace jackdawlead::observability
