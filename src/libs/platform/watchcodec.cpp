#include "platform/watchcodec.h"

#include "net/requesttarget.h"
#include "platform/wirenames.h"

#include <absl/strings/numbers.h>

#include <nlohmann/json.hpp>

#include <chrono>

namespace jackdawlead::platform {

namespace {

// Parameters of watches at relays.
constexpr char sinceEraParameter[] = "since_era";
constexpr char knownEraParameter[] = "known_era";

/// The value of the parameter `name`; nullopt if it is missing or not a number.
std::optional<std::uint64_t> numericParameter(const net::ParsedTarget &target,
                                              std::string_view name)
{
    std::uint64_t value = 0;
    const auto text = target.parameter(name);
    return text && absl::SimpleAtoi(*text, &value) ? std::optional(value) : std::nullopt;
}

net::RequestTarget watchTarget(const WatchRequest &watch)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(watch.wait);
    net::RequestTarget target(collectionPath(watch.kind));
    target.addParameter(wire::watchParameter, watch.since.revision)
        .addParameter(wire::waitParameter, std::int64_t {wait.count()});
    return target;
}

} // namespace

std::string formatWatchTarget(const WatchRequest &watch)
{
    return watchTarget(watch).text();
}

std::string formatRelayWatchTarget(const WatchRequest &watch)
{
    net::RequestTarget target = watchTarget(watch);
    if (watch.knownEra)
        target.addParameter(sinceEraParameter, watch.since.era.value())
            .addParameter(knownEraParameter, watch.knownEra->value());
    return target.text();
}

std::optional<WatchRequest> parseRelayWatchTarget(std::string_view target)
{
    const auto parsed = net::parseTarget(target);
    if (!parsed)
        return std::nullopt;
    const auto since = numericParameter(*parsed, wire::watchParameter);
    const auto wait = numericParameter(*parsed, wire::waitParameter);
    if (!since || !wait)
        return std::nullopt;
    const auto sinceEra = numericParameter(*parsed, sinceEraParameter);
    const auto knownEra = numericParameter(*parsed, knownEraParameter);
    for (const ObjectKind kind :
         {ObjectKind::Configuration, ObjectKind::Endpoints, ObjectKind::AdapterVersions}) {
        if (collectionPath(kind) != parsed->path)
            continue;
        WatchRequest watch {kind,
                            {core::StoreEra(sinceEra.value_or(0)), *since},
                            std::chrono::milliseconds(*wait),
                            {}};
        if (knownEra)
            watch.knownEra = core::StoreEra(*knownEra);
        return watch;
    }
    return std::nullopt;
}

std::string encodeEvents(const ObjectEvents &events, core::TimePoint arrivedAt)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ObjectEvent &event : events.events)
        list.push_back({{"removed", event.isRemoved},
                        {relayedEraField, event.object.position.era.value()},
                        {"object", encodeObject(event.object)}});
    const auto asOf = std::chrono::floor<std::chrono::milliseconds>(events.asOf - arrivedAt);
    return nlohmann::json {{"events", list},
                           {"current_rev", events.position.revision},
                           {relayedSinceEraField, events.sinceEra.value()},
                           {relayedAsOfField, asOf.count()}}
        .dump();
}

} // namespace jackdawlead::platform
