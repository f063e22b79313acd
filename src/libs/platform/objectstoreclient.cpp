#include "platform/objectstoreclient.h"

#include "core/error.h"
#include "core/text.h"
#include "observability/log.h"
#include "platform/boundedjson.h"
#include "platform/wirenames.h"

#include <absl/strings/str_cat.h>

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

StoredObject decodeObject(std::string_view text)
{
    const json metadata = parseJson(memberText(text, "metadata"));
    StoredObject object {metadata.at("name").get<std::string>(),
                         integerMember(metadata, "revision", Revision {0}),
                         {}};
    const std::string_view spec = memberText(text, "spec");
    if (spec.empty())
        return object;
    try {
        object.spec = parseJson(spec);
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
    for (const std::string_view text : elementTexts(array)) {
        try {
            elements.push_back(decode(text));
        } catch (const json::exception &error) {
            logUnreadable({}, error);
        }
    }
    return elements;
}

ObjectPage decodePage(std::string_view text)
{
    ObjectPage page;
    page.items = decodeElements<StoredObject>(memberText(text, "items"), decodeObject);
    page.hasMore = memberText(text, "has_more") == "true";
    page.revision = integerOf<Revision>(parseJson(memberText(text, "current_rev")));
    return page;
}

ObjectEvents decodeEvents(std::string_view text)
{
    ObjectEvents events;
    events.events
        = decodeElements<ObjectEvent>(memberText(text, "events"), [](std::string_view event) {
              return ObjectEvent {decodeObject(memberText(event, "object")),
                                  memberText(event, "removed") == "true"};
          });
    events.revision = integerOf<Revision>(parseJson(memberText(text, "current_rev")));
    return events;
}

template <typename Result, typename Decode>
absl::StatusOr<Result> decodeResponse(const absl::StatusOr<http::Response> &response,
                                      const Decode &decode)
{
    if (!response.ok())
        return response.status();
    if (response->status != 200)
        return errorFromStatus(response->status);
    try {
        return decode(response->body);
    } catch (const json::exception &error) {
        return core::makeError(absl::StatusCode::kUnavailable, "store call", "store", error.what());
    }
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
    case ObjectKind::Leases:
        break;
    }
    return absl::StrCat(wire::objectsPath, wire::leaseKind);
}

json encodeObject(const StoredObject &object)
{
    return {{"metadata", {{"name", object.name}, {"revision", object.revision}}},
            {"spec", object.spec}};
}

absl::StatusOr<StoredObject> parseObject(const std::string &text)
{
    try {
        return decodeObject(text);
    } catch (const json::exception &error) {
        return core::makeError(absl::StatusCode::kInvalidArgument, "read object", "", error.what());
    }
}

ObjectStoreClient::ObjectStoreClient(Transport transport, WatchTransport watchTransport)
    : m_transport(std::move(transport))
    , m_watchTransport(std::move(watchTransport))
{ }

void ObjectStoreClient::list(ObjectKind kind, const std::string &after, Handler<ObjectPage> handler)
{
    net::HttpRequest request;
    request.path = collectionPath(kind);
    if (!after.empty())
        absl::StrAppend(&request.path, "?after=", after);
    m_transport(request, callTimeout, [handler = std::move(handler)](auto response) {
        handler(decodeResponse<ObjectPage>(response, decodePage));
    });
}

void ObjectStoreClient::read(ObjectKind kind, const std::string &name,
                             Handler<StoredObject> handler)
{
    net::HttpRequest request;
    request.path = absl::StrCat(collectionPath(kind), "/", name);
    m_transport(request, timeoutFor(kind), [handler = std::move(handler)](auto response) {
        handler(decodeResponse<StoredObject>(response, decodeObject));
    });
}

void ObjectStoreClient::watch(ObjectKind kind, Revision since, core::Duration wait,
                              Handler<ObjectEvents> handler)
{
    m_watchTransport({kind, since, wait}, watchMargin,
                     [handler = std::move(handler)](auto response) {
                         handler(decodeResponse<ObjectEvents>(response, decodeEvents));
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
    write(kind, "PUT", absl::StrCat(collectionPath(kind), "/", object.name), encodeObject(object),
          std::move(handler));
}

void ObjectStoreClient::write(ObjectKind kind, const std::string &method, const std::string &path,
                              const json &body, Handler<WriteResult> handler)
{
    net::HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers.add("Content-Type", "application/json");
    request.body = body.dump();
    m_transport(request, timeoutFor(kind), [handler = std::move(handler)](auto response) {
        const bool isConflict = response.ok() && response->status == 409;
        if (isConflict || (response.ok() && response->status == 201))
            response->status = 200;
        handler(decodeResponse<WriteResult>(response, [isConflict](std::string_view text) {
            WriteResult result;
            result.isWritten = !isConflict;
            if (!memberText(text, "metadata").empty())
                result.object = decodeObject(text);
            return result;
        }));
    });
}

} // namespace jackdawlead::platform
