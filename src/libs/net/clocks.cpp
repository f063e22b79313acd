#include "net/clocks.h"

#include <chrono>
#include <ctime>

namespace jackdawlead::net {

core::TimePoint steadyTime()
{
    return core::TimePoint(std::chrono::duration_cast<core::Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

core::TimePoint bootTime()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return core::TimePoint(std::chrono::duration_cast<core::Duration>(
        std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace jackdawlead::net
