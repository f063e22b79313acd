#include "net/bootclock.h"

#include <ctime>

namespace jackdawlead::net {

core::TimePoint bootTime()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return core::TimePoint(std::chrono::duration_cast<core::Duration>(
        std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace jackdawlead::net
