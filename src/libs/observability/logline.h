#pragma once

#include "observability/log.h"

#include <log4cplus/spi/loggingevent.h>

#include <optional>
#include <string>

namespace jackdawlead::observability {

/// A log line that is formatted as JSON when an appender reads its message, so that a suppressed
/// line costs no formatting. Preconditions: the fields of the event and the host outlive the line;
/// appenders write it within the call, because a copy has no message.
/// Thread safety: one thread at a time; log4cplus calls appenders within the call of the logging
/// thread.
class LogLine : public log4cplus::spi::InternalLoggingEvent
{
public:
    LogLine(const std::string &logger, log4cplus::LogLevel level, const LogEvent &event,
            const std::string &host);

    /// The fields of the line as JSON without the opening brace.
    const std::string &getMessage() const override;
    bool isFormatted() const { return m_json.has_value(); }

private:
    const LogEvent &m_event;
    const std::string &m_host;
    mutable std::optional<std::string> m_json;
};

} // namespace jackdawlead::observability
