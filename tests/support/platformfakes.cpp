#include "support/platformfakes.h"

#include "support/listen.h"

#include <algorithm>
#include <charconv>
#include <sstream>
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
    std::string placeholder = "@text" + std::to_string(m_texts.size()) + "@";
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

} // namespace jackdawlead::testsupport
