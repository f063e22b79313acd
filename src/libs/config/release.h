#pragma once

#include "config/manifest.h"
#include "core/ids.h"

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace jackdawlead::config {

/// Maximum stored size of one part; the object API accepts values of up to a megabyte.
constexpr std::size_t maxPartBytes = 900 * 1024;

/// One immutable piece of a manifest. Its name is the digest of its content.
struct ConfigPart
{
    std::string name;
    std::string content;
};

/// Lists the parts of one generation in order.
struct ConfigRoot
{
    core::Generation generation;
    std::string release;
    std::string digest; ///< Digest over the part names.
    std::vector<std::string> parts;
};

/// Lower-case hexadecimal SHA-256. Thread safety: any thread.
std::string sha256Hex(std::string_view data);

/// Returns the number of bytes that one entry of a manifest takes in a stored part.
std::size_t storedBytes(const nlohmann::json &item);

/// Splits a manifest into parts of at most maxPartBytes; equal manifests have equal parts.
std::vector<ConfigPart> splitIntoParts(const Manifest &manifest);
/// Returns the root of `generation`, which lists `parts`.
ConfigRoot makeRoot(core::Generation generation, const std::string &release,
                    const std::vector<ConfigPart> &parts);
/// Reassembles the manifest from the parts of one generation.
/// Errors: kDataLoss with step `assemble` if a part is missing or does not match its digest.
absl::StatusOr<Manifest> assemble(const ConfigRoot &root, const std::vector<ConfigPart> &parts);

nlohmann::json toJson(const ConfigRoot &root);
/// Errors: kInvalidArgument with step `decode`.
absl::StatusOr<ConfigRoot> rootFromJson(const nlohmann::json &json);

/// Returns one line for each field in which two manifests differ.
std::vector<std::string> differences(const Manifest &from, const Manifest &to);

} // namespace jackdawlead::config
