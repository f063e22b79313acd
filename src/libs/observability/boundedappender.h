#pragma once

#include "observability/logratelimiter.h"

#include <log4cplus/appender.h>

#include <string>

namespace jackdawlead::observability {

/// Writes log lines to a descriptor without blocking on its reader, and within a rate limit.
/// Warnings and errors are exempt from the limit. A later line reports the number of suppressed and
/// lost lines. The message of a line over the limit is not read, so that a LogLine is not
/// formatted. Thread safety: log4cplus calls it under its own lock.
class BoundedAppender : public log4cplus::Appender
{
public:
    BoundedAppender(int descriptor, LogRateLimits limits);
    ~BoundedAppender() override;

    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    /// Returns whether the complete line was written.
    bool writeLine(const std::string &line) const;

    int m_descriptor;
    LogRateLimiter m_rateLimiter;
    std::uint64_t m_lostCount = 0; ///< Lines that could not be written completely at once.
};

} // namespace jackdawlead::observability
