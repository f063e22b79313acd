#pragma once

#include "core/time.h"

#include <cstdint>

namespace jackdawlead::observability {

struct LogRateLimits
{
    /// Refusals of a flood of requests would otherwise take the processor time of serving; a line
    /// costs about 10 us.
    double linesPerSecond = 100;
    double burst = 300; ///< Lines that may come at once.
};

/// Bounds the volume of log lines and counts those left out. Thread safety: one thread at a time.
class LogRateLimiter
{
public:
    explicit LogRateLimiter(LogRateLimits limits = {})
        : m_limits(limits)
        , m_available(limits.burst)
    { }

    /// Whether a line may be written now; one that may not is counted.
    bool tryTake(core::TimePoint now);
    /// The lines left out since the last call.
    std::uint64_t takeSuppressedCount();

private:
    LogRateLimits m_limits;
    double m_available;
    core::TimePoint m_lastAt;
    std::uint64_t m_leftOut = 0;
};

} // namespace jackdawlead::observability
