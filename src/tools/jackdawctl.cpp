#include "admincommands.h"
#include "configcommands.h"

#include <iostream>

namespace {

using namespace jackdawlead::tools;

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
        return static_cast<int>(ExitCode::WrongUse);
    }
    if (!arguments->helpText.empty()) {
        std::cout << arguments->helpText;
        return static_cast<int>(ExitCode::Done);
    }
    return static_cast<int>(run(*arguments));
}
