#include "support/fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "support/ports.h"

namespace jackdawlead::testsupport {

namespace {

using nlohmann::json;

constexpr core::Duration readyLimit = std::chrono::seconds(60);
constexpr int maxStarts = 3;
constexpr std::chrono::seconds controlLimit {60};
constexpr const char *callerSecret = "caller-secret";
// SHA-256 of callerSecret.
constexpr const char *callerSecretDigest
    = "ef463420edc797e78fe3cdfcaddb67f822b4482788cb1009d0467eea8694736f";

std::string text(std::uint64_t number)
{
    return std::to_string(number);
}

std::string readFile(const std::filesystem::path &path)
{
    std::ostringstream content;
    content << std::ifstream(path).rdbuf();
    return content.str();
}

std::filesystem::path makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
    return mkdtemp(pattern.data());
}

} // namespace

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options))
    , m_folder(makeFolder())
{
    // Another process can take a port between its choice and its use.
    for (int attempt = 0; attempt < maxStarts && !m_isReady; ++attempt) {
        m_engines = std::vector<EngineEntry>(m_options.engines);
        m_daemons = std::vector<DaemonEntry>(m_options.daemons);
        m_awayPlatform = {};
        m_awayRelay = {};
        choosePorts();
        startAll();
        if (!hasEndedProcess())
            break;
    }
}

Fleet::~Fleet()
{
    for (DaemonEntry &entry : m_daemons)
        entry.process.kill();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void Fleet::choosePorts()
{
    m_ports = std::make_unique<PortPicker>();
    PortPicker &ports = *m_ports;
    m_platformPort = ports.take();
    m_servicePort = ports.take();
    m_awayRelayPort = ports.take();
    m_awayControlPort = ports.take();
    for (EngineEntry &entry : m_engines) {
        entry.port = ports.take();
        entry.relayPort = ports.take();
        entry.controlPort = ports.take();
    }
    m_awayPlatformPort = ports.take();
    for (DaemonEntry &entry : m_daemons) {
        entry.relayPort = ports.take();
        entry.controlPort = ports.take();
        entry.caller = ports.take();
        entry.peer = ports.take();
        entry.admin = ports.take();
    }
}

bool Fleet::isAwayDaemon(std::size_t index) const
{
    return index + m_options.awayDaemons >= m_options.daemons;
}

Process Fleet::startProgram(const std::string &name, const std::vector<std::string> &command) const
{
    return {command, (m_folder / (name + ".out")).string()};
}

Process Fleet::startRelay(const std::string &name, std::uint16_t port, std::uint16_t target,
                          std::uint16_t control) const
{
    return startProgram(name,
                        {FAKERELAY, "--port", text(port), "--target-port", text(target),
                         "--control-port", text(control)});
}

bool Fleet::isRelayed(bool isAwayTarget, bool isSeenFromAway) const
{
    return m_options.isLinkRelayed && isAwayTarget != isSeenFromAway;
}

json Fleet::hostEntries(bool isSeenFromAway) const
{
    json items = json::array();
    const auto add = [&items](const std::string &name, const char *role, std::uint16_t port,
                              const char *pool, bool isAway) {
        items.push_back({{"name", name},
                         {"role", role},
                         {"ip", "127.0.0.1"},
                         {"port", port},
                         {"pool", pool},
                         {"region", isAway ? "away" : "home"},
                         {"failureDomain", isAway ? "away-1" : "home-1"},
                         {"state", "live"}});
    };
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        const DaemonEntry &entry = m_daemons[index];
        const bool isAway = isAwayDaemon(index);
        add(daemonName(index), "daemon",
            isRelayed(isAway, isSeenFromAway) ? entry.relayPort : entry.peer, "", isAway);
    }
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        const EngineEntry &entry = m_engines[index];
        const bool isAway = index + m_options.awayEngines >= m_options.engines;
        const bool hasRelay = m_options.areEnginesRelayed || isRelayed(isAway, isSeenFromAway);
        add(engineName(index), "endpoint", hasRelay ? entry.relayPort : entry.port, "assistants",
            isAway);
    }
    add("orders-0", "endpoint", m_servicePort, "orders", false);
    return {{"items", items}};
}

