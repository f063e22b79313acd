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

std::string joinLines(const std::vector<std::string> &items)
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
    case ApplyResult::Kind::ConfirmedByReadBack:
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
    const auto manifest = readManifest(m_arguments.operand);
    if (!manifest.ok())
        return m_printer.error(manifest.status());
    return m_printer.result({{"valid", true}, {"release", manifest->release}},
                            m_arguments.operand + ": valid\n");
}

ExitCode ConfigCommands::diff() const
{
    const auto manifest = readManifest(m_arguments.operand);
    if (!manifest.ok())
        return m_printer.error(manifest.status());
    SyncClient client(m_arguments.objectApi);
    const auto stored = readStoredConfig(client);
    if (!stored.ok())
        return m_printer.error(stored.status());
    const auto changes = config::differences(stored->manifest, *manifest);
    return m_printer.result({{"generation", stored->root.generation.value()}, {"changes", changes}},
                            joinLines(changes));
}

ExitCode ConfigCommands::apply() const
{
    const auto manifest = readManifest(m_arguments.operand);
    if (!manifest.ok())
        return m_printer.error(manifest.status());
    SyncClient client(m_arguments.objectApi);
    const auto result = tools::apply(client, *manifest, m_arguments.expectedGeneration);
    if (!result.ok())
        return m_printer.error(result.status());
    const std::uint64_t generation = result->generation.value();
    if (result->kind == ApplyResult::Kind::Conflict) {
        const std::uint64_t expected = result->expectedGeneration.value();
        const std::string message = "generation " + std::to_string(expected)
            + " was expected, generation " + std::to_string(generation)
            + " is in force; fields that differ:\n" + joinLines(result->changes);
        return m_printer.error(
            core::makeError(absl::StatusCode::kAborted, "commit", "object API", message),
            {{"expectedGeneration", expected},
             {"generation", generation},
             {"differences", result->changes}});
    }
    const std::string description = describe(result->kind);
    const json details {{"generation", generation},
                        {"result", description},
                        {"changes", result->changes},
                        {"parts", result->parts},
                        {"bytes", result->bytes}};
    return m_printer.result(details,
                            "generation " + std::to_string(generation) + " " + description + ", "
                                + std::to_string(result->parts) + " parts, "
                                + std::to_string(result->bytes) + " bytes\n");
}

ExitCode ConfigCommands::show() const
{
    SyncClient client(m_arguments.objectApi);
    const auto stored = readStoredConfig(client);
    if (!stored.ok())
        return m_printer.error(stored.status());
    const json result {{"root", config::toJson(stored->root)},
                       {"manifest", config::toJson(stored->manifest)}};
    return m_printer.result(result, result.dump(2) + "\n");
}

} // namespace jackdawlead::tools
