#pragma once

#include "core/time.h"

namespace jackdawlead::net {

/// The time of the clock that never jumps and stands still in suspension; event loops run on it.
/// Thread safety: any thread.
core::TimePoint steadyTime();
/// The time since the machine started, suspension included. Rights that end by time are checked on
/// it, since a suspended holder must find them ended. Thread safety: any thread.
core::TimePoint bootTime();

} // namespace jackdawlead::net