void Fleet::setHostState(const std::string &name, const std::string &state)
{
    json items = json::array();
    for (json &item : m_hosts["items"]) {
        if (item["name"] != name)
            items.push_back(item);
        else if (!state.empty()) {
            item["state"] = state;
            items.push_back(item);
        }
    }
    m_caller.write(m_platformPort, "PUT", "/v1/hosts", {{"items", items}});
}

void Fleet::writeSettings(std::size_t index)
{
    const DaemonEntry &entry = m_daemons[index];
    const bool isAway = isAwayDaemon(index);
    const std::uint16_t platform
        = isAway && m_options.isLinkRelayed ? m_awayRelayPort : m_platformPort;
    const std::uint16_t hostList
        = isAway && m_options.isLinkRelayed ? m_awayPlatformPort : m_platformPort;
    std::ofstream file(m_folder / (daemonName(index) + ".yaml"));
    file << "host: " << daemonName(index) << "\nregion: " << (isAway ? "away" : "home")
         << "\nfailureDomain: " << (isAway ? "away-1" : "home-1")
         << "\nlisten: { ip: 127.0.0.1, callerPort: " << entry.caller
         << ", peerPort: " << entry.peer << ", adminPort: " << entry.admin << " }\n"
         << "credentials: { peer: peer-secret, admin: admin-secret }\n"
         << "platform: { objectApiIp: 127.0.0.1, objectApiPort: " << platform
         << ", hostListIp: 127.0.0.1, hostListPort: " << hostList << " }\n";
    if (m_options.hasShortLeases)
        file << "lease: { durationMs: 3000, renewPeriodMs: 1000, guardMs: 300 }\n";
    if (!m_options.limits.empty())
        file << "limits:\n";
    for (const std::string &line : m_options.limits)
        file << "  " << line << "\n";
}

std::string Fleet::writeManifest(const std::string &release, int adapters)
{
    const std::filesystem::path path = m_folder / (release + ".yaml");
    std::ofstream file(path);
    file << "apiVersion: jackdawlead/v1\nrelease: " << release << "\nmodels: [{ name: base }]\n"
         << "pools:\n  - { name: assistants, kind: engine, model: base, slots: " << m_options.slots
         << ", checksFencing: " << (m_options.isFencingChecked ? "true" : "false") << " }\n"
         << "  - { name: orders, kind: plain }\n"
         << "customers: [{ name: shop, tokenDigests: [" << callerSecretDigest << "] }]\n"
         << "adapters:\n";
    std::string names;
    for (int index = 1; index <= adapters; ++index) {
        const std::string name = "adapter-" + std::to_string(index);
        file << "  - { name: " << name
             << ", model: base, versions: [{ version: \"1\", source: " << name << "/1 }] }\n";
        names += (index == 1 ? "" : ", ") + name;
    }
    file << "services:\n  - { name: drafts, pool: assistants, callers: [shop], adapters: [" << names
         << "] }\n  - { name: orders, pool: orders, callers: [shop], repeatable: false }\n";
    return path.string();
}

void Fleet::startDaemon(std::size_t index)
{
    m_daemons.at(index).process = startProgram(
        daemonName(index),
        {JACKDAWLEADD, "--settings", (m_folder / (daemonName(index) + ".yaml")).string()});
}

void Fleet::startEngine(std::size_t index)
{
    EngineEntry &entry = m_engines.at(index);
    entry.process = startProgram(engineName(index),
                                 {FAKEENGINE, "--port", text(entry.port), "--store-port",
                                  text(m_platformPort), "--slots", std::to_string(m_options.slots),
                                  "--tokens", std::to_string(m_options.tokens), "--token-ms",
                                  std::to_string(m_options.tokenTime.count()), "--fencing",
                                  m_options.isFencingChecked ? "1" : "0"});
    waitForStatus(entry.port, "/v1/models");
}

bool Fleet::hasEndedProcess()
{
    const auto isEnded = [](auto &entry) {
        return entry.process.exitCode().has_value() || entry.relay.exitCode().has_value();
    };
    return m_platform.exitCode() || m_service.exitCode() || m_awayPlatform.exitCode()
        || m_awayRelay.exitCode() || std::ranges::any_of(m_engines, isEnded)
        || std::ranges::any_of(m_daemons, isEnded);
}

