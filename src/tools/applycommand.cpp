#include "applycommand.h"

#include "core/error.h"

namespace jackdawlead::tools {

namespace {

constexpr const char *rootName = "main";

// Limits the time spent on retries after lost responses.
constexpr int maxAttempts = 3;

absl::Status storePart(SyncClient &client, const config::ConfigPart &part)
{
    absl::Status status;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        status
            = client.create(objectapi::kinds::configParts, part.name, {{"content", part.content}})
                  .status();
        // The name of a part is the digest of its content, so an existing part is identical and a
        // retry after a lost response is harmless.
        if (status.ok() || status.code() == absl::StatusCode::kAlreadyExists)
            return absl::OkStatus();
        if (core::outcomeOf(status) == core::Outcome::NotRun)
            break;
        if (client.read(objectapi::kinds::configParts, part.name).ok())
            return absl::OkStatus();
    }
    return core::makeError(status.code(), "store part", core::peerOf(status),
                           std::string(status.message())
                               + "; the configuration in force was not changed");
}

absl::StatusOr<ApplyResult> conflict(SyncClient &client, const config::Manifest &manifest,
                                     core::Generation expected)
{
    const auto activeConfig = readStoredConfig(client);
    if (!activeConfig.ok())
        return core::makeError(absl::StatusCode::kAborted, "commit", "object API",
                               "generation " + std::to_string(expected.value())
                                   + " is no longer in force; nothing was changed, and the "
                                     "configuration in force cannot be read: "
                                   + std::string(activeConfig.status().message()));
    ApplyResult result;
    result.kind = ApplyResult::Kind::Conflict;
    result.expectedGeneration = expected;
    result.generation = activeConfig->root.generation;
    result.changes = config::differences(activeConfig->manifest, manifest);
    return result;
}

absl::Status outcomeUnknown(const config::ConfigRoot &root, const absl::Status &cause)
{
    return core::makeError(
        absl::StatusCode::kUnavailable, "settle", core::peerOf(cause),
        "outcome unknown: the response to the write of generation "
            + std::to_string(root.generation.value())
            + " was lost and the object API cannot be read (" + std::string(cause.message())
            + "). To check, run `jackdawctl get` once it responds: the manifest was accepted if "
              "generation "
            + std::to_string(root.generation.value()) + " has digest " + root.digest
            + "; applying it again is safe.");
}

absl::StatusOr<objectapi::Object> writeRoot(SyncClient &client, const StoredConfig &stored,
                                            const config::ConfigRoot &root)
{
    if (!stored.object)
        return client.create(objectapi::kinds::configRoots, rootName, config::toJson(root));
    return client.update(objectapi::kinds::configRoots,
                         {rootName, stored.object->resourceVersion, config::toJson(root)});
}

} // namespace

absl::StatusOr<StoredConfig> readStoredConfig(SyncClient &client)
{
    StoredConfig stored;
    auto object = client.read(objectapi::kinds::configRoots, rootName);
    if (object.status().code() == absl::StatusCode::kNotFound)
        return stored;
    if (!object.ok())
        return object.status();
    auto root = config::rootFromJson(object->spec);
    if (!root.ok())
        return root.status();
    std::vector<config::ConfigPart> parts;
    for (const std::string &name : root->parts) {
        const auto part = client.read(objectapi::kinds::configParts, name);
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

absl::StatusOr<ApplyResult> commit(SyncClient &client, const config::Manifest &manifest,
                                   const StoredConfig &stored, const config::ConfigRoot &root,
                                   ApplyResult result)
{
    for (int attempt = 0;; ++attempt) {
        const auto writeResult = writeRoot(client, stored, root);
        if (writeResult.ok())
            return result;
        const absl::StatusCode code = writeResult.status().code();
        const bool isConflict
            = code == absl::StatusCode::kAborted || code == absl::StatusCode::kAlreadyExists;
        if (isConflict && attempt == 0)
            return conflict(client, manifest, result.expectedGeneration);
        if (!isConflict && attempt == 0
            && core::outcomeOf(writeResult.status()) == core::Outcome::NotRun)
            return writeResult.status();
        // This write, or the one before it, may have taken effect although its response was lost.
        const auto rereadConfig = readStoredConfig(client);
        if (!rereadConfig.ok())
            return outcomeUnknown(root, rereadConfig.status());
        if (rereadConfig->root.generation == root.generation
            && rereadConfig->root.digest == root.digest) {
            result.kind = ApplyResult::Kind::ConfirmedByReadBack;
            return result;
        }
        if (rereadConfig->root.generation != result.expectedGeneration)
            return conflict(client, manifest, result.expectedGeneration);
        // The update is conditional, so a retry cannot take effect twice.
        if (attempt + 1 == maxAttempts)
            return outcomeUnknown(root, writeResult.status());
    }
}

} // namespace

absl::StatusOr<ApplyResult> apply(SyncClient &client, const config::Manifest &manifest,
                                  std::optional<core::Generation> expected)
{
    const auto stored = readStoredConfig(client);
    if (!stored.ok())
        return stored.status();
    const core::Generation baseGeneration = stored->root.generation;
    if (expected && *expected != baseGeneration)
        return conflict(client, manifest, *expected);
    ApplyResult result;
    result.expectedGeneration = baseGeneration;
    result.generation = baseGeneration;
    result.changes = config::differences(stored->manifest, manifest);
    if (result.changes.empty() && stored->object) {
        result.kind = ApplyResult::Kind::Unchanged;
        return result;
    }
    const auto parts = config::splitIntoParts(manifest);
    for (const config::ConfigPart &part : parts) {
        if (const absl::Status status = storePart(client, part); !status.ok())
            return status;
        result.bytes += part.content.size();
    }
    result.parts = parts.size();
    const config::ConfigRoot root
        = config::makeRoot(baseGeneration.next(), manifest.release, parts);
    result.generation = root.generation;
    return commit(client, manifest, *stored, root, result);
}

} // namespace jackdawlead::tools
