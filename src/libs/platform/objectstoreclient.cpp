#include "platform/objectstoreclient.h"

#include "core/error.h"
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

StoredObject decodeObject(const json &value)
{
    const json &metadata = value.at("metadata");
    return {metadata.at("name").get<std::string>(), metadata.value("revision", Revision {0}),
            value.value("spec", json())};
}

ObjectPage decodePage(const json &value)
{
    ObjectPage page;
    for (const json &item : value.at("items"))
        page.items.push_back(decodeObject(item));
    page.hasMore = value.value("has_more", false);
    page.revision = value.at("current_rev").get<Revision>();
    return page;
}

ObjectEvents decodeEvents(const json &value)
{
    ObjectEvents events;
    for (const json &event : value.at("events"))
        events.events.push_back({decodeObject(event.at("object")), event.value("removed", false)});
    events.revision = value.at("current_rev").get<Revision>();
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
        return decode(json::parse(response->body));
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
        return decodeObject(json::parse(text));
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
        handler(decodeResponse<WriteResult>(response, [isConflict](const json &value) {
            WriteResult result;
            result.isWritten = !isConflict;
            if (value.contains("metadata"))
                result.object = decodeObject(value);
            return result;
        }));
    });
}

} // namespace jackdawlead::platform
