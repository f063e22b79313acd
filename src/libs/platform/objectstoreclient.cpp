#include "platform/objectstoreclient.h"

#include "core/boundedjson.h"
#include "core/error.h"
#include "core/text.h"
#include "net/requesttarget.h"
#include "observability/log.h"
#include "platform/watchcodec.h"
#include "platform/wirenames.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jackdawlead::platform {

namespace {

using nlohmann::json;

// The store responds within 4 ms; the remainder allows for a round trip between regions and the
// retransmission of a lost packet.
constexpr core::Duration callTimeout = std::chrono::milliseconds(1500);
// Time from the end of a watch's wait to the start of its response: allows for a round trip between
// regions of 60 ms and the retransmission of a lost packet. It is short because a watch without a
// response delays updates.
constexpr core::Duration watchMargin = std::chrono::milliseconds(800);
// A lease that is not renewed in time is lost, so that a call must leave time for a second attempt
// through another daemon.
constexpr core::Duration leaseCallTimeout = std::chrono::milliseconds(400);

core::Duration timeoutFor(ObjectKind kind)
{
    return kind == ObjectKind::Leases ? leaseCallTimeout : callTimeout;
}

void logUnreadable(std::string_view name, const json::exception &error)
{
    constexpr std::size_t maxLoggedBytes = 120;
    observability::log(
        {.level = observability::LogLevel::Warn,
         .step = "read object",
         .message = absl::StrCat("skipped ",
                                 core::toAbsl(name.empty() ? "an object without a name"
                                                           : name.substr(0, maxLoggedBytes)),
                                 ": ", std::string(error.what()).substr(0, maxLoggedBytes))});
}

absl::Status errorFromStatus(int status)
{
    const std::string text = absl::StrCat("status ", status);
    switch (status) {
    case 404:
        return core::makeError(absl::StatusCode::kNotFound, "store call", "store", text);
    case 410:
        return core::makeError(absl::StatusCode::kOutOfRange, "store call", "store", text);
    case 429:
        return core::makeError(absl::StatusCode::kResourceExhausted, "store call", "store", text);
    default:
        return core::withOutcome(
            core::makeError(absl::StatusCode::kUnavailable, "store call", "store", text),
            status == 503 ? core::Outcome::NotRun : core::Outcome::Unknown);
    }
}

std::string_view nameText(std::string_view object)
{
    return core::memberText(core::memberText(object, "metadata"), "name");
}

// Each member is parsed on its own, because other writers may leave others that cannot be read.
StoredObject decodeObject(std::string_view text, core::StoreEra era)
{
    const std::string_view revision
        = core::memberText(core::memberText(text, "metadata"), "revision");
    StoredObject object {core::parseJson(nameText(text)).get<std::string>(), {era, 0}, {}};
    if (!revision.empty())
        object.position.revision = core::integerOf<std::uint64_t>(core::parseJson(revision));
    const std::string_view spec = core::memberText(text, "spec");
    if (spec.empty())
        return object;
    try {
        object.spec = core::parseJson(spec);
    } catch (const json::exception &error) {
        // Other writers may leave entries that cannot be read; no decoder accepts the empty spec.
        logUnreadable(object.name, error);
    }
    return object;
}

/// Decodes each element on its own, so that an unreadable one does not affect the others.
template <typename Element, typename Decode>
std::vector<Element> decodeElements(std::string_view array, const Decode &decode)
{
    std::vector<Element> elements;
    for (const std::string_view text : core::elementTexts(array)) {
        try {
            elements.push_back(decode(text));
        } catch (const json::exception &error) {
            logUnreadable({}, error);
        }
    }
    return elements;
}

/// The name of an object, also if it is no valid text; empty if it can't be read.
std::string decodeAnyName(std::string_view object)
{
    const std::string_view text = nameText(object);
    try {
        return core::parseJson(text).get<std::string>();
    } catch (const json::exception &) {
        const bool isPlain = text.size() >= 2 && text.starts_with('"')
            && text.find('\\') == std::string_view::npos;
        return std::string(isPlain ? text.substr(1, text.size() - 2) : std::string_view());
    }
}

/// The name of the last item that has one.
std::string decodeLastName(std::string_view items)
{
    std::string name;
    std::vector<std::string_view> texts = core::elementTexts(items);
    for (; name.empty() && !texts.empty(); texts.pop_back())
        name = decodeAnyName(texts.back());
    return name;
}

core::StorePosition decodeCurrentPosition(std::string_view text, core::StoreEra era)
{
    return {era,
            core::integerOf<std::uint64_t>(core::parseJson(core::memberText(text, "current_rev")))};
}

ObjectPage decodePage(std::string_view text, core::StoreEra era)
{
    ObjectPage page;
    page.items = decodeElements<StoredObject>(
        core::memberText(text, "items"),
        [era](std::string_view object) { return decodeObject(object, era); });
    page.hasMore = core::booleanOf(core::memberText(text, "has_more"));
    if (page.hasMore)
        page.lastName = decodeLastName(core::memberText(text, "items"));
    page.position = decodeCurrentPosition(text, era);
    return page;
}

/// The era in a field that only relays write, or that of the response.
core::StoreEra decodeEra(std::string_view text, core::StoreEra era)
{
    return text.empty() ? era
                        : core::StoreEra(core::integerOf<std::uint64_t>(core::parseJson(text)));
}

// A relay answers from its own state, which may be older or newer than the watch.
core::TimePoint decodeAsOf(std::string_view text, const StoreAnswer &answer)
{
    // Relays of the previous release don't state it; they answer as long as their last update is
    // not older than this.
    constexpr core::Duration maxUnstatedAge = std::chrono::seconds(3);
    const std::string_view relayed = core::memberText(text, relayedAsOfField);
    if (relayed.empty())
        return answer.sentAt - maxUnstatedAge;
    return answer.sentAt
        + std::chrono::milliseconds(core::integerOf<std::int64_t>(core::parseJson(relayed)));
}

ObjectEvents decodeEvents(std::string_view text, core::StoreEra era, const StoreAnswer &answer)
{
    ObjectEvents events;
    events.events = decodeElements<ObjectEvent>(
        core::memberText(text, "events"), [era](std::string_view event) {
            return ObjectEvent {
                decodeObject(core::memberText(event, "object"),
                             decodeEra(core::memberText(event, relayedEraField), era)),
                core::memberText(event, "removed") == "true"};
        });
    events.position = decodeCurrentPosition(text, era);
    const std::string_view relayedEra = core::memberText(text, relayedSinceEraField);
    events.sinceEra = decodeEra(relayedEra, era);
    if (!relayedEra.empty())
        events.asOf = decodeAsOf(text, answer);
    else
        events.asOf = events.events.empty() ? answer.waitedUntil : answer.sentAt;
    return events;
}

net::RequestTarget objectTarget(ObjectKind kind, std::string_view name)
{
    return net::RequestTarget(collectionPath(kind)).addSegment(name);
}

} // namespace

