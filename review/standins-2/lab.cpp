#include "lab.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>
#include <utility>

namespace lab {

namespace {

using nlohmann::json;

std::mt19937_64 &random()
{
    static std::mt19937_64 generator {std::random_device()()};
    return generator;
}

std::mutex &randomMutex()
{
    static std::mutex mutex;
    return mutex;
}

std::uint64_t draw()
{
    const std::lock_guard lock(randomMutex());
    return random()();
}

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

int listenAt(const Address &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in local = socketAddress(address);
    if (bind(socket, reinterpret_cast<sockaddr *>(&local), sizeof local) != 0
        || listen(socket, 256) != 0) {
        close(socket);
        throw std::runtime_error("cannot listen at " + address.text());
    }
    return socket;
}

int connectTo(const Address &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in peer = socketAddress(address);
    if (connect(socket, reinterpret_cast<sockaddr *>(&peer), sizeof peer) != 0) {
        close(socket);
        return -1;
    }
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    return socket;
}

std::string lowered(std::string text)
{
    std::ranges::transform(text, text.begin(),
                           [](unsigned char character) { return std::tolower(character); });
    return text;
}

std::string unescaped(const std::string &text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result.push_back(
                static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16)));
            at += 2;
        } else {
            result.push_back(text[at]);
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    std::size_t begin = mark == std::string::npos ? target.size() : mark + 1;
    while (begin < target.size()) {
        const std::size_t end = std::min(target.find('&', begin), target.size());
        const std::string part = target.substr(begin, end - begin);
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos)
            query[part.substr(0, equals)] = unescaped(part.substr(equals + 1));
        begin = end + 1;
    }
    return query;
}

/// Parses the start line and the fields; `head` ends before the blank line.
void parseHead(const std::string &head, Message &message)
{
    message = {};
    std::size_t begin = 0;
    bool isFirst = true;
    while (begin < head.size()) {
        const std::size_t end = std::min(head.find("\r\n", begin), head.size());
        const std::string line = head.substr(begin, end - begin);
        begin = end + 2;
        if (std::exchange(isFirst, false)) {
            const std::size_t first = line.find(' ');
            const std::size_t second = line.find(' ', first + 1);
            if (line.starts_with("HTTP/")) {
                message.status = std::atoi(line.substr(first + 1).c_str());
            } else {
                message.method = line.substr(0, first);
                message.target = line.substr(first + 1, second - first - 1);
            }
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        message.headers[lowered(line.substr(0, colon))] = line.substr(value);
    }
}

bool receive(int socket, std::string &input)
{
    char bytes[16384];
    const ssize_t size = ::recv(socket, bytes, sizeof bytes, 0);
    if (size <= 0)
        return false;
    input.append(bytes, static_cast<std::size_t>(size));
    return true;
}

} // namespace

std::string freshIp()
{
    return "127." + std::to_string(20 + draw() % 200) + "." + std::to_string(1 + draw() % 250) + "."
        + std::to_string(1 + draw() % 250);
}

Address freeAddress(const std::string &ip)
{
    const int socket = listenAt({ip, 0});
    sockaddr_in local {};
    socklen_t size = sizeof local;
    getsockname(socket, reinterpret_cast<sockaddr *>(&local), &size);
    close(socket);
    return {ip, ntohs(local.sin_port)};
}

Record::Record(const std::string &path)
    : m_file(std::fopen(path.c_str(), "w"))
{
    if (m_file == nullptr)
        throw std::runtime_error("cannot write " + path);
}

Record::~Record()
{
    std::fclose(m_file);
}

double Record::now() const
{
    return std::chrono::duration<double>(Clock::now() - m_start).count();
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%8.3f %s\n", now(), text.c_str());
    std::fflush(m_file);
}

Connection::~Connection()
{
    close(m_socket);
}

bool Connection::read(Message &request)
{
    for (;;) {
        const std::size_t end = m_input.find("\r\n\r\n");
        if (end != std::string::npos) {
            parseHead(m_input.substr(0, end), request);
            const std::size_t length = std::strtoul(request.header("content-length").empty()
                                                        ? "0"
                                                        : request.header("content-length").c_str(),
                                                    nullptr, 10);
            while (m_input.size() < end + 4 + length) {
                if (!receive(m_socket, m_input))
                    return false;
            }
            request.body = m_input.substr(end + 4, length);
            m_input.erase(0, end + 4 + length);
            return true;
        }
        if (!receive(m_socket, m_input))
            return false;
    }
}

