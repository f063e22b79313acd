#include "support/platformfakes.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace jackdawlead::testsupport {

namespace {

using nlohmann::json;

constexpr std::string_view objectsPath = "/-/objects/";

/// Decodes escaped bytes; other text stays as it is.
std::string unescaped(const std::string &text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        unsigned byte = 0;
        const char *digits = text.data() + at + 1;
        const bool isEscape = text[at] == '%' && at + 2 < text.size()
            && std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2;
        result.push_back(isEscape ? static_cast<char>(byte) : text[at]);
        at += isEscape ? 2 : 0;
    }
    return result;
}

/// Names and values of the query, decoded like those of a form: plus signs stand for blanks.
std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return query;
    std::istringstream parts(target.substr(mark + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        std::ranges::replace(part, '+', ' ');
        const std::size_t equals = part.find('=');
        query[unescaped(part.substr(0, equals))] = unescaped(part.substr(equals + 1));
    }
    return query;
}

// Without the listener the daemon under test could connect to another process on the port.
void listenOrThrow(http::Server &server, std::uint16_t port)
{
    if (const absl::Status status = server.listen({"127.0.0.1", port}); !status.ok())
        throw std::runtime_error(std::string(status.message()));
}

void respondJson(http::ServerExchange &exchange, int status, const json &body)
{
    exchange.respond(status, {{"Content-Type", "application/json"}}, body.dump());
}

} // namespace

FakeStore::FakeStore(net::EventLoop &loop, net::TimerService &timers, std::uint16_t port)
    : m_timers(timers)
    , m_server(loop, timers, [this](const auto &exchange) { serve(exchange); })
{
    listenOrThrow(m_server, port);
}