bool Fleet::waitForStatus(std::uint16_t port, const std::string &path)
{
    bool isAnswered = false;
    m_caller.waitUntil(
        [&] {
            isAnswered = m_caller.call(port, {"GET", path, {}, {}}).isComplete();
            return isAnswered || hasEndedProcess();
        },
        readyLimit);
    return isAnswered;
}

void Fleet::startLinkRelays()
{
    m_awayPlatform
        = startProgram("away-platform", {FAKEPLATFORM, "--port", text(m_awayPlatformPort)});
    m_awayRelay = startRelay("relay", m_awayRelayPort, m_platformPort, m_awayControlPort);
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        DaemonEntry &entry = m_daemons[index];
        entry.relay = startRelay("relay-" + daemonName(index), entry.relayPort, entry.peer,
                                 entry.controlPort);
    }
    waitForStatus(m_awayPlatformPort, "/v1/hosts");
    m_caller.write(m_awayPlatformPort, "PUT", "/v1/hosts", hostEntries(true));
}

void Fleet::startAll()
{
    m_platform = startProgram("platform", {FAKEPLATFORM, "--port", text(m_platformPort)});
    m_service = startProgram("service", {FAKESERVICE, "--port", text(m_servicePort)});
    if (!waitForStatus(m_platformPort, "/v1/hosts") || !waitForStatus(m_servicePort, "/fake/runs"))
        return;
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        EngineEntry &entry = m_engines[index];
        startEngine(index);
        if (!m_options.areEnginesRelayed && !m_options.isLinkRelayed)
            continue;
        entry.relay = startRelay("relay-" + engineName(index), entry.relayPort, entry.port,
                                 entry.controlPort);
        waitForStatus(entry.relayPort, "/v1/models");
    }
    if (m_options.isLinkRelayed)
        startLinkRelays();
    m_hosts = hostEntries(false);
    m_caller.write(m_platformPort, "PUT", "/v1/hosts", m_hosts);
    if (control({"apply", writeManifest("release-1", m_options.adapters)}) != 0)
        return;
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        writeSettings(index);
        startDaemon(index);
    }
    for (const DaemonEntry &entry : m_daemons)
        if (!waitForStatus(entry.admin, "/readyz"))
            return;
    m_isReady = waitForOwners(readyLimit);
}

bool Fleet::setPlatformFault(const json &fault)
{
    return m_caller.write(m_platformPort, "POST", "/fake/fault", fault);
}

bool Fleet::setEngineFault(std::size_t index, const json &fault)
{
    return m_caller.write(enginePort(index), "POST", "/fake/fault", fault);
}

bool Fleet::setEngineRelay(std::size_t index, const json &mode)
{
    return m_caller.write(m_engines.at(index).controlPort, "POST", "/fake/fault", mode);
}

bool Fleet::setLink(const json &mode)
{
    bool isSet = m_caller.write(m_awayControlPort, "POST", "/fake/fault", mode);
    for (const DaemonEntry &entry : m_daemons)
        isSet = m_caller.write(entry.controlPort, "POST", "/fake/fault", mode) && isSet;
    for (const EngineEntry &entry : m_engines)
        isSet = m_caller.write(entry.controlPort, "POST", "/fake/fault", mode) && isSet;
    return isSet;
}

