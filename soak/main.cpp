#include "soakrun.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace options = boost::program_options;

namespace {

enum ExitCode { Passed = 0, Failed = 1, UsageError = 2 };

/// In a shorter soak there is only one series of faults, which does not lead to each kind of check.
constexpr int minSeconds = 30;
constexpr int maxDaemons = 60;
constexpr int maxCallers = 500; ///< Keeps their connections below the usual limit of open files.

int runSoak(const jackdawlead::soak::SoakOptions &soakOptions)
{
    char pattern[] = "/tmp/jackdawlead-soak-XXXXXX";
    if (mkdtemp(pattern) == nullptr) {
        std::cerr << "cannot create a log directory in /tmp\n";
        return Failed;
    }
    const std::string folder = pattern;
    const bool isPassed = jackdawlead::soak::SoakRun(soakOptions, folder).run();
    if (isPassed)
        std::filesystem::remove_all(folder);
    else
        std::cout << "the logs are kept in " << folder << std::endl;
    return isPassed ? Passed : Failed;
}

} // namespace

int main(int argc, char **argv)
{
    jackdawlead::soak::SoakOptions soakOptions;
    int seconds = 60;
    options::options_description description("options of soak");
    description.add_options()("help", "print this text")("seed", options::value(&soakOptions.seed),
                                                         "the seed that faults are drawn from")(
        "seconds", options::value(&seconds), "how long faults are injected")(
        "daemons", options::value(&soakOptions.daemons), "how many daemons run")(
        "callers", options::value(&soakOptions.callers),
        "how many callers send at once")("calm", options::bool_switch(&soakOptions.isCalm),
                                         "only requests, configurations and adapter versions")(
        "program", options::value(&soakOptions.program), "the program of the daemons")(
        "earlier", options::value(&soakOptions.earlierProgram),
        "the program of an earlier release, with which the daemons begin and end");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.contains("help")) {
            std::cout << description;
            return Passed;
        }
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n" << description;
        return UsageError;
    }
    if (seconds < minSeconds || soakOptions.daemons < 1 || soakOptions.daemons > maxDaemons
        || soakOptions.callers < 1 || soakOptions.callers > maxCallers) {
        std::cerr << "required: at least " << minSeconds << " seconds, 1 to " << maxDaemons
                  << " daemons and 1 to " << maxCallers << " callers\n";
        return UsageError;
    }
    soakOptions.time = std::chrono::seconds(seconds);
    // A relayed connection may end while the soak writes to it. Unlike SIG_IGN, a handler is not
    // inherited by the daemons.
    std::signal(SIGPIPE, [](int) {});
    return runSoak(soakOptions);
}