json FakeStore::encode(const std::string &name, const Object &object)
{
    return {{"metadata",
             {{"name", name},
              {"revision", object.revision},
              {"created", 1},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", object.spec},
            {"status", nullptr}};
}

void FakeStore::put(const std::string &kind, const std::string &name, const json &spec)
{
    Object &object = m_contents.kinds[kind][name];
    object.spec = spec;
    object.revision = m_contents.revision + 1;
    recordChange(kind, {{"removed", false}, {"object", encode(name, object)}});
}

void FakeStore::putText(const std::string &kind, const std::string &name, const std::string &spec)
{
    put(kind, name, addText(spec));
}

std::string FakeStore::addText(const std::string &text)
{
    const std::string placeholder = "@text" + std::to_string(m_texts.size()) + "@";
    m_texts[placeholder] = text;
    return placeholder;
}

void FakeStore::respond(http::ServerExchange &exchange, int status, const json &body) const
{
    std::string text = body.dump();
    for (const auto &[placeholder, spec] : m_texts) {
        const std::string quoted = '"' + placeholder + '"';
        for (auto at = text.find(quoted); at != std::string::npos; at = text.find(quoted))
            text.replace(at, quoted.size(), spec);
    }
    net::Headers fields = eraFields();
    fields.add("Content-Type", "application/json");
    exchange.respond(status, fields, text);
}

void FakeStore::reject(http::ServerExchange &exchange, int status) const
{
    exchange.respond(status, eraFields(), {});
}

net::Headers FakeStore::eraFields() const
{
    net::Headers fields;
    if (m_statesEra)
        fields.add("Store-Era", std::to_string(m_era));
    return fields;
}

void FakeStore::takeCopy()
{
    m_copy = m_contents;
}

void FakeStore::restoreCopy()
{
    m_contents = m_copy;
    m_oldestRevision = std::min(m_oldestRevision, m_contents.revision);
    ++m_era;
    for (const Watch &watch : m_watches)
        reject(*watch.exchange, 503);
    m_watches.clear();
}

void FakeStore::remove(const std::string &kind, const std::string &name)
{
    const Object object = m_contents.kinds[kind][name];
    m_contents.kinds[kind].erase(name);
    recordChange(kind, {{"removed", true}, {"object", encode(name, object)}});
}

std::size_t FakeStore::count(const std::string &kind) const
{
    const auto objects = m_contents.kinds.find(kind);
    return objects == m_contents.kinds.end() ? 0 : objects->second.size();
}

json FakeStore::spec(const std::string &kind, const std::string &name) const
{
    const auto objects = m_contents.kinds.find(kind);
    if (objects == m_contents.kinds.end() || !objects->second.contains(name))
        return nullptr;
    return objects->second.at(name).spec;
}

void FakeStore::compactHistory()
{
    m_oldestRevision = m_contents.revision;
    m_contents.events.clear();
    if (m_areWatchesSuspended)
        return;
    std::erase_if(m_watches, [this](const Watch &watch) { return respondToWatch(watch, false); });
}

void FakeStore::recordChange(const std::string &kind, const json &body)
{
    m_contents.events.push_back({++m_contents.revision, kind, body});
    if (!m_areWatchesSuspended)
        respondToWatches();
}

void FakeStore::resumeWatches()
{
    m_areWatchesSuspended = false;
    respondToWatches();
}

void FakeStore::cutWatches()
{
    for (const Watch &watch : m_watches)
        watch.exchange->abort();
    m_watches.clear();
}

void FakeStore::respondToWatches()
{
    for (auto watch = m_watches.begin(); watch != m_watches.end();)
        watch = respondToWatch(*watch, false) ? m_watches.erase(watch) : std::next(watch);
}

void FakeStore::serve(const std::shared_ptr<http::ServerExchange> &exchange)
{
    // A fragment is no part of what a server is asked for.
    const std::string target = exchange->head.target.substr(0, exchange->head.target.find('#'));
    if (m_mode == Mode::Silent) {
        m_unanswered.push_back(exchange);
        return;
    }
    if (m_mode == Mode::Refusing || !target.starts_with(objectsPath)) {
        reject(*exchange, m_mode == Mode::Refusing ? 503 : 404);
        return;
    }
    const std::string path
        = target.substr(objectsPath.size(), target.find('?') - objectsPath.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name
        = slash == std::string::npos ? std::string() : unescaped(path.substr(slash + 1));
    if (!m_silentKind.empty() && kind == m_silentKind) {
        m_unanswered.push_back(exchange);
        return;
    }
    auto query = queryOf(target);
    const std::string &method = exchange->head.method;
    if (method != "GET" && method != "DELETE") {
        write(kind, name, *exchange);
    } else if (query.contains("watch")) {
        watch(kind, std::stoull(query["watch"]), std::stoi(query["wait_ms"]), exchange);
    } else if (name.empty() && method == "GET") {
        list(kind, query["after"], *exchange);
    } else if (spec(kind, name).is_null()) {
        reject(*exchange, 404);
    } else if (method == "DELETE") {
        const Object &object = m_contents.kinds[kind][name];
        if (query.contains("revision") && std::stoull(query["revision"]) != object.revision) {
            respond(*exchange, 409, encode(name, object));
            return;
        }
        remove(kind, name);
        respond(*exchange, 200, json::object());
    } else {
        respond(*exchange, 200, encode(name, m_contents.kinds[kind][name]));
    }
}

void FakeStore::list(const std::string &kind, const std::string &after,
                     http::ServerExchange &exchange)
{
    ++m_listCounts[kind];
    json items = json::array();
    const auto &objects = m_contents.kinds[kind];
    auto object = objects.upper_bound(after);
    for (; object != objects.end() && items.size() < m_pageSize; ++object)
        items.push_back(encode(object->first, object->second));
    json page {{"items", items},
               {"has_more", object != objects.end()},
               {"current_rev", m_contents.revision}};
    if (editPage)
        editPage(kind, page);
    respond(exchange, 200, page);
}

int FakeStore::lists() const
{
    int count = 0;
    for (const auto &[kind, lists] : m_listCounts)
        count += lists;
    return count;
}

int FakeStore::lists(const std::string &kind) const
{
    const auto found = m_listCounts.find(kind);
    return found == m_listCounts.end() ? 0 : found->second;
}

bool FakeStore::respondToWatch(const Watch &watch, bool isOver)
{
    if (watch.since < m_oldestRevision || watch.since > m_contents.revision) {
        reject(*watch.exchange, 410);
        return true;
    }
    json events = json::array();
    for (const Event &event : m_contents.events) {
        if (event.kind == watch.kind && event.revision > watch.since)
            events.push_back(event.body);
    }
    if (events.empty() && !isOver)
        return false;
    json body {{"events", events}, {"current_rev", m_contents.revision}};
    if (editEvents)
        editEvents(watch.kind, body);
    const core::Duration delay = nextDelay(watch.kind);
    if (delay == core::Duration::zero()) {
        respond(*watch.exchange, 200, body);
        return true;
    }
    m_lateAnswerTimers.push_back(m_timers.once(
        delay, [this, exchange = watch.exchange, body] { respond(*exchange, 200, body); }));
    return true;
}

void FakeStore::delayWatchAnswers(const std::string &kind, core::Duration delay, int period)
{
    m_lateAnswers = {kind, delay, period};
}

void FakeStore::silenceNextWatch(const std::string &kind, std::function<void()> onSilenced)
{
    m_silencedWatchKind = kind;
    m_onSilenced = std::move(onSilenced);
}

core::Duration FakeStore::nextDelay(const std::string &kind)
{
    const bool isLate = m_lateAnswers.period > 0 && kind == m_lateAnswers.kind
        && ++m_lateAnswers.count % m_lateAnswers.period == 0;
    return isLate ? m_lateAnswers.delay : core::Duration::zero();
}

void FakeStore::watch(const std::string &kind, std::uint64_t since, int waitMilliseconds,
                      const std::shared_ptr<http::ServerExchange> &exchange)
{
    ++m_watchCount;
    if (m_watchStatus != 0) {
        reject(*exchange, m_watchStatus);
        return;
    }
    Watch watch {kind, since, exchange, {}};
    if (respondToWatch(watch, !m_doWatchesWait))
        return;
    if (kind == m_silencedWatchKind) {
        m_silencedWatchKind.clear();
        m_unanswered.push_back(exchange);
        m_onSilenced();
        return;
    }
    m_watches.push_back(std::move(watch));
    const auto entry = std::prev(m_watches.end());
    entry->timeout = m_timers.once(std::chrono::milliseconds(waitMilliseconds), [this, entry] {
        respondToWatch(*entry, true);
        m_watches.erase(entry);
    });
}

void FakeStore::write(const std::string &kind, const std::string &pathName,
                      http::ServerExchange &exchange)
{
    const json body = json::parse(exchange.body);
    const json &metadata = body.at("metadata");
    const std::string name = pathName.empty() ? metadata.at("name").get<std::string>() : pathName;
    const bool exists = !spec(kind, name).is_null();
    const bool isCreation = exchange.head.method == "POST";
    if (!exists && !isCreation) {
        reject(exchange, 404);
        return;
    }
    const bool isConflict = isCreation
        ? exists
        : metadata.value("revision", std::uint64_t {0}) != m_contents.kinds[kind][name].revision;
    if (isConflict) {
        respond(exchange, 409, encode(name, m_contents.kinds[kind][name]));
        return;
    }
    put(kind, name, body.at("spec"));
    respond(exchange, 200, encode(name, m_contents.kinds[kind][name]));
}

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
