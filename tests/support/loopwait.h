#pragma once

#include "net/eventloop.h"
#include "net/timerservice.h"

#include <functional>

namespace jackdawlead::testsupport {

/// Runs the loop until the condition holds; returns whether it did within `most`, which only
/// catches a hang. Thread safety: the loop's thread only.
bool waitUntil(net::EventLoop &loop, net::TimerService &timers,
               const std::function<bool()> &condition, core::Duration most);
/// Runs the loop for `time`.
void runFor(net::EventLoop &loop, net::TimerService &timers, core::Duration time);

} // namespace jackdawlead::testsupport
