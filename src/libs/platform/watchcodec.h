#pragma once

#include "platform/objectstoreclient.h"

#include <optional>
#include <string>
#include <string_view>

namespace jackdawlead::platform {

/// Formats the request target of a watch: path and parameters.
std::string formatWatchTarget(const WatchRequest &watch);
/// Parses the request target of a watch; nullopt if it belongs to another call.
std::optional<WatchRequest> parseWatchTarget(std::string_view target);
/// Encodes the body of the store's response to a watch.
std::string encodeEvents(const ObjectEvents &events);

} // namespace jackdawlead::platform
