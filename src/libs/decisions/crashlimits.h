#pragma once

#include <cstddef>

namespace jackdawlead::decisions {

/// A request that was running when this many endpoints crashed is not sent to another one in its
/// place.
inline constexpr std::size_t crashesUntilNotRepeated = 2;
/// What was in progress at this many crashes must not reach endpoints any more. The platform allows
/// a request three of them.
inline constexpr std::size_t crashesUntilBlocked = 3;

} // namespace jackdawlead::decisions
