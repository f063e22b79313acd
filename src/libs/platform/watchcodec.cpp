#include "platform/watchcodec.h"

#include "core/text.h"
#include "platform/wirenames.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <vector>

namespace jackdawlead::platform {

namespace {

// Parameters of watches at relays.
constexpr char sinceEraParameter[] = "since_era";
constexpr char knownEraParameter[] = "known_era";

/// The value of the parameter `name`; nullopt if it is missing or not a number.
std::optional<std::uint64_t> numericParameter(const std::vector<absl::string_view> &parameters,
                                              absl::string_view name)
{
    for (const absl::string_view parameter : parameters) {
        const std::vector<absl::string_view> parts = absl::StrSplit(parameter, '=');
        std::uint64_t value = 0;
        if (parts.size() == 2 && parts[0] == name && absl::SimpleAtoi(parts[1], &value))
            return value;
    }
    return std::nullopt;
}

} // namespace

std::string formatWatchTarget(const WatchRequest &watch)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(watch.wait);
    return absl::StrCat(collectionPath(watch.kind), "?", wire::watchParameter, "=",
                        watch.since.revision, "&", wire::waitParameter, "=", wait.count());
}

std::string formatRelayWatchTarget(const WatchRequest &watch)
{
    std::string target = formatWatchTarget(watch);
    if (watch.knownEra)
        absl::StrAppend(&target, "&", sinceEraParameter, "=", watch.since.era.value(), "&",
                        knownEraParameter, "=", watch.knownEra->value());
    return target;
}

std::optional<WatchRequest> parseRelayWatchTarget(std::string_view target)
{
    const std::vector<absl::string_view> parts = absl::StrSplit(core::toAbsl(target), '?');
    if (parts.size() != 2)
        return std::nullopt;
    const std::vector<absl::string_view> parameters = absl::StrSplit(parts[1], '&');
    const auto since = numericParameter(parameters, wire::watchParameter);
    const auto wait = numericParameter(parameters, wire::waitParameter);
    if (!since || !wait)
        return std::nullopt;
    const auto sinceEra = numericParameter(parameters, sinceEraParameter);
    const auto knownEra = numericParameter(parameters, knownEraParameter);
    for (const ObjectKind kind :
         {ObjectKind::Configuration, ObjectKind::Endpoints, ObjectKind::AdapterVersions}) {
        if (collectionPath(kind) != parts[0])
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
