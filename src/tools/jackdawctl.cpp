#include "admincommands.h"
#include "configcommands.h"
#include "explain.h"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace {

using namespace jackdawlead::tools;

ExitCode explain(const Arguments &arguments)
{
    std::vector<nlohmann::json> lines;
    if (arguments.logFiles.empty())
        lines = readLogLines(std::cin);
    for (const std::string &path : arguments.logFiles) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << path << ": cannot be read\n";
            return ExitCode::UsageError;
        }
        std::ranges::move(readLogLines(file), std::back_inserter(lines));
    }
    const RequestHistory history = explainRequest(arguments.operand, std::move(lines));
    const nlohmann::json result {{"events", history.events},
                                 {"surroundings", history.contextEvents},
                                 {"cause", history.cause}};
    return Printer(arguments.format).result(result, historyText(history));
}

ExitCode run(const Arguments &arguments)
{
    const ConfigCommands config(arguments);
    const AdminCommands admin(arguments);
    if (arguments.command == "validate")
        return config.validate();
    if (arguments.command == "diff")
        return config.diff();
    if (arguments.command == "apply")
        return config.apply();
    if (arguments.command == "get")
        return config.show();
    if (arguments.command == "status")
        return admin.status();
    if (arguments.command == "explain")
        return explain(arguments);
    if (arguments.command == "drain")
        return admin.drain();
    return admin.reportBurn();
}

} // namespace

int main(int argc, char *argv[])
{
    const auto arguments = parseArguments({argv + 1, argv + argc});
    if (!arguments.ok()) {
        std::cerr << std::string(arguments.status().message());
        return static_cast<int>(ExitCode::UsageError);
    }
    if (!arguments->helpText.empty()) {
        std::cout << arguments->helpText;
        return static_cast<int>(ExitCode::Success);
    }
    return static_cast<int>(run(*arguments));
}
