#include "platform/decoder.h"

#include "core/boundedjson.h"
#include "core/error.h"
#include "net/httpsyntax.h"
#include "net/ipaddress.h"
#include "platform/customerdecoder.h"
#include "platform/wirenames.h"

#include <charconv>
#include <chrono>
#include <cmath>
#include <utility>

namespace jackdawlead::platform {

namespace {

using nlohmann::json;

absl::Status formatError(std::string_view step, std::string_view what)
{
    return core::makeError(absl::StatusCode::kInvalidArgument, step, "platform", what);
}

// The largest times on this platform are minutes; larger ones would overflow in sums.
constexpr double maxSeconds = 1e6;

core::Duration seconds(const json &value)
{
    const auto number = value.get<double>();
    if (!(std::abs(number) <= maxSeconds))
        core::throwOutOfRange("time out of range");
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(number));
}

core::Duration milliseconds(const json &value)
{
    return seconds(value.get<double>() / 1000);
}

fleet::Route decodeRoute(const json &value)
{
    fleet::Route route;
    // "path_prefix" is the route's prefix of request targets; "gap_target_ms" is the target for the
    // pause between two events of a stream.
    route.name = value.at("name").get<std::string>();
    route.host = value.at("host").get<std::string>();
    route.pathPrefix = value.at("path_prefix").get<std::string>();
    const auto kind = value.at("kind").get<std::string>();
    route.isStream = kind == "stream";
    route.isResumable = value.value("resumable", false);
    const bool isRepeatable = kind == "idempotent" || (route.isStream && route.isResumable);
    route.repeatability
        = isRepeatable ? fleet::Repeatability::Repeatable : fleet::Repeatability::AtMostOnce;
    if (const auto split = value.find("traffic_split"); split != value.end() && split->is_array()) {
        for (const json &target : *split)
            route.targets.push_back({core::ServiceId(target.at("service").get<std::string>()),
                                     target.at("weight").get<double>()});
    } else {
        route.targets.push_back({core::ServiceId(value.at("service").get<std::string>()), 1.0});
    }
    route.timeout = milliseconds(value.at("timeout_ms"));
    route.targetLatency = milliseconds(value.value("target_latency_ms", json(0)));
    route.targetGap = milliseconds(value.value("gap_target_ms", json(0)));
    if (const auto priority = value.find("priority"); priority != value.end())
        route.priority = core::integerOf<int>(*priority);
    route.isAnonymous = value.value("anonymous", false);
    route.maxAttempts = core::integerMember(value, "max_attempts", 1);
    return route;
}

fleet::EngineSpec decodeEngine(const json &value)
{
    fleet::EngineSpec engine;
    engine.slots = core::integerMember(value, "slots", 0);
    engine.adapterSlots = core::integerMember(value, "adapter_slots", 0);
    engine.weightsMegabytes = value.value("weights_mb", 0.0);
    engine.loadsPerSecond = value.value("loads_per_s", 0.0);
    for (const json &entry : value.value("models", json::array())) {
        fleet::ModelSpec model;
        model.model = core::ModelId(entry.at("name").get<std::string>());
        model.weightsMegabytes = entry.value("weights_mb", 0.0);
        model.adapterMegabytes = entry.value("adapter_mb", 0.0);
        model.loadTime = seconds(entry.value("load_s", json(0)));
        engine.models.push_back(std::move(model));
    }
    return engine;
}

fleet::ServiceSpec decodeService(const json &value)
{
    fleet::ServiceSpec service;
    service.service = core::ServiceId(value.at("name").get<std::string>());
    // "max_conns" limits the connections of all clients to one endpoint together.
    service.maxConnections = core::integerMember(value, "max_conns", std::size_t {0});
    if (const auto path = value.find("health_path"); path != value.end() && path->is_string())
        service.healthPath = path->get<std::string>();
    if (const auto engine = value.find("engine"); engine != value.end() && engine->is_object())
        service.engine = decodeEngine(*engine);
    return service;
}

std::vector<fleet::LoadedModel> decodeModels(const json &value)
{
    std::vector<fleet::LoadedModel> models;
    for (const json &entry : value) {
        fleet::LoadedModel model;
        model.model = core::ModelId(entry.at("name").get<std::string>());
        model.version = core::integerMember(entry, "version", 0);
        model.adapters = entry.value("adapters", std::vector<std::string>());
        models.push_back(std::move(model));
    }
    return models;
}

// nlohmann::json reports a missing field or a wrong type by an exception; this is the one place
// that converts it to a status.
template <typename Decode>
auto catchJsonErrors(std::string_view step, const Decode &decode)
    -> absl::StatusOr<decltype(decode())>
{
    try {
        return decode();
    } catch (const json::exception &error) {
        return formatError(step, error.what());
    }
}

} // namespace

