#pragma once

#include <chrono>

namespace jackdawlead::core {

/// The clock of all decisions. It has no now(): the time is always a parameter, so that tests and
/// benchmarks can run the same code in virtual time.
struct MonotonicClock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
};

using Duration = MonotonicClock::duration;
using TimePoint = MonotonicClock::time_point;

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// For logs and wire formats; truncated to whole milliseconds.
inline long long toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// The duration times `factor`, truncated to whole microseconds.
inline Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace jackdawlead::core
