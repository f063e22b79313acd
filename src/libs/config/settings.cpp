#include "config/settings.h"

#include "config/yamlreader.h"
#include "core/error.h"

#include <arpa/inet.h>

namespace jackdawlead::config {

namespace {

std::string ipAddress(const YamlReader &reader, const char *key, const std::string &fallback)
{
    std::string text = fallback.empty() ? reader.text(key) : reader.text(key, fallback);
    in6_addr address {};
    const bool isAddress = inet_pton(AF_INET, text.c_str(), &address) == 1
        || inet_pton(AF_INET6, text.c_str(), &address) == 1;
    if (!text.empty() && !isAddress)
        reader.addError(key, "must be an IP address, got '" + text + "'");
    return text;
}

std::uint16_t port(const YamlReader &reader, const char *key)
{
    return static_cast<std::uint16_t>(reader.integer(key, 1, 65535));
}

core::Duration milliseconds(const YamlReader &reader, const char *key, core::Duration fallback)
{
    constexpr std::int64_t oneHourMs = 3'600'000;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    return std::chrono::milliseconds(reader.integer(key, 1, oneHourMs, ms));
}

void readListeners(const YamlReader &root, Settings &settings)
{
    const YamlReader listen = root.section("listen");
    listen.allowKeys({"ip", "callerPort", "peerPort", "adminPort"});
    settings.listenIp = ipAddress(listen, "ip", settings.listenIp);
    settings.callerPort = port(listen, "callerPort");
    settings.peerPort = port(listen, "peerPort");
    settings.adminPort = port(listen, "adminPort");
    const YamlReader credentials = root.section("credentials");
    credentials.allowKeys({"peer", "admin", "order"});
    settings.peerCredential = credentials.text("peer");
    settings.adminCredential = credentials.text("admin");
    settings.orderCredential = credentials.text("order", "");
}

void readPlatform(const YamlReader &root, Settings &settings)
{
    const YamlReader platform = root.section("platform");
    platform.allowKeys(
        {"objectApiIp", "objectApiPort", "hostListIp", "hostListPort", "hostListPeriodMs"});
    settings.objectApiIp = ipAddress(platform, "objectApiIp", {});
    settings.objectApiPort = port(platform, "objectApiPort");
    settings.hostListIp = ipAddress(platform, "hostListIp", {});
    settings.hostListPort = port(platform, "hostListPort");
    settings.hostListPeriod = milliseconds(platform, "hostListPeriodMs", settings.hostListPeriod);
}

void readLease(const YamlReader &root, Settings &settings)
{
    const YamlReader lease = root.section("lease");
    lease.allowKeys({"durationMs", "renewPeriodMs", "guardMs"});
    settings.leaseDuration = milliseconds(lease, "durationMs", settings.leaseDuration);
    settings.leaseRenewPeriod = milliseconds(lease, "renewPeriodMs", settings.leaseRenewPeriod);
    settings.leaseGuard = milliseconds(lease, "guardMs", settings.leaseGuard);
    if (settings.leaseRenewPeriod * 2 + settings.leaseGuard > settings.leaseDuration)
        lease.addError("renewPeriodMs", "two renewals and the guard must fit into durationMs");
}

void readLimits(const YamlReader &root, Settings &settings)
{
    const YamlReader limits = root.section("limits");
    limits.allowKeys({"probePeriodMs", "connectTimeoutMs", "firstByteTimeoutMs", "byteGapTimeoutMs",
                      "orderTimeoutMs", "defaultDeadlineMs", "drainTimeoutMs",
                      "maxQueuedPerEndpoint", "maxRunningPerEndpoint", "maxBodyBytes",
                      "storeLoadsPerSecond", "storeConcurrentLoads"});
    const auto read = [&limits](const char *key, core::Duration &value) {
        value = milliseconds(limits, key, value);
    };
    read("probePeriodMs", settings.probePeriod);
    read("connectTimeoutMs", settings.connectTimeout);
    read("firstByteTimeoutMs", settings.firstByteTimeout);
    read("byteGapTimeoutMs", settings.byteGapTimeout);
    read("orderTimeoutMs", settings.orderTimeout);
    read("defaultDeadlineMs", settings.defaultDeadline);
    read("drainTimeoutMs", settings.drainTimeout);
    settings.maxQueuedPerEndpoint
        = limits.integer("maxQueuedPerEndpoint", 1, 100'000, settings.maxQueuedPerEndpoint);
    settings.maxRunningPerEndpoint
        = limits.integer("maxRunningPerEndpoint", 1, 10'000, settings.maxRunningPerEndpoint);
    settings.maxBodyBytes
        = limits.integer("maxBodyBytes", 1024, 64LL * 1024 * 1024, settings.maxBodyBytes);
    settings.storeLoadsPerSecond
        = limits.number("storeLoadsPerSecond", 0.01, 10'000, settings.storeLoadsPerSecond);
    settings.storeConcurrentLoads
        = limits.integer("storeConcurrentLoads", 1, 1024, settings.storeConcurrentLoads);
}

void readLog(const YamlReader &root, Settings &settings)
{
    const YamlReader log = root.section("log");
    log.allowKeys({"level"});
    settings.logLevel = log.text("level", settings.logLevel);
    for (const char *known : {"TRACE", "DEBUG", "INFO", "WARN", "ERROR", "OFF"})
        if (settings.logLevel == known)
            return;
    log.addError("level",
                 "must be TRACE, DEBUG, INFO, WARN, ERROR or OFF, got '" + settings.logLevel + "'");
}

void readObjectives(const YamlReader &root, Settings &settings)
{
    constexpr double minShare = 0.01;
    constexpr double maxShare = 0.9999;
    const YamlReader objectives = root.section("objectives");
    objectives.allowKeys({"firstTokenMs", "answerMs", "loadStallMs", "firstTokenShare",
                          "answerShare", "loadStallShare"});
    settings.firstTokenObjective
        = milliseconds(objectives, "firstTokenMs", settings.firstTokenObjective);
    settings.answerObjective = milliseconds(objectives, "answerMs", settings.answerObjective);
    settings.loadStallObjective
        = milliseconds(objectives, "loadStallMs", settings.loadStallObjective);
    const auto share = [&](const char *key, double &value) {
        value = objectives.number(key, minShare, maxShare, value);
    };
    share("firstTokenShare", settings.firstTokenShare);
    share("answerShare", settings.answerShare);
    share("loadStallShare", settings.loadStallShare);
}

} // namespace

absl::StatusOr<Settings> parseSettings(const std::string &yaml, const std::string &source)
{
    const auto invalidSettings = [&source](const std::string &message) {
        return core::makeError(absl::StatusCode::kInvalidArgument, "settings", source, message);
    };
    ValidationErrors errors(source);
    const auto node = loadYaml(yaml, errors);
    if (!node.ok())
        return invalidSettings(std::string(node.status().message()));
    Settings settings;
    const YamlReader root(*node, "settings", errors);
    root.allowKeys({"host", "region", "failureDomain", "listen", "credentials", "platform", "lease",
                    "limits", "log", "objectives"});
    settings.host = core::HostId(root.text("host"));
    settings.region = core::RegionId(root.text("region"));
    settings.failureDomain = core::FailureDomainId(root.text("failureDomain"));
    readListeners(root, settings);
    readPlatform(root, settings);
    readLease(root, settings);
    readLimits(root, settings);
    readLog(root, settings);
    readObjectives(root, settings);
    if (!errors.isEmpty())
        return invalidSettings(errors.toString());
    return settings;
}

} // namespace jackdawlead::config
