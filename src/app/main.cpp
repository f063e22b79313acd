#include "daemon.h"

#include "config/settings.h"
#include "gateway/gateway.h"
#include "net/startsignals.h"
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

enum ExitCode { Success = 0, InvalidSettings = 1, UsageError = 2, ListenFailed = 3 };

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
        return InvalidSettings;
    }
    auto settings = config::parseSettings(readFile(path), path);
    if (!settings.ok()) {
        std::cerr << std::string(settings.status().message()) << "\n";
        return InvalidSettings;
    }
    if (checkOnly) {
        std::cout << path << ": settings are valid\n";
        return Success;
    }
    observability::startLogging(settings->logLevel, settings->host);
    Daemon daemon(*std::move(settings));
    if (const absl::Status status = daemon.start(); !status.ok()) {
        observability::logError(observability::LogLevel::Error, status);
        return ListenFailed;
    }
    net::deliverStartSignals();
    daemon.run();
    return Success;
}

struct GatewayOptions
{
    bool checkOnly = false;
    std::uint16_t metricsPort = 0;
    double logLinesPerSecond = 0;
    bool forecastsStreams = false;
    bool isDomainOverflowEnabled = false;
};

// Runs the gateway of the users' platform. The environment variable platform::settingsVariable
// holds the path of its settings file.
int runGateway(const GatewayOptions &options)
{
    using namespace jackdawlead;
    const char *path = std::getenv(platform::settingsVariable);
    if (path == nullptr || !std::ifstream(path)) {
        std::cerr << platform::settingsVariable << ": does not name a readable file\n";
        return InvalidSettings;
    }
    const auto read = [path] { return platform::readSettings(readFile(path)); };
    auto settings = read();
    if (!settings.ok()) {
        std::cerr << path << ":\n" << std::string(settings.status().message()) << "\n";
        return InvalidSettings;
    }
    if (options.checkOnly) {
        std::cout << path << ": settings are valid\n";
        return Success;
    }
    settings->metricsPort = options.metricsPort;
    settings->forecastsStreams = options.forecastsStreams;
    settings->isDomainOverflowEnabled = options.isDomainOverflowEnabled;
    observability::LogRateLimits logLimits;
    logLimits.burst = std::max(logLimits.burst, options.logLinesPerSecond);
    logLimits.linesPerSecond = options.logLinesPerSecond;
    observability::startBoundedLogging("INFO", settings->host, logLimits);
    gateway::Gateway gateway(*std::move(settings), read);
    if (const absl::Status status = gateway.start(); !status.ok()) {
        observability::logError(observability::LogLevel::Error, status);
        return ListenFailed;
    }
    net::deliverStartSignals();
    gateway.run();
    return Success;
}

} // namespace

int main(int argc, char *argv[])
{
    jackdawlead::net::holdStartSignals();
    namespace options = boost::program_options;
    options::options_description description("jackdawleadd");
    description.add_options()("help", "print this text")("settings", options::value<std::string>(),
                                                         "YAML settings file")(
        "check-settings", "check the settings file and exit")(
        "metrics-port", options::value<std::uint16_t>()->default_value(0),
        "with --platform: port that serves /metrics; 0 disables it")(
        "log-lines",
        options::value<double>()->default_value(
            jackdawlead::observability::LogRateLimits().linesPerSecond),
        "with --platform: maximum log lines per second besides warnings")(
        "stream-forecast",
        "with --platform: place streams on routes with a target gap by predicted gaps")(
        "domain-overflow",
        "with --platform: decide by predicted times when requests leave their failure domain")(
        "platform",
        "serve the users' platform; JACKDAWLEAD_SETTINGS holds the path of its settings file");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n" << description;
        return UsageError;
    }
    if (values.contains("help")) {
        std::cout << description;
        return Success;
    }
    if (values.contains("platform"))
        return runGateway({.checkOnly = values.contains("check-settings"),
                           .metricsPort = values["metrics-port"].as<std::uint16_t>(),
                           .logLinesPerSecond = values["log-lines"].as<double>(),
                           .forecastsStreams = values.contains("stream-forecast"),
                           .isDomainOverflowEnabled = values.contains("domain-overflow")});
    if (!values.contains("settings")) {
        std::cerr << "--settings is required\n" << description;
        return UsageError;
    }
    return runDaemon(values["settings"].as<std::string>(), values.contains("check-settings"));
}
