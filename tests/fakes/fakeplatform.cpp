// Stands in for the platform: object API, host list and weight store on one port.
// Faults are switched by POST /fake/fault with a JSON object:
//   objectApi: "ok", "out" (refuses), "silent" (never answers), "lose-answers" (writes take effect,
//              the connection is closed instead of an answer)
//   dropEvents: whether watches stay open but lose every event
//   delayMs: added to every answer of the object API
//   store: "ok" or "out"; storeDelayFactor: multiplies the time of a load
//   hostList: "ok" or "out"
#include "fakeoptions.h"
#include "net/eventloop.h"
#include "net/httpserver.h"
#include "net/requesttarget.h"
#include "net/timerservice.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace jackdawlead;
using nlohmann::json;
using ExchangePtr = std::shared_ptr<net::ServerExchange>;

constexpr std::string_view apiPrefix = "/apis/jackdawlead.dev/v1/";
constexpr core::Duration bookmarkPeriod = std::chrono::seconds(3);
constexpr std::size_t maxObjectBytes = 1024 * 1024;
constexpr std::size_t keptEvents = 100000;

std::string query(const std::string &path, const std::string &name)
{
    const std::size_t begin = path.find(name + "=");
    if (begin == std::string::npos)
        return {};
    const std::size_t value = begin + name.size() + 1;
    return path.substr(value, path.find('&', value) - value);
}

class FakePlatform
{
public:
    FakePlatform(net::EventLoop &loop, net::TimerService &timers)
        : m_loop(loop)
        , m_timers(timers)
    { }

    void handle(const ExchangePtr &exchange)
    {
        const std::string &path = exchange->request().path;
        if (path.starts_with(apiPrefix))
            handleObject(exchange);
        else if (path == "/v1/hosts")
            handleHosts(exchange);
        else if (path.starts_with("/weights/"))
            handleLoad(exchange);
        else if (path == "/fake/fault")
            setFault(exchange);
        else if (path == "/fake/counts")
            reply(exchange, 200, m_counts);
        else
            reply(exchange, 404, {{"message", "no such path"}});
    }

private:
    struct Event
    {
        std::uint64_t version;
        std::string kind;
        json body;
    };
    struct Watch
    {
        ExchangePtr exchange;
        std::string kind;
        net::TimerService::Subscription bookmark;
        net::TimerService::Subscription end;
    };

    static void reply(const ExchangePtr &exchange, int status, const json &body)
    {
        exchange->respond({.status = status,
                           .headers = {{"Content-Type", "application/json"}},
                           .body = body.dump()});
    }

    void later(core::Duration delay, std::function<void()> work)
    {
        auto timer = std::make_shared<net::TimerService::Subscription>();
        *timer = m_timers.once(delay, [timer, work = std::move(work)] {
            work();
            timer->cancel();
        });
    }

    void setFault(const ExchangePtr &exchange)
    {
        m_fault.update(json::parse(exchange->request().body));
        if (m_fault["objectApi"] != "ok")
            for (Watch &watch : m_watches)
                watch.exchange->cutStream({});
        reply(exchange, 200, m_fault);
    }

    void handleObject(const ExchangePtr &exchange)
    {
        const std::string mode = m_fault["objectApi"];
        ++m_counts[exchange->request().method].get_ref<json::number_integer_t &>();
        if (mode == "out") {
            reply(exchange, 503, {{"message", "object API is out"}});
            return;
        }
        if (mode == "silent") {
            m_silent.push_back(exchange);
            return;
        }
        const auto work = [this, exchange, mode] { answerObject(exchange, mode); };
        const int delayMs = m_fault["delayMs"];
        if (delayMs > 0)
            later(std::chrono::milliseconds(delayMs), work);
        else
            work();
    }

    void answerObject(const ExchangePtr &exchange, const std::string &mode)
    {
        const net::HttpRequest &request = exchange->request();
        const std::string path = request.path.substr(apiPrefix.size());
        const std::string target = path.substr(0, path.find('?'));
        const std::size_t slash = target.find('/');
        const std::string kind = target.substr(0, slash);
        const std::string name
            = slash == std::string::npos ? "" : net::unescaped(target.substr(slash + 1));
        if (request.method == "GET" && query(path, "watch") == "true") {
            startWatch(exchange, kind, path);
            return;
        }
        const auto [status, body] = perform(request, kind, name, path);
        if (mode == "lose-answers" && request.method != "GET") {
            exchange->startStream(status, {});
            exchange->cutStream({});
            return;
        }
        reply(exchange, status, body);
    }

