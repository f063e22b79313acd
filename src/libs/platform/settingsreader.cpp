#include "platform/settingsreader.h"

#include "core/error.h"
#include "core/text.h"
#include "platform/decoder.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>

#include <map>
#include <string>
#include <vector>

namespace jackdawlead::platform {

namespace {

constexpr char domainPrefix[] = "zones.";

/// Parses single values and collects one line per error.
class PropertyReader
{
public:
    explicit PropertyReader(std::string_view text)
    {
        for (const absl::string_view line : absl::StrSplit(core::toAbsl(text), '\n')) {
            const std::vector<std::string> parts = absl::StrSplit(line, absl::MaxSplits('=', 1));
            if (parts.size() == 2)
                m_values.insert_or_assign(std::string(absl::StripAsciiWhitespace(parts[0])),
                                          std::string(absl::StripAsciiWhitespace(parts[1])));
        }
    }

    std::string text(const std::string &name)
    {
        const auto found = m_values.find(name);
        if (found != m_values.end() && !found->second.empty())
            return found->second;
        m_errors.push_back(absl::StrCat(name, ": missing; a value is required"));
        return {};
    }

    double number(const std::string &name)
    {
        const std::string value = text(name);
        double parsed = 0;
        if (!value.empty() && (!absl::SimpleAtod(value, &parsed) || parsed < 0))
            m_errors.push_back(absl::StrCat(name, ": '", value, "' is not a number of 0 or more"));
        return parsed;
    }

    /// A number from an optional setting.
    double numberOr(const std::string &name, double fallback)
    {
        return m_values.contains(name) ? number(name) : fallback;
    }

    core::Duration milliseconds(const std::string &name)
    {
        return std::chrono::duration_cast<core::Duration>(
            std::chrono::duration<double, std::milli>(number(name)));
    }

    /// A duration from an optional setting.
    core::Duration millisecondsOr(const std::string &name, core::Duration fallback)
    {
        return m_values.contains(name) ? milliseconds(name) : fallback;
    }

    /// Whether an optional setting is not "false".
    bool isNotFalse(const std::string &name) const
    {
        const auto found = m_values.find(name);
        return found == m_values.end() || found->second != "false";
    }

    core::Duration seconds(const std::string &name)
    {
        return std::chrono::duration_cast<core::Duration>(
            std::chrono::duration<double>(number(name)));
    }

    net::Address address(const std::string &name)
    {
        const std::string value = text(name);
        auto parsed = decodeAddress(value);
        if (parsed.ok())
            return *std::move(parsed);
        if (!value.empty())
            m_errors.push_back(absl::StrCat(name, ": '", value, "' is not IP:PORT"));
        return {};
    }

    void ports(const std::string &name, fleet::HostSettings &settings)
    {
        const std::string value = text(name);
        const std::vector<std::string> parts = absl::StrSplit(value, ',');
        int first = 0;
        int last = 0;
        const bool isRange = parts.size() == 2 && absl::SimpleAtoi(parts[0], &first)
            && absl::SimpleAtoi(parts[1], &last) && first > 0 && first <= last && last <= 65535;
        if (!isRange && !value.empty())
            m_errors.push_back(absl::StrCat(name, ": '", value, "' is not FIRST,LAST"));
        settings.firstPeerPort = static_cast<std::uint16_t>(first);
        settings.lastPeerPort = static_cast<std::uint16_t>(last);
    }

    const std::map<std::string, std::string> &values() const { return m_values; }
    const std::vector<std::string> &errors() const { return m_errors; }

private:
    std::map<std::string, std::string> m_values;
    std::vector<std::string> m_errors;
};

fleet::Bounds readBounds(PropertyReader &reader)
{
    fleet::Bounds bounds;
    // The store removes the record of an endpoint after this number of missed heartbeats.
    constexpr int missedHeartbeats = 3;
    // "grace_s" is the time from SIGTERM to SIGKILL; "budget_*" describe the retry budget.
    bounds.stableWindow = reader.milliseconds("bounds.stable_window_ms");
    bounds.drain = reader.milliseconds("bounds.drain_ms");
    bounds.grace = reader.seconds("bounds.grace_s");
    bounds.configuration = reader.milliseconds("bounds.config_ms");
    bounds.version = reader.milliseconds("bounds.version_ms");
    bounds.lease = reader.milliseconds("bounds.lease_ms");
    bounds.heartbeat = reader.millisecondsOr("heartbeat_ms", bounds.heartbeat);
    bounds.recordExpiry = missedHeartbeats * bounds.heartbeat;
    bounds.budgetWindow = reader.seconds("bounds.budget_window_s");
    bounds.budgetRatio = reader.number("bounds.budget_ratio");
    bounds.budgetSlack = reader.number("bounds.budget_slack");
    // Only deployments with customers state the bounds of quotas.
    if (reader.values().contains("bounds.quota_window_s"))
        bounds.quotaWindow = reader.seconds("bounds.quota_window_s");
    bounds.quotaOverage = reader.numberOr("bounds.quota_overage", 0);
    bounds.quotaSlack = reader.numberOr("bounds.quota_slack", 0);
    return bounds;
}

} // namespace

absl::StatusOr<fleet::HostSettings> readSettings(std::string_view text)
{
    PropertyReader reader(text);
    fleet::HostSettings settings;
    // "node" is the host and "zone" its failure domain; "zones.NAME" holds the region of a failure
    // domain; "listen.front" is the address for clients and "listen.ready" that for readiness
    // probes; "internal_ports" is the range of ports for other daemons; "platform.address" is the
    // store.
    settings.host = core::HostId(reader.text("node"));
    settings.domain = core::FailureDomainId(reader.text("zone"));
    settings.region = core::RegionId(reader.text("region"));
    for (const auto &[name, value] : reader.values()) {
        if (absl::StartsWith(name, domainPrefix))
            settings.regions[core::FailureDomainId(name.substr(sizeof domainPrefix - 1))]
                = core::RegionId(value);
    }
    settings.availableCores
        = reader.numberOr("limits.cpu_share", 1) * reader.numberOr("limits.cores", 1);
    constexpr double megabyte = 1024 * 1024;
    const double memoryMegabytes = reader.numberOr("limits.memory_mb", 0);
    if (memoryMegabytes > 0)
        settings.memoryLimit = static_cast<std::size_t>(memoryMegabytes * megabyte);
    settings.callerAddress = reader.address("listen.front");
    settings.readinessAddress = reader.address("listen.ready");
    reader.ports("internal_ports", settings);
    settings.store = reader.address("platform.address");
    // "bootstrap" is true at the first start of the whole system only.
    settings.isFirstStart = reader.isNotFalse("bootstrap");
    settings.bounds = readBounds(reader);
    if (!reader.errors().empty()) {
        std::string message;
        for (const std::string &error : reader.errors())
            absl::StrAppend(&message, message.empty() ? "" : "\n", error);
        return core::makeError(absl::StatusCode::kInvalidArgument, "read settings", "platform",
                               message);
    }
    return settings;
}

} // namespace jackdawlead::platform