bool Connection::write(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size
            = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

bool Connection::answer(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return write(text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool Connection::waitForClose(milliseconds time)
{
    const auto end = Clock::now() + time;
    while (Clock::now() < end) {
        pollfd entry {m_socket, POLLIN, 0};
        const auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now()).count() + 1;
        if (poll(&entry, 1, static_cast<int>(left)) > 0 && !receive(m_socket, m_input))
            return true;
    }
    return false;
}

void Connection::cut()
{
    shutdown(m_socket, SHUT_RDWR);
}

void Connection::reset()
{
    const linger immediately {1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    // A connect to an unspecified family resets the connection and keeps the descriptor.
    sockaddr none {};
    none.sa_family = AF_UNSPEC;
    connect(m_socket, &none, sizeof none);
}

Server::Server(Address address, Handler handler)
    : m_address(std::move(address))
    , m_handler(std::move(handler))
    , m_listener(listenAt(m_address))
    , m_acceptor([this] { accept(); })
{ }

Server::~Server()
{
    stop();
    for (std::thread &thread : m_threads)
        thread.join();
}

void Server::accept()
{
    while (!m_isStopped) {
        pollfd entry {m_listener, POLLIN, 0};
        if (poll(&entry, 1, 20) <= 0)
            continue;
        const int socket = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        const int enabled = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        auto connection = std::make_shared<Connection>(socket);
        const std::lock_guard lock(m_mutex);
        if (m_isStopped)
            return;
        std::erase_if(m_connections, [](const auto &held) { return held.use_count() == 1; });
        m_connections.push_back(connection);
        m_threads.emplace_back([this, held = std::move(connection)]() mutable {
            m_handler(*held);
            held->cut();
            held.reset();
        });
    }
}

void Server::stop()
{
    if (m_isStopped.exchange(true))
        return;
    // Before the accepting thread ends, so that new connections are refused at once.
    close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &connection : m_connections)
            connection->cut();
    }
    m_acceptor.join();
}

Link::Link(Address address, Address server, Delay delay)
    : m_target(std::move(server))
    , m_delay(std::move(delay))
    , m_server(std::move(address), [this](Connection &connection) { pass(connection); })
{ }

// What the sender has written before it closed still arrives, like segments that are sent again.
void Link::pass(Connection &connection) const
{
    const int target = connectTo(m_target);
    if (target < 0)
        return;
    Connection server(target);
    std::thread answers([&] {
        std::string bytes;
        while (receive(target, bytes) && connection.write(bytes))
            bytes.clear();
        shutdown(connection.socket(), SHUT_WR);
    });
    std::string bytes;
    while (receive(connection.socket(), bytes)) {
        std::this_thread::sleep_for(m_delay(bytes));
        if (!server.write(bytes))
            break;
        bytes.clear();
    }
    shutdown(target, SHUT_WR);
    answers.join();
}

Store::Store(Address address)
    : m_server(std::make_unique<Server>(std::move(address),
                                        [this](Connection &connection) { serve(connection); }))
{ }

Store::~Store()
{
    m_isStopped = true;
    m_changed.notify_all();
    m_server.reset();
}

json Store::encode(const std::string &name, const Object &object)
{
    return {{"metadata",
             {{"name", name},
              {"revision", object.revision},
              {"created", object.created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", object.spec},
            {"status", nullptr}};
}

void Store::change(const std::string &kind, const std::string &name, const json &spec)
{
    Object &object = m_kinds[kind][name];
    if (object.revision != 0 && object.spec == spec)
        return;
    object.revision = ++m_revision;
    if (object.created == 0)
        object.created = m_revision;
    object.spec = spec;
    m_events.push_back({m_revision, kind, {{"removed", false}, {"object", encode(name, object)}}});
    m_changed.notify_all();
}

void Store::erase(const std::string &kind, const std::string &name)
{
    const auto found = m_kinds[kind].find(name);
    if (found == m_kinds[kind].end())
        return;
    ++m_revision;
    m_events.push_back(
        {m_revision, kind, {{"removed", true}, {"object", encode(name, found->second)}}});
    m_kinds[kind].erase(found);
    m_changed.notify_all();
}

void Store::put(const std::string &kind, const std::string &name, const json &spec)
{
    const std::lock_guard lock(m_mutex);
    change(kind, name, spec);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    erase(kind, name);
}

void Store::serve(Connection &connection)
{
    Message request;
    while (!m_isStopped && connection.read(request)) {
        if (!answer(connection, request))
            return;
    }
}

bool Store::watch(Connection &connection, const std::string &kind, std::uint64_t since,
                  milliseconds wait)
{
    json events = json::array();
    std::uint64_t revision = 0;
    {
        std::unique_lock lock(m_mutex);
        const auto collect = [&] {
            for (const Event &event : m_events) {
                if (event.kind == kind && event.revision > since)
                    events.push_back(event.body);
            }
            return !events.empty() || m_isStopped;
        };
        m_changed.wait_for(lock, wait, collect);
        revision = m_revision;
    }
    const json body {{"events", events}, {"current_rev", revision}};
    return connection.answer(200, {{"Content-Type", "application/json"}}, body.dump());
}

bool Store::answer(Connection &connection, const Message &request)
{
    const std::string prefix = "/-/objects/";
    const std::string path = request.target.substr(0, request.target.find('?'));
    const auto query = queryOf(request.target);
    if (!path.starts_with(prefix))
        return connection.answer(404, {}, "{}");
    if (refuses && refuses(request))
        return connection.answer(503, {}, "");
    const std::string rest = path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = unescaped(rest.substr(0, slash));
    const std::string name = slash == std::string::npos ? "" : unescaped(rest.substr(slash + 1));
    const Headers fields {{"Content-Type", "application/json"}};
    if (request.method == "GET" && name.empty() && query.contains("watch"))
        return watch(
            connection, kind, std::strtoull(query.at("watch").c_str(), nullptr, 10),
            milliseconds(query.contains("wait_ms") ? std::atoi(query.at("wait_ms").c_str()) : 0));
    std::unique_lock lock(m_mutex);
    auto &objects = m_kinds[kind];
    int status = 200;
    json body = json::object();
    if (request.method == "GET" && name.empty()) {
        body = {{"items", json::array()}, {"has_more", false}, {"current_rev", m_revision}};
        for (const auto &[key, object] : objects) {
            if (!query.contains("after") || key > query.at("after"))
                body["items"].push_back(encode(key, object));
        }
    } else if (request.method == "POST") {
        const json sent = json::parse(request.body);
        const std::string created = sent.at("metadata").at("name").get<std::string>();
        if (objects.contains(created))
            status = 409;
        else
            change(kind, created, sent.at("spec"));
        body = encode(created, objects.at(created));
    } else if (!objects.contains(name)) {
        status = 404;
    } else if (request.method == "GET") {
        body = encode(name, objects.at(name));
    } else if (request.method == "PUT") {
        const json sent = json::parse(request.body);
        const json metadata = sent.value("metadata", json::object());
        const auto revision = metadata.value("revision", objects.at(name).revision);
        if (revision != objects.at(name).revision)
            status = 409;
        else
            change(kind, name, sent.at("spec"));
        body = encode(name, objects.at(name));
    } else if (request.method == "DELETE") {
        body = encode(name, objects.at(name));
        const bool isStale = query.contains("revision")
            && std::strtoull(query.at("revision").c_str(), nullptr, 10)
                != objects.at(name).revision;
        if (isStale)
            status = 409;
        else
            erase(kind, name);
    }
    lock.unlock();
    return connection.answer(status, fields, body.dump());
}

Daemon::Daemon(std::string name, std::string zone, const Address &store, const std::string &folder)
    : m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_folder(folder)
    , m_store(store)
{
    const std::string ip = freshIp();
    m_front = freeAddress(ip);
    m_ready = freeAddress(ip);
    m_control = freeAddress(ip);
    m_peer = freeAddress(ip);
    start(true);
}

void Daemon::start(bool isFirstStart)
{
    const std::string path = m_folder + "/" + m_name + ".conf";
    std::ofstream(path) << "node=" << m_name
                        << "\nrole=gateway\nmachine_class=front\nserves=front\nip=" << m_front.ip
                        << "\nzone=" << m_zone
                        << "\nregion=r1\nzones.z1=r1\nzones.z2=r1\nzones.z3=r1\nlisten.front="
                        << m_front.text() << "\nlisten.ready=" << m_ready.text()
                        << "\nlisten.control=" << m_control.text()
                        << "\ninternal_ports=" << m_peer.port << "," << m_peer.port
                        << "\nseeds=\nbootstrap=" << (isFirstStart ? "true" : "false")
                        << "\nloss_counts=false\nlimits.cpu_share=0.25\n"
                           "limits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n"
                           "limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n"
                           "entry=vip\nheartbeat_ms=1200\n"
                           "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,"
                           "platform\nfault_tolerance.machines=2\nfault_tolerance.zones=0\n"
                           "fault_tolerance.regions=0\nbounds.seed_lag_s=3\n"
                           "bounds.reuse_after_s=2\nbounds.stable_window_ms=4000\n"
                           "bounds.ack_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms=3000\n"
                           "bounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_ms=3000\n"
                           "bounds.rollback_slack_ms=250\nbounds.max_stretch_ms=6000\n"
                           "bounds.budget_ratio=0.2\nbounds.budget_window_s=10\n"
                           "bounds.budget_slack=52\nbounds.recover_s=12\nbounds.pass_ms=400\n"
                           "bounds.retry_after_s=0\nbounds.fencing_required=false\n"
                           "bounds.lease_ms=3000\nbounds.thaw_ms=300\nbounds.ceiling_window_s=5\n"
                           "bounds.ceiling_factor=1.1\nbounds.version_ms=5000\n"
                           "platform.address="
                        << m_store.text()
                        << "\nplatform.form=objects\nplatform.writes_per_s=400\n"
                           "platform.reads_per_s=2000\nplatform.history_s=20\n"
                           "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
    const std::string output = m_folder + "/" + m_name + ".log";
    std::string settings = "JACKDAWLEAD_SETTINGS=" + path;
    std::string searchPath = "PATH=/usr/bin:/bin";
    char *environment[] = {settings.data(), searchPath.data(), nullptr};
    std::vector<std::string> words {"target/src/app/jackdawleadd", "--platform", "--metrics-port",
                                    "9464"};
    std::vector<char *> arguments;
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int result = posix_spawn(&m_pid, words.front().c_str(), &actions, nullptr,
                                   arguments.data(), environment);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0)
        throw std::runtime_error("cannot start " + words.front());
}

bool Daemon::stop(milliseconds limit)
{
    signal(SIGTERM);
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
        if (hasEnded())
            return true;
        std::this_thread::sleep_for(milliseconds(20));
    }
    signal(SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
    return false;
}

Daemon::~Daemon()
{
    if (m_pid <= 0)
        return;
    kill(m_pid, SIGCONT);
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

bool Daemon::isReady() const
{
    return getStatus(m_ready, "/-/readiness") == 200;
}

bool Daemon::hasEnded()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = -1;
    return m_pid <= 0;
}

void Daemon::signal(int number) const
{
    if (m_pid > 0)
        kill(m_pid, number);
}

Answer send(const Address &daemon, const std::string &request, milliseconds limit)
{
    Answer answer;
    const auto end = Clock::now() + limit;
    const int socket = connectTo(daemon);
    if (socket < 0)
        return answer;
    Connection connection(socket);
    if (!connection.write(request))
        return answer;
    std::string input;
    std::size_t bodyBegin = std::string::npos;
    bool isChunked = false;
    std::size_t length = 0;
    std::size_t chunkAt = 0;
    while (Clock::now() < end) {
        pollfd entry {socket, POLLIN, 0};
        const auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now()).count() + 1;
        if (poll(&entry, 1, static_cast<int>(left)) <= 0)
            break;
        if (!receive(socket, input))
            break;
        if (bodyBegin == std::string::npos) {
            const std::size_t headEnd = input.find("\r\n\r\n");
            if (headEnd == std::string::npos)
                continue;
            Message head;
            parseHead(input.substr(0, headEnd), head);
            answer.status = head.status;
            answer.headers = head.headers;
            isChunked = head.header("transfer-encoding") == "chunked";
            length = std::strtoul(
                head.header("content-length").empty() ? "0" : head.header("content-length").c_str(),
                nullptr, 10);
            bodyBegin = headEnd + 4;
            chunkAt = bodyBegin;
        }
        if (!isChunked) {
            answer.body = input.substr(bodyBegin, length);
            answer.isComplete = answer.body.size() == length;
            if (answer.isComplete)
                return answer;
            continue;
        }
        for (;;) {
            const std::size_t lineEnd = input.find("\r\n", chunkAt);
            if (lineEnd == std::string::npos)
                break;
            const std::size_t size = std::strtoul(input.c_str() + chunkAt, nullptr, 16);
            if (input.size() < lineEnd + 2 + size + 2)
                break;
            if (size == 0) {
                answer.isComplete = true;
                return answer;
            }
            answer.body += input.substr(lineEnd + 2, size);
            chunkAt = lineEnd + 2 + size + 2;
        }
    }
    return answer;
}

int getStatus(const Address &address, const std::string &target)
{
    return send(address, "GET " + target + " HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
                milliseconds(1000))
        .status;
}

std::string makeFolder()
{
    char pattern[] = "/tmp/jackdawlead-review-XXXXXX";
    return mkdtemp(pattern);
}

void removeFolder(const std::string &folder)
{
    std::filesystem::remove_all(folder);
}

std::string randomId()
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(draw()));
    return text;
}

bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

json runnerEntry(const std::string &service, const Address &address, const std::string &zone,
                 int slots, std::int64_t born)
{
    return {
        {"service", service}, {"address", address.text()}, {"zone", zone},      {"version", "v1"},
        {"slots", slots},     {"state", "ready"},          {"cold_left_ms", 0}, {"seq", 0},
        {"born", born}};
}

} // namespace lab
