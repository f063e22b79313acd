#include "engine.h"

#include <algorithm>

namespace lab {

namespace {

using nlohmann::json;

// An entry is removed after three heartbeats of silence.
constexpr milliseconds entryLife {3600};
constexpr milliseconds heartbeat {1200};
constexpr milliseconds adapterLoadTime {250};
constexpr int slots = 32;

} // namespace

Engine::Engine(Store &store, std::string service, std::string zone, Work work)
    : m_store(store)
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_work(std::move(work))
    , m_address(freeAddress(freshIp()))
{
    start();
}

Engine::~Engine()
{
    m_isStopped = true;
    if (m_server)
        m_server->stop();
    for (std::thread &thread : m_threads)
        thread.join();
    if (m_server)
        m_server->stop();
}

void Engine::start()
{
    const std::lock_guard lock(m_mutex);
    m_id = "i-" + randomId().substr(0, 10);
    m_born = unixMilliseconds();
    m_adapters.clear();
    m_uses.clear();
    m_leaving.clear();
    m_seq = 0;
    m_server = std::make_unique<Server>(
        m_address, [this, id = m_id](Connection &connection) { serve(connection, id); });
    m_store.put("servers", m_id, entry());
    m_threads.emplace_back([this] { beat(); });
}

// The entry changes when more than the sequence number does.
void Engine::beat()
{
    for (;;) {
        const auto end = Clock::now() + heartbeat;
        while (!m_isStopped && Clock::now() < end)
            std::this_thread::sleep_for(milliseconds(20));
        const std::lock_guard lock(m_mutex);
        if (m_isStopped || !m_server)
            return;
        m_store.put("servers", m_id, entry());
    }
}

void Engine::setStatedAddress(const Address &address)
{
    const std::lock_guard lock(m_mutex);
    m_statedAddress = address;
    m_store.put("servers", m_id, entry());
}

void Engine::setOrderHandler(std::function<void(const Order &)> handler)
{
    const std::lock_guard lock(m_mutex);
    m_onOrder = std::move(handler);
}

json Engine::entry() const
{
    json entry = runnerEntry(m_service, m_statedAddress.value_or(m_address), m_zone, slots, m_born);
    entry["stage"] = "combined";
    entry["models"] = models();
    entry["seq"] = m_seq;
    return entry;
}

json Engine::models() const
{
    json adapters = json::array();
    for (const auto &[name, readyAt] : m_adapters) {
        if (readyAt <= Clock::now())
            adapters.push_back(name + "@1");
    }
    return json::array({{{"name", "m0"}, {"version", 1}, {"adapters", adapters}}});
}

json Engine::report()
{
    const std::lock_guard lock(m_mutex);
    json pending = json::array();
    for (const auto &[name, readyAt] : m_adapters) {
        if (readyAt > Clock::now())
            pending.push_back("m0/" + name + "@1");
    }
    return {{"stage", "combined"}, {"models", models()}, {"busy", false},     {"seq", m_seq},
            {"queued", 0},         {"active", 0},        {"kv_used", 0},      {"kv_total", 130000},
            {"handles", 0},        {"born", m_born},     {"pending", pending}};
}

Engine::Admission Engine::admit(const std::string &model)
{
    const std::size_t slash = model.find('/');
    if (slash == std::string::npos)
        return model == "m0" ? Admission::Held : Admission::Missing;
    const std::string adapter = model.substr(slash + 1);
    const std::lock_guard lock(m_mutex);
    const auto found = m_adapters.find(adapter);
    if (found == m_adapters.end() || found->second > Clock::now())
        return Admission::Missing;
    if (adapter == m_leaving)
        return Admission::Leaving;
    ++m_uses[adapter];
    return Admission::Held;
}

void Engine::endUse(const std::string &model)
{
    const std::size_t slash = model.find('/');
    if (slash == std::string::npos)
        return;
    const std::string adapter = model.substr(slash + 1);
    const std::lock_guard lock(m_mutex);
    if (--m_uses[adapter] > 0)
        return;
    m_uses.erase(adapter);
    if (adapter != m_leaving)
        return;
    m_adapters.erase(adapter);
    m_leaving.clear();
}

int Engine::apply(const json &order)
{
    const std::lock_guard lock(m_mutex);
    if (!order.contains("holder") || !order.contains("fencing_token"))
        return 400;
    const bool isStale = order.contains("expected_rev") && order.at("expected_rev") != m_seq;
    if (isStale || !m_leaving.empty())
        return 409;
    const std::string adapter = order.value("adapter", std::string());
    const bool isLoad = order.at("operation") == "load";
    const bool isHeld = adapter.empty() || m_adapters.contains(adapter);
    if (isLoad == isHeld)
        return 200;
    ++m_seq;
    if (isLoad) {
        m_adapters[adapter] = Clock::now() + adapterLoadTime;
        return 202;
    }
    // An unload waits for the runs of its adapter.
    if (m_uses.contains(adapter)) {
        m_leaving = adapter;
        return 202;
    }
    m_adapters.erase(adapter);
    return 200;
}

bool Engine::serveOrder(Connection &connection, const Message &request)
{
    Order order;
    {
        // Orders are recorded in the order in which they are applied.
        const std::lock_guard lock(m_orderMutex);
        const json body = json::parse(request.body);
        order.status = apply(body);
        order.holder = body.value("holder", std::string());
        order.token = body.value("fencing_token", std::uint64_t {0});
        order.text = body.value("operation", std::string()) + " "
            + body.value("model", std::string()) + "/" + body.value("adapter", std::string())
            + " at " + std::to_string(body.value("expected_rev", std::uint64_t {0}));
        if (m_onOrder)
            m_onOrder(order);
    }
    return connection.answer(order.status, {}, "");
}

std::string Engine::id()
{
    const std::lock_guard lock(m_mutex);
    return m_id;
}

void Engine::crash()
{
    const std::lock_guard lock(m_mutex);
    if (!m_server)
        return;
    m_server->stop();
    // Threads of the ended incarnation are joined later, because one of them may be this one.
    m_ended.push_back(std::move(m_server));
    m_threads.emplace_back([this, id = m_id] {
        const auto end = Clock::now() + entryLife;
        while (!m_isStopped && Clock::now() < end)
            std::this_thread::sleep_for(milliseconds(20));
        m_store.remove("servers", id);
    });
}

void Engine::restartAfter(milliseconds time)
{
    const std::lock_guard lock(m_mutex);
    m_threads.emplace_back([this, time] {
        const auto end = Clock::now() + time;
        while (!m_isStopped && Clock::now() < end)
            std::this_thread::sleep_for(milliseconds(20));
        if (!m_isStopped)
            start();
    });
}

void Engine::serve(Connection &connection, const std::string &id)
{
    Message request;
    while (!m_isStopped && connection.read(request)) {
        const std::string expected = request.header("expect-instance");
        const std::string requestId = request.header("request-id");
        if (!expected.empty() && expected != id) {
            if (!connection.answer(421, {{"Instance-Id", id}, {"Request-Id", requestId}}, ""))
                return;
            continue;
        }
        if (request.target == "/health") {
            if (!connection.answer(200, {{"Instance-Id", id}}, ""))
                return;
            continue;
        }
        if (request.target == "/-/report") {
            if (!connection.answer(200, {{"Content-Type", "application/json"}}, report().dump()))
                return;
            continue;
        }
        if (request.target == "/-/order") {
            if (!serveOrder(connection, request))
                return;
            continue;
        }
        const std::string model = request.header("model");
        const Admission admission = admit(model);
        if (admission != Admission::Held) {
            const bool isLeaving = admission == Admission::Leaving;
            Headers fields {{"Instance-Id", id}, {"Request-Id", requestId}};
            if (isLeaving)
                fields["Not-Executed"] = "1";
            if (!connection.answer(isLeaving ? 503 : 421, fields, ""))
                return;
            continue;
        }
        const bool isUsedAgain = m_work(*this, connection, request);
        endUse(model);
        if (!isUsedAgain)
            return;
    }
}

bool Engine::writeHead(Connection &connection, const Message &request, const std::string &id)
{
    return connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: "
                            + request.header("request-id") + "\r\nResponse-Stamp: " + id
                            + ".1\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
}

bool Engine::writeEvent(Connection &connection, int number)
{
    const std::string event
        = "id: " + std::to_string(number) + "\ndata: piece-" + std::to_string(number) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    return connection.write(size + event + "\r\n");
}

bool Engine::stream(Connection &connection, const Message &request, int events, milliseconds pause)
{
    const std::string last = request.header("last-event-id");
    int number = last.empty() ? 0 : std::atoi(last.c_str());
    if (!writeHead(connection, request, id()))
        return false;
    while (number < events) {
        std::this_thread::sleep_for(pause);
        if (m_isStopped || !writeEvent(connection, ++number))
            return false;
    }
    return connection.write("0\r\n\r\n");
}

json streamConfiguration(const StreamTargets &targets)
{
    const json model {{"name", "m0"},     {"weights_mb", 42700.0}, {"load_s", 1.7},
                      {"adapters", 3000}, {"adapter_mb", 66.0},    {"warm_s", 0.44},
                      {"disk_s", 0.68}};
    const json engine {
        {"slots", slots},        {"kv_capacity", 124330}, {"models", json::array({model})},
        {"weights_mb", 45000.0}, {"adapter_slots", 22},   {"loads_per_s", 5.7}};
    const json service {{"name", "models"}, {"health_path", "/health"},
                        {"max_conns", 230}, {"protocol", "h1"},
                        {"tls", false},     {"engine", engine}};
    const json route {{"name", "r-draft"},
                      {"host", "a.example"},
                      {"path_prefix", "/draft/"},
                      {"kind", "stream"},
                      {"timeout_ms", 12000},
                      {"target_latency_ms", targets.latencyMilliseconds},
                      {"priority", 1},
                      {"service", "models"},
                      {"max_attempts", 2},
                      {"sticky", true},
                      {"resumable", true},
                      {"gap_target_ms", targets.gapMilliseconds}};
    const json limits {{"max_header_bytes", 16384},
                       {"max_body_bytes", 4194304},
                       {"header_timeout_ms", 3000},
                       {"idle_timeout_ms", 15000}};
    return {{"version", 3},
            {"routes", json::array({route})},
            {"services", json::array({service})},
            {"limits", limits}};
}

std::string streamRequest(const std::string &path, const std::string &id, const std::string &body,
                          int deadlineMilliseconds, const std::string &model)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nModel: "
        + (model.empty() ? "m0" : model) + "\r\nToken-Count: 100,60\r\nPrompt-Prefix: " + id
        + ":100\r\nDeadline-Ms: " + std::to_string(deadlineMilliseconds)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace lab
