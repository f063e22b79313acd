#include "configcommands.h"

#include "applycommand.h"
#include "core/error.h"

#include <fstream>
#include <sstream>

namespace jackdawlead::tools {

namespace {

using nlohmann::json;

absl::StatusOr<config::Manifest> readManifest(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return core::makeError(absl::StatusCode::kInvalidArgument, "read", path, "cannot be read");
    std::ostringstream text;
    text << file.rdbuf();
    return config::parseManifest(text.str(), path);
}

std::string lines(const std::vector<std::string> &items)
{
    std::string text;
    for (const std::string &item : items)
        text += item + "\n";
    return text;
}

const char *describe(ApplyResult::Kind kind)
{
    switch (kind) {
    case ApplyResult::Kind::Unchanged:
        return "unchanged";
    case ApplyResult::Kind::SettledByReadingBack:
        return "accepted (answer lost, settled by reading back)";
    case ApplyResult::Kind::Accepted:
    case ApplyResult::Kind::Conflict:
        break;
    }
    return "accepted";
}

} // namespace

ExitCode ConfigCommands::validate() const
{
    const auto manifest = readManifest(m_arguments.file);
    if (!manifest.ok())
        return m_printer.error(manifest.status());
    return m_printer.result({{"valid", true}, {"release", manifest->release}},
                            m_arguments.file + ": valid\n");
}

ExitCode ConfigCommands::diff() const
{
    const auto manifest = readManifest(m_arguments.file);
    if (!manifest.ok())
        return m_printer.error(manifest.status());
    SyncPlatform platform(m_arguments.objectApi);
    const auto stored = readStored(platform);
    if (!stored.ok())
        return m_printer.error(stored.status());
    const auto changes = config::differences(stored->manifest, *manifest);
    return m_printer.result({{"generation", stored->root.generation.value()}, {"changes", changes}},
                            lines(changes));
}

ExitCode ConfigCommands::apply() const
{
    const auto manifest = readManifest(m_arguments.file);
    if (!manifest.ok())
        return m_printer.error(manifest.status());
    SyncPlatform platform(m_arguments.objectApi);
    const auto result = tools::apply(platform, *manifest, m_arguments.expected);
    if (!result.ok())
        return m_printer.error(result.status());
    const std::uint64_t generation = result->generation.value();
    if (result->kind == ApplyResult::Kind::Conflict) {
        const std::uint64_t expected = result->expected.value();
        const std::string message = "generation " + std::to_string(expected)
            + " was expected, generation " + std::to_string(generation)
            + " is in force; fields that differ:\n" + lines(result->changes);
        return m_printer.error(
            core::makeError(absl::StatusCode::kAborted, "commit", "object API", message),
            {{"expectedGeneration", expected},
             {"generation", generation},
             {"differences", result->changes}});
    }
    const std::string how = describe(result->kind);
    const json details {{"generation", generation},
                        {"result", how},
                        {"changes", result->changes},
                        {"parts", result->parts},
                        {"bytes", result->bytes}};
    return m_printer.result(details,
                            "generation " + std::to_string(generation) + " " + how + ", "
                                + std::to_string(result->parts) + " parts, "
                                + std::to_string(result->bytes) + " bytes\n");
}

ExitCode ConfigCommands::show() const
{
    SyncPlatform platform(m_arguments.objectApi);
    const auto stored = readStored(platform);
    if (!stored.ok())
        return m_printer.error(stored.status());
    const json result {{"root", config::toJson(stored->root)},
                       {"manifest", config::toJson(stored->manifest)}};
    return m_printer.result(result, result.dump(2) + "\n");
}

} // namespace jackdawlead::tools
