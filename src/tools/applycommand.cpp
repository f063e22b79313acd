#include "applycommand.h"

#include "core/error.h"

namespace jackdawlead::tools {

namespace {

constexpr const char *rootName = "main";

// Bounds the time until a lost answer is given up.
constexpr int maxAttempts = 3;

absl::Status storePart(SyncPlatform &platform, const config::ConfigPart &part)
{
    absl::Status status;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        status
            = platform.create(objectapi::kinds::configParts, part.name, {{"content", part.content}})
                  .status();
        // A part is named by its content, so one that exists already is the same, and a repeat
        // after a lost answer is harmless.
        if (status.ok() || status.code() == absl::StatusCode::kAlreadyExists)
            return absl::OkStatus();
        if (core::outcomeOf(status) == core::Outcome::NotRun)
            break;
        if (platform.read(objectapi::kinds::configParts, part.name).ok())
            return absl::OkStatus();
    }
    return core::makeError(status.code(), "store part", core::peerOf(status),
                           std::string(status.message())
                               + "; the configuration in force was not changed");
}

absl::StatusOr<ApplyResult> conflict(SyncPlatform &platform, const config::Manifest &manifest,
                                     core::Generation expected)
{
    const auto winner = readStored(platform);
    if (!winner.ok())
        return core::makeError(absl::StatusCode::kAborted, "commit", "object API",
                               "generation " + std::to_string(expected.value())
                                   + " is no longer in force; nothing was changed, and what is in "
                                     "force cannot be read: "
                                   + std::string(winner.status().message()));
    ApplyResult result;
    result.kind = ApplyResult::Kind::Conflict;
    result.expected = expected;
    result.generation = winner->root.generation;
    result.changes = config::differences(winner->manifest, manifest);
    return result;
}

absl::Status outcomeUnknown(const config::ConfigRoot &root, const absl::Status &cause)
{
    return core::makeError(
        absl::StatusCode::kUnavailable, "settle", core::peerOf(cause),
        "outcome unknown: the answer to the write of generation "
            + std::to_string(root.generation.value())
            + " was lost and the object API cannot be read (" + std::string(cause.message())
            + "). To check, run `jackdawctl get` once it answers: the manifest was accepted if "
              "generation "
            + std::to_string(root.generation.value()) + " has digest " + root.digest
            + "; applying it again is safe.");
}

absl::StatusOr<objectapi::Object> writeRoot(SyncPlatform &platform, const StoredConfig &stored,
                                            const config::ConfigRoot &root)
{
    if (!stored.object)
        return platform.create(objectapi::kinds::configRoots, rootName, config::toJson(root));
    return platform.update(objectapi::kinds::configRoots,
                           {rootName, stored.object->resourceVersion, config::toJson(root)});
}

} // namespace

absl::StatusOr<StoredConfig> readStored(SyncPlatform &platform)
{
    StoredConfig stored;
    auto object = platform.read(objectapi::kinds::configRoots, rootName);
    if (object.status().code() == absl::StatusCode::kNotFound)
        return stored;
    if (!object.ok())
        return object.status();
    auto root = config::rootFromJson(object->spec);
    if (!root.ok())
        return root.status();
    std::vector<config::ConfigPart> parts;
    for (const std::string &name : root->parts) {
        const auto part = platform.read(objectapi::kinds::configParts, name);
        if (!part.ok())
            return part.status();
        parts.push_back({name, part->spec.value("content", std::string())});
    }
    auto manifest = config::assemble(*root, parts);
    if (!manifest.ok())
        return manifest.status();
    stored.object = *std::move(object);
    stored.root = *std::move(root);
    stored.manifest = *std::move(manifest);
    return stored;
}

namespace {

absl::StatusOr<ApplyResult> commit(SyncPlatform &platform, const config::Manifest &manifest,
                                   const StoredConfig &stored, const config::ConfigRoot &root,
                                   ApplyResult result)
{
    for (int attempt = 0;; ++attempt) {
        const auto written = writeRoot(platform, stored, root);
        if (written.ok())
            return result;
        const absl::StatusCode code = written.status().code();
        const bool isLostRace
            = code == absl::StatusCode::kAborted || code == absl::StatusCode::kAlreadyExists;
        if (isLostRace && attempt == 0)
            return conflict(platform, manifest, result.expected);
        if (!isLostRace && attempt == 0
            && core::outcomeOf(written.status()) == core::Outcome::NotRun)
            return written.status();
        // This write, or the one before it, may have taken effect although its answer was lost.
        const auto now = readStored(platform);
        if (!now.ok())
            return outcomeUnknown(root, now.status());
        if (now->root.generation == root.generation && now->root.digest == root.digest) {
            result.kind = ApplyResult::Kind::SettledByReadingBack;
            return result;
        }
        if (now->root.generation != result.expected)
            return conflict(platform, manifest, result.expected);
        // The update is conditional, so that a repeat cannot take effect twice.
        if (attempt + 1 == maxAttempts)
            return outcomeUnknown(root, written.status());
    }
}

} // namespace

absl::StatusOr<ApplyResult> apply(SyncPlatform &platform, const config::Manifest &manifest,
                                  std::optional<core::Generation> expected)
{
    const auto stored = readStored(platform);
    if (!stored.ok())
        return stored.status();
    const core::Generation base = stored->root.generation;
    if (expected && *expected != base)
        return conflict(platform, manifest, *expected);
    ApplyResult result;
    result.expected = base;
    result.generation = base;
    result.changes = config::differences(stored->manifest, manifest);
    if (result.changes.empty() && stored->object) {
        result.kind = ApplyResult::Kind::Unchanged;
        return result;
    }
    const auto parts = config::splitIntoParts(manifest);
    for (const config::ConfigPart &part : parts) {
        if (const absl::Status status = storePart(platform, part); !status.ok())
            return status;
        result.bytes += part.content.size();
    }
    result.parts = parts.size();
    const config::ConfigRoot root = config::makeRoot(base.next(), manifest.release, parts);
    result.generation = root.generation;
    return commit(platform, manifest, *stored, root, result);
}

} // namespace jackdawlead::tools