absl::StatusOr<fleet::Configuration> decodeConfiguration(const json &spec)
{
    auto decoded = catchJsonErrors("decode configuration", [&spec] {
        fleet::Configuration configuration;
        // "version" is the generation of the configuration, not the version of its format.
        configuration.generation
            = core::Generation(core::integerOf<std::uint64_t>(spec.at("version")));
        for (const json &route : spec.at("routes"))
            configuration.routes.push_back(decodeRoute(route));
        for (const json &service : spec.at("services"))
            configuration.services.push_back(decodeService(service));
        const json limits = spec.value("limits", json::object());
        configuration.limits.headerBytes
            = core::integerMember(limits, "max_header_bytes", std::size_t {0});
        configuration.limits.bodyBytes
            = core::integerMember(limits, "max_body_bytes", std::size_t {0});
        configuration.limits.headerTimeout
            = milliseconds(limits.value("header_timeout_ms", json(0)));
        configuration.limits.idleTimeout = milliseconds(limits.value("idle_timeout_ms", json(0)));
        return configuration;
    });
    if (!decoded.ok() || !spec.contains(wire::customersField))
        return decoded;
    auto customers = decodeCustomers(spec.at(wire::customersField));
    if (!customers.ok())
        return customers.status();
    decoded->customers = std::move(customers->customers);
    decoded->longestKeyBytes = customers->longestKeyBytes;
    return decoded;
}

absl::StatusOr<fleet::Endpoint> decodeEndpoint(const std::string &name, const json &spec)
{
    // Requests name the endpoint in a header field.
    if (!net::isFieldValue(name))
        return formatError("decode endpoint", "name that no header field can hold");
    bool isKnownState = true;
    auto decoded = catchJsonErrors("decode endpoint", [&] {
        fleet::Endpoint endpoint;
        endpoint.id = core::EndpointId(name);
        endpoint.service = core::ServiceId(spec.at("service").get<std::string>());
        if (auto address = decodeAddress(spec.at("address").get<std::string>()); address.ok())
            endpoint.address = *std::move(address);
        // "zone" is the failure domain; "draining" is the state of an endpoint that leaves.
        endpoint.domain = core::FailureDomainId(spec.at("zone").get<std::string>());
        // "version" is that of the endpoint's software; streams do not go on at another one.
        if (const auto version = spec.find("version");
            version != spec.end() && version->is_string())
            endpoint.softwareVersion = core::SoftwareVersion(version->get<std::string>());
        endpoint.slots = core::integerOf<int>(spec.at("slots"));
        const auto state = spec.at("state").get<std::string>();
        endpoint.isLeaving = state == "draining";
        isKnownState = state == "ready" || endpoint.isLeaving;
        if (const auto remaining = spec.find("remaining_ms");
            remaining != spec.end() && remaining->is_number())
            endpoint.remaining = milliseconds(*remaining);
        // "born" is the start time of the incarnation, "seq" the number of orders it accepted.
        endpoint.startTime = fleet::StartTime(core::integerMember(spec, "born", std::int64_t {0}));
        endpoint.orderRevision = core::integerMember(spec, "seq", std::uint64_t {0});
        endpoint.models = decodeModels(spec.value("models", json::array()));
        return endpoint;
    });
    if (!decoded.ok())
        return decoded;
    if (!isKnownState || decoded->address.port == 0 || decoded->slots <= 0)
        return formatError("decode endpoint",
                           "unknown state, malformed address, or slots not above 0");
    return decoded;
}

absl::StatusOr<fleet::EndpointReport> decodeReport(const std::string &body)
{
    return catchJsonErrors("decode report", [&body] {
        const json value = core::parseJson(body);
        fleet::EndpointReport report;
        // "born" and "seq" as in decodeEndpoint(); "pending" lists loads in flight.
        report.startTime = fleet::StartTime(core::integerMember(value, "born", std::int64_t {0}));
        report.orderRevision = core::integerOf<std::uint64_t>(value.at("seq"));
        report.isBusy = value.value("busy", false);
        report.models = decodeModels(value.at("models"));
        report.pending = value.value("pending", std::vector<std::string>());
        return report;
    });
}

absl::StatusOr<fleet::AnnouncedVersion> decodeVersion(const json &spec)
{
    return catchJsonErrors("decode version", [&spec] {
        fleet::AnnouncedVersion announced;
        // An entry without "adapter" announces a version of the model itself.
        announced.model = core::ModelId(spec.at("model").get<std::string>());
        announced.adapter = core::AdapterId(spec.value("adapter", std::string()));
        announced.version = core::integerOf<int>(spec.at("version"));
        return announced;
    });
}

absl::StatusOr<net::Address> decodeAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    net::Address address;
    if (colon == std::string::npos)
        return formatError("decode address", text);
    address.ip = text.substr(0, colon);
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    if (parsed.ec != std::errc() || parsed.ptr != end || !net::isIpv4Address(address.ip))
        return formatError("decode address", text);
    return address;
}

} // namespace jackdawlead::platform
