#include "net/httpserver.h"
#include "serving/configtask.h"
#include "serving/peertask.h"
#include "support/loopwait.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace jackdawlead;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

// An event that is waited for and does not come within this time fails the test.
constexpr core::Duration patience = 60s;

/// Holds one configuration root and its parts, or answers 503 to everything.
class ObjectApi
{
public:
    explicit ObjectApi(net::EventLoop &loop)
        : m_server(loop, {}, [this](auto exchange) { handle(exchange); })
    {
        cr_assert(m_server.listen({"127.0.0.1", 0}).ok());
    }

    std::uint16_t port() const { return m_server.port(); }

    void publish(std::uint64_t generation, const std::string &release)
    {
        config::Manifest manifest;
        manifest.release = release;
        manifest.models = {core::ModelId("model-" + release)};
        const auto parts = config::splitIntoParts(manifest);
        for (const config::ConfigPart &part : parts)
            m_parts[part.name] = part.content;
        m_root = object(
            "main", config::toJson(config::makeRoot(core::Generation(generation), release, parts)));
        const json event {{"type", "MODIFIED"}, {"object", m_root}};
        for (const auto &watch : m_watches)
            watch->write(event.dump() + "\n");
    }

private:
    using ExchangePtr = std::shared_ptr<net::ServerExchange>;

    json object(const std::string &name, const json &spec)
    {
        return {{"metadata", {{"name", name}, {"resourceVersion", std::to_string(++m_version)}}},
                {"spec", spec}};
    }

    void handle(const ExchangePtr &exchange)
    {
        const std::string &path = exchange->request().path;
        if (m_root.is_null())
            exchange->respond({.status = 503, .headers = {}, .body = "{}"});
        else if (path.find("watch=true") != std::string::npos) {
            exchange->startStream(200, {});
            m_watches.push_back(exchange);
        } else if (path.ends_with("/configroots"))
            answer(exchange,
                   {{"metadata", {{"resourceVersion", std::to_string(m_version)}}},
                    {"items", {m_root}}});
        else if (path.ends_with("/configroots/main"))
            answer(exchange, m_root);
        else {
            const std::string name = path.substr(path.rfind('/') + 1);
            answer(exchange, object(name, {{"content", m_parts[name]}}));
        }
    }

    static void answer(const ExchangePtr &exchange, const json &body)
    {
        exchange->respond({.status = 200, .headers = {}, .body = body.dump()});
    }

    net::HttpServer m_server;
    json m_root;
    std::map<std::string, std::string> m_parts;
    std::vector<ExchangePtr> m_watches;
    int m_version = 1;
};

/// The peer and configuration tasks of one daemon on a shared loop.
class Node
{
public:
    Node(net::EventLoop &loop, net::TimerService &timers, const std::string &name,
         std::uint16_t objectApiPort)
        : m_settings(settingsOf(name))
        , m_http(loop, timers)
        , m_objects(m_http, {"127.0.0.1", objectApiPort})
        , m_context {m_settings, loop, timers, m_http, m_http, m_objects, m_metrics}
        , m_peers(m_context,
                  {.viewChanged = [this](const auto &published) { view = published; },
                   .mergeFact = [](const auto &) {},
                   .generationSeen
                   = [this](auto generation,
                            const auto &host) { m_config.generationSeen(generation, host); }})
        , m_config(m_context, m_peers,
                   [this](const auto &catalog) {
                       generations.push_back(catalog->generation().value());
                       m_peers.announceGeneration(catalog->generation());
                   })
        , m_server(std::make_unique<net::HttpServer>(
              loop, net::HttpServerLimits {},
              [this](const auto &exchange) { m_peers.server().serve(exchange); }))
    {
        cr_assert(m_server->listen({"127.0.0.1", 0}).ok());
    }

    /// As seen by others, the process has ended.
    void kill()
    {
        m_peers.stop();
        m_server.reset();
    }

    void start(const serving::FleetTask::ViewPtr &listed)
    {
        m_peers.fleetChanged(listed);
        m_peers.start();
        m_config.start();
    }

