#pragma once

#include "platform/objectstoreclient.h"

#include <optional>
#include <string>
#include <string_view>

namespace jackdawlead::platform {

/// The path of the watch, with its parameters.
std::string formatWatchTarget(const WatchRequest &watch);
/// Reads a watch from its path with parameters; none if it is another call.
std::optional<WatchRequest> parseWatchTarget(std::string_view target);
/// The body with which the store answers a watch.
std::string encodeEvents(const ObjectEvents &events);

} // namespace jackdawlead::platform
