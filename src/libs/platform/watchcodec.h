#pragma once

#include "platform/objectstoreclient.h"

#include <optional>
#include <string>
#include <string_view>

namespace jackdawlead::platform {

/// Fields that only relays write: the era of an event, and that of the position that the events
/// follow. They differ from the era of the response if the events cross eras.
inline constexpr char relayedEraField[] = "era";
inline constexpr char relayedSinceEraField[] = "since_era";
/// Another one: milliseconds from the arrival of the watch at the relay to the time up to which the
/// relay knows all changes; negative if that was earlier.
inline constexpr char relayedAsOfField[] = "as_of_ms";

/// Formats the request target of a watch of the store: path and parameters.
std::string formatWatchTarget(const WatchRequest &watch);
/// The same of a watch at a relay, which also needs the eras.
std::string formatRelayWatchTarget(const WatchRequest &watch);
/// Parses the request target of a watch at a relay; nullopt if it belongs to another call.
std::optional<WatchRequest> parseRelayWatchTarget(std::string_view target);
/// Encodes the body of a relay's response to a watch that arrived at `arrivedAt`.
std::string encodeEvents(const ObjectEvents &events, core::TimePoint arrivedAt);

} // namespace jackdawlead::platform