    void addTo(serving::FleetView &fleet) const
    {
        objectapi::HostEntry entry;
        entry.name = m_settings.host.value();
        entry.role = objectapi::HostRole::Daemon;
        entry.address = {"127.0.0.1", m_server->port()};
        entry.region = m_settings.region;
        fleet.daemons.emplace(m_settings.host, entry);
    }

    bool isAt(std::uint64_t generation) const
    {
        return !generations.empty() && generations.back() == generation;
    }

    serving::FleetTask::ViewPtr view;
    std::vector<std::uint64_t> generations;

private:
    static config::Settings settingsOf(const std::string &name)
    {
        config::Settings settings;
        settings.host = core::HostId(name);
        settings.region = core::RegionId("home");
        settings.peerCredential = "peer-secret";
        settings.probePeriod = 200ms;
        return settings;
    }

    config::Settings m_settings;
    net::HttpClient m_http;
    objectapi::ObjectClient m_objects;
    observability::Metrics m_metrics;
    serving::Context m_context;
    serving::PeerTask m_peers;
    serving::ConfigTask m_config;
    std::unique_ptr<net::HttpServer> m_server;
};

class Fleet
{
public:
    Fleet()
        : timers(loop)
        , reachable(loop)
        , unreachable(loop)
    { }

    /// Nodes after the first cannot reach the object API.
    void start(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            nodes.push_back(std::make_unique<Node>(loop, timers, "daemon-" + std::to_string(index),
                                                   (index == 0 ? reachable : unreachable).port()));
        auto view = std::make_shared<serving::FleetView>();
        for (const auto &node : nodes)
            node->addTo(*view);
        for (const auto &node : nodes)
            node->start(view);
    }

    void waitFor(const char *what, const std::function<bool()> &condition)
    {
        cr_assert(testsupport::waitUntil(loop, timers, condition, patience), "%s", what);
    }

    bool areAllAt(std::uint64_t generation) const
    {
        return std::ranges::all_of(
            nodes, [generation](const auto &node) { return node->isAt(generation); });
    }

    net::EventLoop loop;
    net::TimerService timers;
    ObjectApi reachable;
    ObjectApi unreachable;
    std::vector<std::unique_ptr<Node>> nodes;
};

} // namespace

// Guards against a daemon that has no configuration, or an old one, because it cannot reach the
// object API while others can, and against a generation that reverts.
Test(peers, configurationComesFromPeersAndNeverReverts)
{
    Fleet fleet;
    fleet.reachable.publish(3, "three");
    fleet.start(3);
    fleet.waitFor("generation 3 everywhere", [&] { return fleet.areAllAt(3); });
    fleet.reachable.publish(4, "four");
    fleet.waitFor("generation 4 everywhere", [&] { return fleet.areAllAt(4); });
    fleet.reachable.publish(2, "two");
    fleet.reachable.publish(5, "five");
    fleet.waitFor("generation 5 everywhere", [&] { return fleet.areAllAt(5); });
    for (const auto &node : fleet.nodes)
        for (std::size_t index = 1; index < node->generations.size(); ++index)
            cr_expect_lt(node->generations[index - 1], node->generations[index]);
}

// Guards against a killed daemon that stays in use while the host list still names it.
Test(peers, killedDaemonLeavesTheView)
{
    Fleet fleet;
    fleet.reachable.publish(1, "one");
    fleet.start(4);
    fleet.waitFor("all have started", [&] { return fleet.areAllAt(1); });
    const core::HostId killed("daemon-3");
    const std::unique_ptr<Node> dead = std::move(fleet.nodes.back());
    fleet.nodes.pop_back();
    dead->kill();
    fleet.waitFor("daemon-3 removed by all", [&] {
        return std::ranges::none_of(
            fleet.nodes, [&](const auto &node) { return node->view->daemons.contains(killed); });
    });
    for (const auto &node : fleet.nodes)
        cr_expect_eq(node->view->daemons.size(), 3UL);
}