AnswerPtr Fleet::chat(std::size_t daemon, const std::string &model, const std::string &prompt,
                      bool isStream, std::chrono::milliseconds deadline)
{
    const json body {{"model", model},
                     {"stream", isStream},
                     {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    return m_caller.start(callerPort(daemon),
                          {"POST",
                           "/v1/chat/completions",
                           {{"Authorization", std::string("Bearer ") + callerSecret},
                            {"X-Request-Deadline-Ms", std::to_string(deadline.count())}},
                           body.dump()});
}

AnswerPtr Fleet::order(std::size_t daemon, const std::string &key, const std::string &body)
{
    return m_caller.start(
        callerPort(daemon),
        {"POST",
         "/services/orders/print",
         {{"Authorization", std::string("Bearer ") + callerSecret}, {"Idempotency-Key", key}},
         body});
}

int Fleet::control(const std::vector<std::string> &arguments)
{
    return controlAtOnce({arguments}).front().exitCode;
}

std::vector<ControlResult>
Fleet::controlAtOnce(const std::vector<std::vector<std::string>> &argumentLists)
{
    std::vector<std::pair<std::filesystem::path, Process>> runs;
    for (const auto &arguments : argumentLists) {
        const auto path = m_folder / ("control-" + std::to_string(++m_controlRuns) + ".out");
        std::vector<std::string> command {JACKDAWCTL};
        command.insert(command.end(), arguments.begin(), arguments.end());
        command.insert(command.end(), {"--object-api", "127.0.0.1:" + text(m_platformPort)});
        runs.emplace_back(path, Process(command, path.string()));
    }
    std::vector<ControlResult> results;
    for (auto &[path, process] : runs) {
        const int exitCode = process.waitForExit(controlLimit).value_or(-1);
        results.push_back({exitCode, readFile(path)});
    }
    return results;
}

std::uint64_t Fleet::generation(std::size_t daemon)
{
    const Answer answer = m_caller.call(
        adminPort(daemon),
        {"GET", "/admin/v1/status", {{"Authorization", "Bearer admin-secret"}}, {}});
    const json body = json::parse(answer.body, nullptr, false);
    return body.is_object() ? body.value("generation", std::uint64_t {0}) : 0;
}

std::map<std::string, std::string> Fleet::owners()
{
    std::map<std::string, std::string> result;
    const json list = m_caller.read(m_platformPort, "/apis/jackdawlead.dev/v1/endpointowners");
    if (!list.is_object() || !list.contains("items"))
        return result;
    for (const json &item : list["items"])
        if (const std::string holder = item["spec"].value("holder", ""); !holder.empty())
            result[item["metadata"]["name"]] = holder;
    return result;
}

bool Fleet::waitForOwners(core::Duration limit)
{
    return m_caller.waitUntil([this] { return owners().size() == m_engines.size(); }, limit);
}

int Fleet::engineCounter(const std::string &name)
{
    int sum = 0;
    for (EngineEntry &entry : m_engines) {
        if (entry.process.exitCode())
            continue;
        std::istringstream lines(m_caller.readText(entry.port, "/metrics"));
        for (std::string line; std::getline(lines, line);)
            if (line.starts_with(name + " "))
                sum += std::stoi(line.substr(name.size() + 1));
    }
    return sum;
}

bool Fleet::isRecorded(const Answer &answer, const std::string &model)
{
    const std::string id = answer.headers.value("X-Request-Id");
    const std::string endpoint = answer.headers.value("X-Endpoint");
    json &records = m_records[endpoint];
    for (std::size_t index = 0; index < m_engines.size(); ++index)
        if (engineName(index) == endpoint && !(records.is_object() && records.contains(id)))
            records = m_caller.read(m_engines[index].port, "/fake/record");
    if (!records.is_object() || !records.contains(id))
        return false;
    const json &record = records[id];
    return record["adapter"] == model && answer.headers.value("X-Served-Model") == model
        && record["text"] == textOf(answer);
}

bool Fleet::waitForModel(std::size_t daemon, const std::string &model, core::Duration limit)
{
    return waitForModels(daemon, std::vector<std::string> {model}, limit);
}

bool Fleet::waitForModels(std::size_t daemon, int count, core::Duration limit)
{
    std::vector<std::string> models;
    for (int number = 1; number <= count; ++number)
        models.push_back(modelName(number));
    return waitForModels(daemon, std::move(models), limit);
}

bool Fleet::waitForModels(std::size_t daemon, std::vector<std::string> models, core::Duration limit)
{
    return m_caller.waitUntil(
        [&] {
            std::vector<AnswerPtr> answers;
            answers.reserve(models.size());
            for (const std::string &model : models)
                answers.push_back(chat(daemon, model, "ready", true));
            m_caller.waitForAll(answers, limit);
            std::vector<std::string> missing;
            for (std::size_t index = 0; index < models.size(); ++index)
                if (!answers[index]->isComplete()
                    || !answers[index]->body.ends_with("data: [DONE]\n\n"))
                    missing.push_back(models[index]);
            models = std::move(missing);
            return models.empty();
        },
        limit);
}

std::string Fleet::daemonLog(std::size_t index) const
{
    return readFile(m_folder / (daemonName(index) + ".out"));
}

} // namespace jackdawlead::testsupport
