#include "objectapi/objectclient.h"

#include "core/boundedjson.h"
#include "core/error.h"
#include "observability/log.h"

#include <utility>

namespace jackdawlead::objectapi {

namespace {

using nlohmann::json;

constexpr const char *apiVersion = "jackdawlead.dev/v1";
constexpr const char *versionParameter = "resourceVersion";
constexpr net::HttpTimeouts callTimeouts {std::chrono::seconds(2), std::chrono::seconds(2)};

json toJson(const std::string &kind, const Object &object)
{
    json metadata {{"name", object.name}};
    if (!object.resourceVersion.empty())
        metadata["resourceVersion"] = object.resourceVersion;
    return {{"apiVersion", apiVersion},
            {"kind", kind},
            {"metadata", std::move(metadata)},
            {"spec", object.spec}};
}

/// Errors: kInternal, `decode` has thrown an exception of the JSON library.
template <typename Decode>
auto catchJsonErrors(const char *step, const std::string &peer, const Decode &decode)
    -> absl::StatusOr<decltype(decode())>
{
    try {
        return decode();
    } catch (const json::exception &error) {
        return core::makeError(absl::StatusCode::kInternal, step, peer,
                               std::string("malformed answer: ") + error.what());
    }
}

Object objectFromJson(const json &source)
{
    const json &metadata = source.at("metadata");
    return {metadata.value("name", std::string()), metadata.value("resourceVersion", std::string()),
            source.value("spec", json::object())};
}

/// Skips an object that cannot be read, since other writers may leave such ones.
void logSkipped(const absl::Status &status)
{
    observability::logError(observability::LogLevel::Warn, status);
}

absl::StatusOr<ObjectList> parseList(const std::string &body, const std::string &peer)
{
    return catchJsonErrors("list", peer, [&] {
        const bool isWhole = core::isClosed(body);
        const json metadata = core::parseJson(isWhole ? core::memberText(body, "metadata") : "");
        ObjectList list;
        list.resourceVersion = metadata.at("resourceVersion").get<std::string>();
        for (const std::string_view text : core::elementTexts(core::memberText(body, "items"))) {
            auto object = catchJsonErrors("list", peer,
                                          [text] { return objectFromJson(core::parseJson(text)); });
            if (object.ok())
                list.items.push_back(*std::move(object));
            else
                logSkipped(object.status());
        }
        return list;
    });
}

struct Event
{
    std::string type;
    Object object;
};

absl::StatusOr<Event> parseEvent(std::string_view line, const std::string &peer)
{
    return catchJsonErrors("watch", peer, [line] {
        const json event = core::parseJson(line);
        return Event {event.at("type").get<std::string>(), objectFromJson(event.at("object"))};
    });
}

absl::StatusCode codeOf(int status, const std::string &method)
{
    switch (status) {
    case 400:
    case 422:
        return absl::StatusCode::kInvalidArgument;
    case 403:
        return absl::StatusCode::kPermissionDenied;
    case 404:
        return absl::StatusCode::kNotFound;
    case 409:
        return method == "POST" ? absl::StatusCode::kAlreadyExists : absl::StatusCode::kAborted;
    case 410:
        return absl::StatusCode::kOutOfRange;
    case 413:
        return absl::StatusCode::kResourceExhausted;
    default:
        return absl::StatusCode::kUnavailable;
    }
}

absl::Status statusError(int status, const std::string &method, const char *step,
                         const std::string &peer, const std::string &body)
{
    // Only an answer of the 5xx class leaves open whether a write took effect.
    const core::Outcome outcome = status >= 500 ? core::Outcome::Unknown : core::Outcome::NotRun;
    return core::withOutcome(
        core::makeError(codeOf(status, method), step, peer,
                        "status " + std::to_string(status) + ": " + body.substr(0, 200)),
        outcome);
}

absl::Status withStep(const absl::Status &status, const char *step, const std::string &peer)
{
    return core::withOutcome(
        core::makeError(status.code(), step, peer, std::string(status.message())),
        core::outcomeOf(status));
}

} // namespace

ObjectClient::ObjectClient(net::HttpClient &http, net::Address server)
    : m_http(http)
    , m_server(std::move(server))
{ }

net::RequestTarget ObjectClient::target(const std::string &kind, const std::string &name)
{
    net::RequestTarget target(std::string("/apis/") + apiVersion);
    target.addSegment(kind);
    if (!name.empty())
        target.addSegment(name);
    return target;
}

void ObjectClient::send(const char *step, net::HttpRequest request, ObjectHandler handler)
{
    ++m_callCount;
    request.headers.add("Content-Type", "application/json");
    const std::string method = request.method;
    const std::string peer = m_server.toString();
    m_http.send(m_server, request, callTimeouts,
                [step, method, peer,
                 handler = std::move(handler)](const absl::StatusOr<net::HttpResponse> &reply) {
                    if (!reply.ok()) {
                        handler(withStep(reply.status(), step, peer));
                        return;
                    }
                    if (reply->status >= 300) {
                        handler(statusError(reply->status, method, step, peer, reply->body));
                        return;
                    }
                    handler(catchJsonErrors(step, peer, [&reply] {
                        return objectFromJson(core::parseJson(reply->body));
                    }));
                });
}

void ObjectClient::create(const std::string &kind, const std::string &name, const json &spec,
                          ObjectHandler handler)
{
    const std::string body = toJson(kind, {name, {}, spec}).dump();
    send("create", {.method = "POST", .path = target(kind).text(), .headers = {}, .body = body},
         std::move(handler));
}

void ObjectClient::read(const std::string &kind, const std::string &name, ObjectHandler handler)
{
    send("read", {.method = "GET", .path = target(kind, name).text(), .headers = {}, .body = {}},
         std::move(handler));
}

void ObjectClient::update(const std::string &kind, const Object &object, ObjectHandler handler)
{
    const std::string body = toJson(kind, object).dump();
    const std::string path = target(kind, object.name).text();
    send("update", {.method = "PUT", .path = path, .headers = {}, .body = body},
         std::move(handler));
}

void ObjectClient::remove(const std::string &kind, const Object &object, ObjectHandler handler)
{
    const std::string path
        = target(kind, object.name).addParameter(versionParameter, object.resourceVersion).text();
    send("remove", {.method = "DELETE", .path = path, .headers = {}, .body = {}},
         std::move(handler));
}

void ObjectClient::list(const std::string &kind, ListHandler handler)
{
    ++m_callCount;
    const std::string peer = m_server.toString();
    m_http.send(
        m_server, {.method = "GET", .path = target(kind).text(), .headers = {}, .body = {}},
        callTimeouts,
        [peer, handler = std::move(handler)](const absl::StatusOr<net::HttpResponse> &reply) {
            if (!reply.ok()) {
                handler(withStep(reply.status(), "list", peer));
                return;
            }
            if (reply->status >= 300) {
                handler(statusError(reply->status, "GET", "list", peer, reply->body));
                return;
            }
            handler(parseList(reply->body, peer));
        });
}

net::HttpCall ObjectClient::watch(const std::string &kind, const std::string &resourceVersion,
                                  core::Duration timeout,
                                  std::function<void(const std::string &, const Object &)> onEvent,
                                  std::function<void(const absl::Status &)> onEnd)
{
    ++m_callCount;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
    const std::string path = target(kind)
                                 .addParameter("watch", "true")
                                 .addParameter(versionParameter, resourceVersion)
                                 .addParameter("timeoutSeconds", std::int64_t {seconds.count()})
                                 .text();
    const std::string peer = m_server.toString();
    struct Progress
    {
        int status = 0;
        std::string pending;
    };
    auto progress = std::make_shared<Progress>();
    net::HttpReplyHandlers handlers;
    handlers.onHead = [progress](int status, const net::Headers &) { progress->status = status; };
    handlers.onData = [progress, peer, onEvent = std::move(onEvent)](std::string_view data) {
        if (progress->status >= 300)
            return;
        progress->pending += data;
        std::size_t end = 0;
        while ((end = progress->pending.find('\n')) != std::string::npos) {
            const std::string line = progress->pending.substr(0, end);
            progress->pending.erase(0, end + 1);
            const auto event = parseEvent(line, peer);
            if (event.ok())
                onEvent(event->type, event->object);
            else if (!line.empty())
                logSkipped(event.status());
        }
    };
    handlers.onEnd = [progress, peer, onEnd = std::move(onEnd)](const absl::Status &status) {
        if (status.ok() && progress->status >= 300)
            onEnd(statusError(progress->status, "GET", "watch", peer, {}));
        else
            onEnd(status.ok() ? status : withStep(status, "watch", peer));
    };
    // The server sends a bookmark at least each few seconds, so a silent watch is a lost one.
    const net::HttpTimeouts timeouts {std::chrono::seconds(10), std::chrono::seconds(10)};
    return m_http.stream(m_server, {.method = "GET", .path = path, .headers = {}, .body = {}},
                         timeouts, std::move(handlers));
}

} // namespace jackdawlead::objectapi
