#pragma once

#include "core/time.h"

namespace jackdawlead::gateway {

// A send with less remaining time than this cannot be answered: the shortest work takes 20 ms, half
// of it prefill, and sending to another region costs 60 ms.
inline constexpr core::Duration minRemainingTime = std::chrono::milliseconds(80);
// Limits sends that certainly did not run, because these don't count as attempts of the route.
inline constexpr int maxSends = 4;
// An interrupted stream is resumed for as long as its client waits; each send takes from the retry
// budget.
inline constexpr int maxSendsPerStream = 8;
// For streams whose software version has no endpoint: one may be back after a crash, but a release
// does not bring the version back.
inline constexpr core::Duration versionRetryAfter = std::chrono::seconds(1);
inline constexpr core::Duration busyRetryAfter = std::chrono::milliseconds(400);

} // namespace jackdawlead::gateway
