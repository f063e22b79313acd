#pragma once

#include "platform/objectstore.h"

#include <optional>
#include <string>
#include <string_view>

namespace jackdawlead::platform {

/// The path of the watch, with its parameters.
std::string writeWatchTarget(const WatchRequest &watch);
/// Reads a watch from its path with parameters; none if it is another call.
std::optional<WatchRequest> readWatchTarget(std::string_view target);
/// The body with which the store answers a watch.
std::string writeEvents(const ObjectEvents &events);

} // namespace jackdawlead::platform
