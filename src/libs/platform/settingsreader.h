#pragma once

#include "fleet/hostsettings.h"

#include <absl/status/statusor.h>

#include <string_view>

namespace jackdawlead::platform {

/// The environment variable that holds the path of the settings file.
inline constexpr char settingsVariable[] = "JACKDAWLEAD_SETTINGS";

/// Parses the platform's settings, lines of `name=value`. Unknown names are ignored. Errors: the
/// message lists every known name that is missing or has an invalid value, one per line. Thread
/// safety: any thread.
absl::StatusOr<fleet::HostSettings> readSettings(std::string_view text);

} // namespace jackdawlead::platform
