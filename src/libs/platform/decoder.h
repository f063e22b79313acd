#pragma once

#include "fleet/configuration.h"
#include "fleet/endpoint.h"

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include <string>

namespace jackdawlead::platform {

/// Reads the spec of `config/main`. Errors: a field is missing or has another type.
/// Thread safety: any thread.
absl::StatusOr<fleet::Configuration> decodeConfiguration(const nlohmann::json &spec);

/// Reads the spec of an entry of kind `servers`. Entries of other writers may hold anything.
/// Errors: a field is missing or has another type, or the state is not known. Thread safety: any
/// thread.
absl::StatusOr<fleet::Endpoint> decodeEndpoint(const std::string &name, const nlohmann::json &spec);

/// Reads the answer of an endpoint to `GET /-/report`. Errors: as above. Thread safety: any thread.
absl::StatusOr<fleet::EndpointReport> decodeReport(const std::string &body);

/// Reads the spec of an entry of kind `versions`. Errors: as above. Thread safety: any thread.
absl::StatusOr<fleet::AnnouncedVersion> decodeVersion(const nlohmann::json &spec);

/// Reads `IP:PORT`. Errors: it is not one. Thread safety: any thread.
absl::StatusOr<net::Address> decodeAddress(const std::string &text);

} // namespace jackdawlead::platform
