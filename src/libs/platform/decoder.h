#pragma once

#include "fleet/configuration.h"
#include "fleet/endpoint.h"

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include <string>

namespace jackdawlead::platform {

/// Decodes the spec of `config/main`. Errors: a field is missing or has the wrong type, or a
/// customer cannot be decoded; the configuration is rejected as a whole then, since one without its
/// customers would require no keys. Messages contain no values. Thread safety: any thread.
absl::StatusOr<fleet::Configuration> decodeConfiguration(const nlohmann::json &spec);

/// Decodes the spec of an object of kind `servers`. Objects of other writers may have any content.
/// Errors: a field is missing or has the wrong type, or the state is unknown. Thread safety: any
/// thread.
absl::StatusOr<fleet::Endpoint> decodeEndpoint(const std::string &name, const nlohmann::json &spec);

/// Decodes the response of an endpoint to `GET /-/report`. Errors: a field is missing or has the
/// wrong type. Thread safety: any thread.
absl::StatusOr<fleet::EndpointReport> decodeReport(const std::string &body);

/// Decodes the spec of an object of kind `versions`. Errors: a field is missing or has the wrong
/// type. Thread safety: any thread.
absl::StatusOr<fleet::AnnouncedVersion> decodeVersion(const nlohmann::json &spec);

/// Parses `IP:PORT`. Errors: the text has another form. Thread safety: any thread.
absl::StatusOr<net::Address> decodeAddress(const std::string &text);

} // namespace jackdawlead::platform
