#pragma once

#include "observability/logratelimiter.h"

#include <log4cplus/appender.h>

#include <string>

namespace jackdawlead::observability {

/// Writes log lines to a descriptor without ever waiting for its reader, and within a budget of
/// lines. Warnings and errors are outside the budget. What was left out is counted and told with a
/// later line. The message of a line over the budget is not asked for, so that a LogLine is not
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
    /// Whether the line was taken whole by the descriptor.
    bool writeLine(const std::string &line) const;

    int m_descriptor;
    LogRateLimiter m_budget;
    std::uint64_t m_lost = 0; ///< Lines that the reader did not take in time.
};

} // namespace jackdawlead::observability
