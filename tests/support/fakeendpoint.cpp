#include "support/platformfakes.h"

#include "support/listen.h"

#include <utility>

namespace jackdawlead::testsupport {

namespace {

using nlohmann::json;

void respondJson(http::ServerExchange &exchange, int status, const json &body)
{
    exchange.respond(status, {{"Content-Type", "application/json"}}, body.dump());
}

} // namespace

FakeEndpoint::FakeEndpoint(net::EventLoop &loop, net::TimerService &timers, std::string name,
                           std::uint16_t listenPort)
    : id(std::move(name))
    , port(listenPort)
    , m_loop(loop)
    , m_timers(timers)
{
    listen();
    run = [this](const Exchange &exchange) {
        exchange->respond(200, withNotices(stamped(exchange)), "whole answer");
    };
}

void FakeEndpoint::listen()
{
    m_server = std::make_unique<http::Server>(m_loop, m_timers,
                                              [this](const auto &exchange) { serve(exchange); });
    listenOrThrow(*m_server, port);
}

// The server is on the stack while it handles a request.
void FakeEndpoint::crash()
{
    m_loop.post([this] { m_server.reset(); });
}

json FakeEndpoint::record(const std::string &service, const std::string &state) const
{
    return {
        {"service", service},
        {"address", "127.0.0.1:" + std::to_string(port)},
        {"zone", "z1"},
        {"version", softwareVersion},
        {"slots", 8},
        {"state", state},
        {"cold_left_ms", 0},
        {"born", m_startTime},
        {"seq", m_orderRevision},
        {"models", json::array({{{"name", model}, {"version", 1}, {"adapters", json::array()}}})}};
}

void FakeEndpoint::restart(const std::string &newId)
{
    id = newId;
    ++m_startTime;
    m_orderRevision = 0;
    m_adapters.clear();
    isLeaving = false;
    requestLimit.clear();
    if (isCrashed())
        listen();
}

net::Headers FakeEndpoint::stamped(const Exchange &exchange)
{
    return {{"Request-Id", exchange->head.headers.value("Request-Id")},
            {"Response-Stamp", "stamp"},
            {"Keep-Alive", "timeout=20"}};
}

net::Headers FakeEndpoint::withNotices(net::Headers fields) const
{
    if (isLeaving)
        fields.add("Server-Leaving", "1");
    if (!requestLimit.empty())
        fields.add("Server-Limit", requestLimit);
    return fields;
}

void FakeEndpoint::resume()
{
    m_isPaused = false;
    for (const Exchange &exchange : std::exchange(m_held, {})) {
        if (exchange->isOpen())
            serve(exchange);
    }
}

void FakeEndpoint::serve(const Exchange &exchange)
{
    if (m_isPaused) {
        m_held.push_back(exchange);
        const bool isRequest = !exchange->head.target.starts_with("/-/");
        if (onHeld && isRequest && retryAfter.empty() && !isMisdirected(exchange->head))
            onHeld(exchange);
        return;
    }
    const std::string &target = exchange->head.target;
    if (exchange->head.headers.value("Expect-Instance") != id) {
        exchange->respond(421, {{"Instance-Id", id}}, {});
        return;
    }
    arrivals.push_back(m_timers.now());
    if (target == "/-/order") {
        order(exchange);
        return;
    }
    if (target == "/-/report") {
        json adapters = json::array();
        for (const auto &[adapter, version] : m_adapters)
            adapters.push_back(adapter + "@" + std::to_string(version));
        const json models
            = json::array({{{"name", model}, {"version", 1}, {"adapters", adapters}}});
        respondJson(
            *exchange, 200,
            {{"born", m_startTime}, {"seq", m_orderRevision}, {"busy", false}, {"models", models}});
        return;
    }
    if (target == "/health") {
        exchange->respond(200, {{"Instance-Id", id}}, {});
        return;
    }
    heads.push_back(exchange->head);
    if (!retryAfter.empty()) {
        exchange->respond(503, withNotices({{"Not-Executed", "1"}, {"Retry-After", retryAfter}}),
                          {});
        return;
    }
    if (isMisdirected(exchange->head)) {
        exchange->respond(421, withNotices({{"Instance-Id", id}}), {});
        return;
    }
    runs.push_back(exchange->head.headers.value("Request-Id"));
    run(exchange);
}

bool FakeEndpoint::isMisdirected(const http::MessageHead &head) const
{
    if (head.headers.value("Expect-Instance") != id)
        return true;
    const std::string requestedModel = head.headers.value("Model");
    const std::size_t slash = requestedModel.find('/');
    if (slash == std::string::npos)
        return false;
    const int held = heldVersion(requestedModel.substr(slash + 1));
    const std::string expected = head.headers.value("Expect-Version");
    return held == 0 || (!expected.empty() && expected != std::to_string(held));
}

int FakeEndpoint::heldVersion(const std::string &adapter) const
{
    const auto held = m_adapters.find(adapter);
    return held == m_adapters.end() ? 0 : held->second;
}

void FakeEndpoint::order(const Exchange &exchange)
{
    const json body = json::parse(exchange->body);
    if (onOrder)
        onOrder(body);
    if (isBusy || body.at("expected_rev").get<int>() != m_orderRevision) {
        exchange->respond(409, withNotices({}), {});
        return;
    }
    ++m_orderRevision;
    const auto adapter = body.value("adapter", std::string());
    if (body.at("operation") == "load") {
        ++loads;
        m_adapters[adapter] = body.value("version", newestVersion ? newestVersion(adapter) : 1);
        exchange->respond(202, withNotices({}), {});
        return;
    }
    m_adapters.erase(adapter);
    exchange->respond(200, {}, {});
}

} // namespace jackdawlead::testsupport
