#pragma once

#include "net/httpserver.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace testsupport {

/// Stands in for the object API and the host list in a test program. A watch is opened and stays
/// silent. Thread safety: the loop's thread only.
class ObjectApi
{
public:
    using Json = nlohmann::json;

    explicit ObjectApi(jackdawlead::net::EventLoop &loop)
        : m_server(loop, {}, [this](const auto &exchange) { handle(exchange); })
    { }

    bool listen() { return m_server.listen({"127.0.0.1", 0}).ok(); }
    std::uint16_t port() const { return m_server.port(); }

    Json *object(const std::string &kind, const std::string &name)
    {
        const auto found = m_objects[kind].find(name);
        return found == m_objects[kind].end() ? nullptr : &found->second;
    }
    void put(const std::string &kind, const std::string &name, const Json &spec)
    {
        m_objects[kind][name]
            = {{"metadata", {{"name", name}, {"resourceVersion", std::to_string(++m_version)}}},
               {"spec", spec}};
    }
    std::vector<Json> specs(const std::string &kind)
    {
        std::vector<Json> result;
        for (const auto &[name, object] : m_objects[kind])
            result.push_back(object["spec"]);
        return result;
    }
    std::size_t count(const std::string &kind) { return m_objects[kind].size(); }

    Json hosts {{"items", Json::array()}};
    /// Writes of this kind take effect, but their answer is lost.
    std::string losesAnswersOf;
    /// Refuses every call after that many; the API is out from then on.
    std::size_t callsUntilOut = static_cast<std::size_t>(-1);

private:
    using ExchangePtr = std::shared_ptr<jackdawlead::net::ServerExchange>;

    void handle(const ExchangePtr &exchange)
    {
        const auto &request = exchange->request();
        if (request.path == "/v1/hosts") {
            exchange->respond({.status = 200, .headers = {}, .body = hosts.dump()});
            return;
        }
        if (callsUntilOut == 0) {
            exchange->respond({.status = 503, .headers = {}, .body = "{}"});
            return;
        }
        --callsUntilOut;
        const std::string prefix = "/apis/jackdawlead.dev/v1/";
        const std::string path = request.path.substr(prefix.size());
        const std::string target = path.substr(0, path.find('?'));
        const std::size_t slash = std::min(target.find('/'), target.size());
        const std::string kind = target.substr(0, slash);
        if (path.find("watch=true") != std::string::npos) {
            exchange->startStream(200, {});
            m_watches.push_back(exchange);
            return;
        }
        const auto [status, body]
            = perform(request, kind, slash < target.size() ? target.substr(slash + 1) : "");
        if (request.method != "GET" && kind == losesAnswersOf) {
            exchange->startStream(status, {});
            exchange->cutStream({});
            return;
        }
        exchange->respond({.status = status, .headers = {}, .body = body.dump()});
    }

    std::pair<int, Json> perform(const jackdawlead::net::HttpRequest &request,
                                 const std::string &kind, std::string name)
    {
        auto &objects = m_objects[kind];
        if (request.method == "GET" && name.empty()) {
            Json items = Json::array();
            for (const auto &[key, item] : objects)
                items.push_back(item);
            return {200, {{"metadata", {{"resourceVersion", "1"}}}, {"items", items}}};
        }
        Json body = request.body.empty() ? Json() : Json::parse(request.body);
        if (request.method == "POST")
            name = body["metadata"]["name"];
        const auto existing = objects.find(name);
        if (request.method == "POST") {
            if (existing != objects.end())
                return {409, Json::object()};
        } else if (existing == objects.end()) {
            return {404, Json::object()};
        }
        if (request.method == "GET")
            return {200, existing->second};
        if (request.method == "DELETE") {
            objects.erase(existing);
            return {200, {{"metadata", {{"name", name}}}}};
        }
        if (request.method == "PUT"
            && existing->second["metadata"]["resourceVersion"]
                != body["metadata"]["resourceVersion"])
            return {409, Json::object()};
        put(kind, name, body["spec"]);
        return {request.method == "POST" ? 201 : 200, objects[name]};
    }

    std::map<std::string, std::map<std::string, Json>> m_objects;
    std::vector<ExchangePtr> m_watches;
    std::uint64_t m_version = 0;
    jackdawlead::net::HttpServer m_server;
};

} // namespace testsupport