    std::pair<int, json> perform(const net::HttpRequest &request, const std::string &kind,
                                 const std::string &name, const std::string &path)
    {
        auto &objects = m_objects[kind];
        if (request.method == "GET")
            return name.empty() ? listObjects(objects) : parseObject(objects, name);
        if (request.method == "DELETE")
            return removeObject(objects, kind, name, query(path, "resourceVersion"));
        if (request.body.size() > maxObjectBytes)
            return {413, {{"message", "object is over a megabyte"}}};
        json body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("metadata"))
            return {400, {{"message", "malformed object"}}};
        const std::string key = body["metadata"].value("name", name);
        const auto existing = objects.find(key);
        if (request.method == "POST" && existing != objects.end())
            return {409, {{"message", "already exists"}}};
        if (request.method == "PUT") {
            if (existing == objects.end())
                return {404, {{"message", "not found"}}};
            if (existing->second["metadata"]["resourceVersion"]
                != body["metadata"].value("resourceVersion", std::string()))
                return {409, {{"message", "resource version does not match"}}};
        }
        body["metadata"]["resourceVersion"] = std::to_string(++m_version);
        objects[key] = body;
        publish(request.method == "POST" ? "ADDED" : "MODIFIED", kind, body);
        return {request.method == "POST" ? 201 : 200, body};
    }

    std::pair<int, json> listObjects(const std::map<std::string, json> &objects) const
    {
        json items = json::array();
        for (const auto &[name, object] : objects)
            items.push_back(object);
        return {200,
                {{"metadata", {{"resourceVersion", std::to_string(m_version)}}}, {"items", items}}};
    }

    static std::pair<int, json> parseObject(const std::map<std::string, json> &objects,
                                            const std::string &name)
    {
        const auto found = objects.find(name);
        if (found == objects.end())
            return {404, {{"message", "not found"}}};
        return {200, found->second};
    }

    std::pair<int, json> removeObject(std::map<std::string, json> &objects, const std::string &kind,
                                      const std::string &name, const std::string &version)
    {
        const auto found = objects.find(name);
        if (found == objects.end())
            return {404, {{"message", "not found"}}};
        if (!version.empty() && found->second["metadata"]["resourceVersion"] != version)
            return {409, {{"message", "resource version does not match"}}};
        json body = found->second;
        objects.erase(found);
        ++m_version;
        publish("DELETED", kind, body);
        return {200, body};
    }

    void publish(const std::string &type, const std::string &kind, const json &object)
    {
        m_events.push_back({m_version, kind, {{"type", type}, {"object", object}}});
        if (m_events.size() > keptEvents)
            m_events.pop_front();
        for (Watch &watch : m_watches)
            if (watch.kind == kind && !m_fault["dropEvents"].get<bool>())
                watch.exchange->write(m_events.back().body.dump() + "\n");
    }

    void startWatch(const ExchangePtr &exchange, const std::string &kind, const std::string &path)
    {
        const std::string from = query(path, "resourceVersion");
        const std::uint64_t since = from.empty() ? m_version : std::stoull(from);
        exchange->startStream(200, {{"Content-Type", "application/json"}});
        for (const Event &event : m_events)
            if (event.version > since && event.kind == kind)
                exchange->write(event.body.dump() + "\n");
        auto &watch = m_watches.emplace_back();
        const auto position = std::prev(m_watches.end());
        watch.exchange = exchange;
        watch.kind = kind;
        watch.bookmark = m_timers.every(bookmarkPeriod, [this, exchange] {
            const json metadata {{"resourceVersion", std::to_string(m_version)}};
            exchange->write(json {{"type", "BOOKMARK"}, {"object", {{"metadata", metadata}}}}.dump()
                            + "\n");
        });
        const std::string seconds = query(path, "timeoutSeconds");
        watch.end = m_timers.once(std::chrono::seconds(seconds.empty() ? 60 : std::stoi(seconds)),
                                  [this, position] {
                                      position->exchange->finishStream();
                                      m_loop.post([this, position] { m_watches.erase(position); });
                                  });
    }

    void handleHosts(const ExchangePtr &exchange)
    {
        if (exchange->request().method == "PUT") {
            m_hosts = json::parse(exchange->request().body);
            ++m_hostsVersion;
        }
        const std::string tag = "\"" + std::to_string(m_hostsVersion) + "\"";
        if (m_fault["hostList"] == "out")
            reply(exchange, 503, {{"message", "host list is out"}});
        else if (exchange->request().headers.value("If-None-Match") == tag)
            exchange->respond({.status = 304, .headers = {{"ETag", tag}}, .body = {}});
        else
            exchange->respond({.status = 200, .headers = {{"ETag", tag}}, .body = m_hosts.dump()});
    }

    // A load takes 250 ms while at most 16 are in flight, and proportionally longer beyond.
    void handleLoad(const ExchangePtr &exchange)
    {
        ++m_counts["loads"].get_ref<json::number_integer_t &>();
        if (m_fault["store"] == "out") {
            reply(exchange, 503, {{"message", "weight store is out"}});
            return;
        }
        ++m_loadsInFlight;
        const double factor = m_fault["storeDelayFactor"];
        const double crowd = std::max(1.0, m_loadsInFlight / 16.0);
        const auto delay
            = std::chrono::microseconds(static_cast<std::int64_t>(250'000 * factor * crowd));
        later(delay, [this, exchange] {
            --m_loadsInFlight;
            reply(exchange, 200, {{"weights", exchange->request().path}});
        });
    }

    net::EventLoop &m_loop;
    net::TimerService &m_timers;
    std::map<std::string, std::map<std::string, json>> m_objects;
    std::deque<Event> m_events;
    std::list<Watch> m_watches;
    std::vector<ExchangePtr> m_silent;
    std::uint64_t m_version = 1;
    int m_loadsInFlight = 0;
    json m_hosts {{"items", json::array()}};
    int m_hostsVersion = 1;
    json m_counts {{"GET", 0}, {"POST", 0}, {"PUT", 0}, {"DELETE", 0}, {"loads", 0}};
    json m_fault {{"objectApi", "ok"}, {"dropEvents", false},     {"delayMs", 0},
                  {"store", "ok"},     {"storeDelayFactor", 1.0}, {"hostList", "ok"}};
};

} // namespace

int main(int argc, char *argv[])
{
    const auto options = fakes::parseOptions(argc, argv, {{"port", "7000"}});
    net::EventLoop loop;
    net::TimerService timers(loop);
    FakePlatform platform(loop, timers);
    net::HttpServer server(loop, {},
                           [&platform](const auto &exchange) { platform.handle(exchange); });
    const auto port = static_cast<std::uint16_t>(fakes::numberOption(options, "port"));
    if (const auto status = server.listen({"127.0.0.1", port}); !status.ok()) {
        std::cerr << std::string(status.message()) << "\n";
        return 1;
    }
    loop.onSignal(15, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
