#pragma once

#include "config/manifest.h"
#include "core/ids.h"

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace jackdawlead::config {

/// The greatest size of one part as it is stored; the object API holds values up to a megabyte.
constexpr std::size_t maxPartBytes = 900 * 1024;

/// One immutable piece of a manifest; its name is the digest of its content.
struct ConfigPart
{
    std::string name;
    std::string content;
};

/// Names the parts of one generation in order.
struct ConfigRoot
{
    core::Generation generation;
    std::string release;
    std::string digest; ///< Digest over the part names.
    std::vector<std::string> parts;
};

/// Lower-case hexadecimal SHA-256. Thread safety: any thread.
std::string sha256Hex(std::string_view data);

/// Splits a manifest into parts of at most maxPartBytes; equal manifests give equal parts.
std::vector<ConfigPart> splitIntoParts(const Manifest &manifest);
/// The root that names `parts` as `generation`.
ConfigRoot makeRoot(core::Generation generation, const std::string &release,
                    const std::vector<ConfigPart> &parts);
/// Puts the parts of one generation together.
/// Errors: kDataLoss with step `assemble` if a part is missing or does not match its digest.
absl::StatusOr<Manifest> assemble(const ConfigRoot &root, const std::vector<ConfigPart> &parts);

nlohmann::json toJson(const ConfigRoot &root);
/// Errors: kInvalidArgument with step `decode`.
absl::StatusOr<ConfigRoot> rootFromJson(const nlohmann::json &json);

/// The fields in which two manifests differ, one line each.
std::vector<std::string> differences(const Manifest &from, const Manifest &to);

} // namespace jackdawlead::config