std::string collectionPath(ObjectKind kind)
{
    switch (kind) {
    case ObjectKind::Configuration:
        return absl::StrCat(wire::objectsPath, wire::configurationKind);
    case ObjectKind::Endpoints:
        return absl::StrCat(wire::objectsPath, wire::endpointKind);
    case ObjectKind::AdapterVersions:
        return absl::StrCat(wire::objectsPath, wire::versionKind);
    case ObjectKind::Streams:
        return absl::StrCat(wire::objectsPath, wire::streamKind);
    case ObjectKind::Daemons:
        return absl::StrCat(wire::objectsPath, wire::daemonKind);
    case ObjectKind::Leases:
        break;
    }
    return absl::StrCat(wire::objectsPath, wire::leaseKind);
}

std::optional<core::StoreEra> parseStoreEra(const net::Headers &headers)
{
    std::uint64_t era = 0;
    if (!absl::SimpleAtoi(headers.value(wire::storeEra), &era))
        return std::nullopt;
    return core::StoreEra(era);
}

net::Headers storeResponseFields(core::StoreEra era)
{
    return {{"Content-Type", "application/json"}, {wire::storeEra, absl::StrCat(era.value())}};
}

json encodeObject(const StoredObject &object)
{
    return {{"metadata", {{"name", object.name}, {"revision", object.position.revision}}},
            {"spec", object.spec}};
}

absl::StatusOr<StoredObject> parseObject(const std::string &text, core::StoreEra era)
{
    try {
        return decodeObject(text, era);
    } catch (const json::exception &error) {
        return core::makeError(absl::StatusCode::kInvalidArgument, "read object", "", error.what());
    }
}

ObjectStoreClient::ObjectStoreClient(Transport transport, WatchTransport watchTransport)
    : m_transport(std::move(transport))
    , m_watchTransport(std::move(watchTransport))
{ }

template <typename Result, typename Decode>
absl::StatusOr<Result>
ObjectStoreClient::decodeResponse(const absl::StatusOr<http::Response> &response,
                                  const Decode &decode)
{
    if (!response.ok())
        return response.status();
    const core::StoreEra era = parseStoreEra(response->headers).value_or(m_era);
    if (era < m_era)
        return core::makeError(absl::StatusCode::kUnavailable, "store call", "store",
                               "response of an earlier era");
    m_era = era;
    if (response->status != 200)
        return errorFromStatus(response->status);
    // An answer without a length ends with its connection, also if that ends early. Others are
    // whole, and an entry of another writer in them may be unclosed.
    const bool hasLength = response->headers.contains("Content-Length")
        || response->headers.contains("Transfer-Encoding");
    if (!hasLength && !response->body.empty() && !core::isClosed(response->body))
        return core::makeError(absl::StatusCode::kUnavailable, "store call", "store",
                               "the answer was cut off");
    try {
        return decode(response->body, era);
    } catch (const json::exception &error) {
        return core::makeError(absl::StatusCode::kUnavailable, "store call", "store", error.what());
    }
}

