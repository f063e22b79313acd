#pragma once

#include "core/time.h"

namespace jackdawlead::gateway {

// A send with less time left than this cannot be answered: half of the shortest work of 20 ms is
// reading, and a region away costs 60 ms.
inline constexpr core::Duration minRemainingTime = std::chrono::milliseconds(80);
// Sends that are certain not to have run do not use up the route's attempts, but they must end.
inline constexpr int maxSends = 4;
// A stream that broke off goes on for as long as its caller waits; each send takes from the budget.
inline constexpr int maxSendsPerStream = 8;
inline constexpr core::Duration busyRetryAfter = std::chrono::milliseconds(400);

} // namespace jackdawlead::gateway
