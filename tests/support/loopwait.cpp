#include "support/loopwait.h"

namespace jackdawlead::testsupport {

bool waitUntil(net::EventLoop &loop, net::TimerService &timers,
               const std::function<bool()> &condition, core::Duration most)
{
    constexpr core::Duration checkPeriod = std::chrono::milliseconds(5);
    const core::TimePoint end = loop.now() + most;
    bool holds = false;
    const auto check = timers.every(checkPeriod, [&] {
        holds = condition();
        if (holds || loop.now() > end)
            loop.stop();
    });
    loop.run();
    return holds;
}

void runFor(net::EventLoop &loop, net::TimerService &timers, core::Duration time)
{
    const auto end = timers.once(time, [&loop] { loop.stop(); });
    loop.run();
}

} // namespace jackdawlead::testsupport