void ObjectStoreClient::recordPosition(const core::StorePosition &position)
{
    if (position.isAfter(m_newest)) {
        m_newest = position;
        return;
    }
    if (position.era <= m_newest.era)
        return;
    if (m_newest != core::StorePosition())
        observability::log({.level = observability::LogLevel::Warn,
                            .step = "store era",
                            .message = absl::StrCat(
                                "the store came back from a copy, era ", m_newest.era.value(),
                                " revision ", m_newest.revision, " before, era ",
                                position.era.value(), " revision ", position.revision, " now")});
    m_newest = position;
}

void ObjectStoreClient::list(ObjectKind kind, const std::string &after, Handler<ObjectPage> handler)
{
    net::RequestTarget target(collectionPath(kind));
    if (!after.empty())
        target.addParameter(wire::afterParameter, after);
    net::HttpRequest request;
    request.path = target.text();
    m_transport(request, callTimeout, [this, handler = std::move(handler)](auto response) {
        auto page = decodeResponse<ObjectPage>(response, decodePage);
        if (page.ok())
            recordPosition(page->position);
        handler(std::move(page));
    });
}

void ObjectStoreClient::read(ObjectKind kind, const std::string &name,
                             Handler<StoredObject> handler)
{
    net::HttpRequest request;
    request.path = objectTarget(kind, name).text();
    m_transport(request, timeoutFor(kind), [this, handler = std::move(handler)](auto response) {
        handler(decodeResponse<StoredObject>(response, decodeObject));
    });
}

void ObjectStoreClient::watch(ObjectKind kind, const core::StorePosition &since,
                              core::Duration wait, Handler<ObjectEvents> handler)
{
    sendWatch({kind, since, wait, m_era}, std::move(handler));
}

void ObjectStoreClient::watchCurrent(ObjectKind kind, const core::StorePosition &since,
                                     core::Duration wait, Handler<ObjectEvents> handler)
{
    WatchRequest watch {kind, since, wait, m_era};
    watch.mustBeCurrent = true;
    sendWatch(watch, std::move(handler));
}

void ObjectStoreClient::sendWatch(const WatchRequest &watch, Handler<ObjectEvents> handler)
{
    m_watchTransport(watch, watchMargin, [this, handler = std::move(handler)](auto answer) {
        auto events = decodeResponse<ObjectEvents>(
            answer.response, [&answer](std::string_view text, core::StoreEra era) {
                return decodeEvents(text, era, answer);
            });
        if (events.ok())
            recordPosition(events->position);
        handler(std::move(events));
    });
}

void ObjectStoreClient::create(ObjectKind kind, const std::string &name, const json &spec,
                               Handler<WriteResult> handler)
{
    write(kind, "POST", collectionPath(kind), {{"metadata", {{"name", name}}}, {"spec", spec}},
          std::move(handler));
}

void ObjectStoreClient::replace(ObjectKind kind, const StoredObject &object,
                                Handler<WriteResult> handler)
{
    write(kind, "PUT", objectTarget(kind, object.name).text(), encodeObject(object),
          std::move(handler));
}

void ObjectStoreClient::remove(ObjectKind kind, const StoredObject &object,
                               Handler<WriteResult> handler)
{
    net::HttpRequest request;
    request.method = "DELETE";
    request.path = objectTarget(kind, object.name)
                       .addParameter(wire::revisionParameter, object.position.revision)
                       .text();
    m_transport(request, timeoutFor(kind), [this, handler = std::move(handler)](auto response) {
        const bool isConflict = response.ok() && response->status == 409;
        if (isConflict)
            response->status = 200;
        const auto decode = [isConflict](std::string_view text, core::StoreEra era) {
            WriteResult result;
            result.isWritten = !isConflict;
            if (isConflict)
                result.object = decodeObject(text, era);
            return result;
        };
        handler(decodeResponse<WriteResult>(response, decode));
    });
}

void ObjectStoreClient::write(ObjectKind kind, const std::string &method, const std::string &path,
                              const json &body, Handler<WriteResult> handler)
{
    net::HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers.add("Content-Type", "application/json");
    request.body = body.dump();
    m_transport(request, timeoutFor(kind), [this, handler = std::move(handler)](auto response) {
        const bool isConflict = response.ok() && response->status == 409;
        if (isConflict || (response.ok() && response->status == 201))
            response->status = 200;
        const auto decode = [isConflict](std::string_view text, core::StoreEra era) {
            WriteResult result;
            result.isWritten = !isConflict;
            if (!core::memberText(text, "metadata").empty())
                result.object = decodeObject(text, era);
            return result;
        };
        handler(decodeResponse<WriteResult>(response, decode));
    });
}

} // namespace jackdawlead::platform
