#include "daemon.h"

#include "config/settings.h"
#include "gateway/gateway.h"
#include "observability/log.h"
#include "platform/settingsreader.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

enum ExitCode { Stopped = 0, BadSettings = 1, WrongUse = 2, CannotListen = 3 };

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int runDaemon(const std::string &path, bool checkOnly)
{
    using namespace jackdawlead;
    if (!std::ifstream(path)) {
        std::cerr << path << ": cannot be read\n";
        return BadSettings;
    }
    auto settings = config::parseSettings(readFile(path), path);
    if (!settings.ok()) {
        std::cerr << std::string(settings.status().message()) << "\n";
        return BadSettings;
    }
    if (checkOnly) {
        std::cout << path << ": settings are valid\n";
        return Stopped;
    }
    observability::startLogging(settings->logLevel, settings->host);
    Daemon daemon(*std::move(settings));
    if (const absl::Status status = daemon.start(); !status.ok()) {
        observability::logError(observability::LogLevel::Error, status);
        return CannotListen;
    }
    daemon.run();
    return Stopped;
}

// Serves the users' platform; its settings file is named by the platform's environment variable.
int runGateway(bool checkOnly, std::uint16_t metricsPort, double logLinesPerSecond)
{
    using namespace jackdawlead;
    const char *path = std::getenv(platform::settingsVariable);
    if (path == nullptr || !std::ifstream(path)) {
        std::cerr << platform::settingsVariable << ": names no readable file\n";
        return BadSettings;
    }
    const auto read = [path] { return platform::readSettings(readFile(path)); };
    auto settings = read();
    if (!settings.ok()) {
        std::cerr << path << ":\n" << std::string(settings.status().message()) << "\n";
        return BadSettings;
    }
    if (checkOnly) {
        std::cout << path << ": settings are valid\n";
        return Stopped;
    }
    settings->metricsPort = metricsPort;
    observability::LogRateLimits lines;
    lines.burst = std::max(lines.burst, logLinesPerSecond);
    lines.linesPerSecond = logLinesPerSecond;
    observability::startBoundedLogging("INFO", settings->host, lines);
    gateway::Gateway gateway(*std::move(settings), read);
    if (const absl::Status status = gateway.start(); !status.ok()) {
        observability::logError(observability::LogLevel::Error, status);
        return CannotListen;
    }
    gateway.run();
    return Stopped;
}

} // namespace

int main(int argc, char *argv[])
{
    namespace options = boost::program_options;
    options::options_description description("jackdawleadd");
    description.add_options()("help", "print this text")("settings", options::value<std::string>(),
                                                         "YAML settings file")(
        "check-settings", "check the settings file and exit")(
        "metrics-port", options::value<std::uint16_t>()->default_value(0),
        "with --platform: where /metrics is served; 0 serves none")(
        "log-lines",
        options::value<double>()->default_value(
            jackdawlead::observability::LogRateLimits().linesPerSecond),
        "with --platform: lines a second that are logged besides warnings")(
        "platform", "serve the users' platform; JACKDAWLEAD_SETTINGS names its settings file");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n" << description;
        return WrongUse;
    }
    if (values.contains("help")) {
        std::cout << description;
        return Stopped;
    }
    if (values.contains("platform"))
        return runGateway(values.contains("check-settings"),
                          values["metrics-port"].as<std::uint16_t>(),
                          values["log-lines"].as<double>());
    if (!values.contains("settings")) {
        std::cerr << "--settings is required\n" << description;
        return WrongUse;
    }
    return runDaemon(values["settings"].as<std::string>(), values.contains("check-settings"));
}
