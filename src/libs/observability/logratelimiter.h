#pragma once

#include "core/time.h"

#include <cstdint>

namespace jackdawlead::observability {

struct LogRateLimits
{
    /// Without a limit, logging the refusals of a request flood takes processor time from serving;
    /// a line costs about 10 us.
    double linesPerSecond = 100;
    double burst = 300; ///< Lines that may be written at once.
};

/// A token bucket for log lines that counts the suppressed ones. Thread safety: one thread at a
/// time.
class LogRateLimiter
{
public:
    explicit LogRateLimiter(LogRateLimits limits = {})
        : m_limits(limits)
        , m_available(limits.burst)
    { }

    /// Returns whether a line may be written now; a suppressed line is counted.
    bool tryTake(core::TimePoint now);
    /// Returns the number of suppressed lines since the last call and resets it.
    std::uint64_t takeSuppressedCount();

private:
    LogRateLimits m_limits;
    double m_available;
    core::TimePoint m_lastAt;
    std::uint64_t m_suppressedCount = 0;
};

} // namespace jackdawlead::observability
