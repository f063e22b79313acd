#include "soakrun.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace options = boost::program_options;

namespace {

enum ExitCode { Passed = 0, Failed = 1, WrongUse = 2 };

constexpr int leastSeconds = 15; ///< A shorter soak has no calm in which bounds are checked.
constexpr int mostDaemons = 16;
constexpr int mostCallers = 500; ///< Their connections stay below the usual limit of open files.

int play(const jackdawlead::soak::SoakOptions &soakOptions)
{
    char pattern[] = "/tmp/jackdawlead-soak-XXXXXX";
    if (mkdtemp(pattern) == nullptr) {
        std::cerr << "cannot create a folder for the logs\n";
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
    options::options_description known("options of soak");
    known.add_options()("help", "print this text")("seed", options::value(&soakOptions.seed),
                                                   "the seed that faults are drawn from")(
        "seconds", options::value(&seconds), "how long faults are played")(
        "daemons", options::value(&soakOptions.daemons), "how many daemons run")(
        "callers", options::value(&soakOptions.callers), "how many callers send at once");
    try {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, known), given);
        options::notify(given);
        if (given.contains("help")) {
            std::cout << known;
            return Passed;
        }
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n" << known;
        return WrongUse;
    }
    if (seconds < leastSeconds || soakOptions.daemons < 1 || soakOptions.daemons > mostDaemons
        || soakOptions.callers < 1 || soakOptions.callers > mostCallers) {
        std::cerr << "at least " << leastSeconds << " seconds, 1 to " << mostDaemons
                  << " daemons and 1 to " << mostCallers << " callers\n";
        return WrongUse;
    }
    soakOptions.time = std::chrono::seconds(seconds);
    return play(soakOptions);
}
