#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Stand-ins for the cases of the second review: a store, runners and clients, as threads of the
/// program of a case, and daemons as processes. All addresses are loopback addresses.
namespace lab {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using Headers = std::map<std::string, std::string>; ///< Names in lower case.

struct Address
{
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// A loopback address that no other program of this machine listens at, with a free port.
std::string freshIp();
Address freeAddress(const std::string &ip);

struct Message
{
    std::string method;
    std::string target;
    int status = 0;
    Headers headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

/// Writes lines with the time since the start to the record of the case.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void line(const std::string &text);
    /// Seconds since the start.
    double now() const;

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
    Clock::time_point m_start = Clock::now();
};

/// An accepted connection of a server.
class Connection
{
public:
    explicit Connection(int socket)
        : m_socket(socket)
    { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool read(Message &request);
    bool write(const std::string &bytes);
    /// A whole answer with a length.
    bool answer(int status, const Headers &headers, const std::string &body);
    /// Waits until the other side closes the connection, at most for the time; returns whether it
    /// did.
    bool waitForClose(milliseconds time);
    /// Ends both directions; a thread that reads or writes returns.
    void cut();
    /// The same with a reset.
    void reset();
    int socket() const { return m_socket; }

private:
    int m_socket;
    std::string m_input;
};

/// Accepts connections and serves each one in a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    Server(Address address, Handler handler);
    ~Server();
    void stop();
    const Address &address() const { return m_address; }

private:
    void accept();

    Address m_address;
    Handler m_handler;
    int m_listener = -1;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_isStopped = false;
};

/// A link to a server: passes on bytes in both directions, each connection for itself.
class Link
{
public:
    /// Called with each piece of a request; the time by which it is delayed.
    using Delay = std::function<milliseconds(const std::string &bytes)>;

    Link(Address address, Address server, Delay delay);
    const Address &address() const { return m_server.address(); }

private:
    void pass(Connection &connection) const;

    Address m_target;
    Delay m_delay;
    Server m_server;
};

/// The platform's store: objects by kind and name, conditional writes, lists and watches.
class Store
{
public:
    explicit Store(Address address);
    ~Store();
    const Address &address() const { return m_server->address(); }
    /// Called for each call of a daemon, before it is carried out; true if it gets 503.
    std::function<bool(const Message &request)> refuses;
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        nlohmann::json spec;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json body;
    };

    void serve(Connection &connection);
    bool answer(Connection &connection, const Message &request);
    bool watch(Connection &connection, const std::string &kind, std::uint64_t since,
               milliseconds wait);
    static nlohmann::json encode(const std::string &name, const Object &object);
    void change(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void erase(const std::string &kind, const std::string &name);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 10;
    std::atomic<bool> m_isStopped = false;
    std::unique_ptr<Server> m_server;
};

/// A daemon of the project as a process of its own, with the command of the deploy file.
class Daemon
{
public:
    Daemon(std::string name, std::string zone, const Address &store, const std::string &folder);
    ~Daemon();
    const Address &front() const { return m_front; }
    const std::string &name() const { return m_name; }
    bool isReady() const;
    /// Starts the process again with the same settings, as after the first start of the system.
    void startAgain() { start(false); }
    /// SIGTERM, and SIGKILL after the limit; returns whether the process ended before that.
    bool stop(milliseconds limit);
    /// Whether the process has ended.
    bool hasEnded();
    void signal(int number) const;

private:
    void start(bool isFirstStart);

    std::string m_name;
    std::string m_zone;
    std::string m_folder;
    Address m_store;
    Address m_front;
    Address m_ready;
    Address m_control;
    Address m_peer;
    int m_pid = -1;
};

struct Answer
{
    int status = 0; ///< Zero if no head arrived.
    Headers headers;
    std::string body;
    bool isComplete = false;
};

/// Sends a request over a new connection and reads the answer.
Answer send(const Address &daemon, const std::string &request, milliseconds limit);
/// GET of a daemon's readiness; zero if there is no answer.
int getStatus(const Address &address, const std::string &target);

std::string makeFolder();
void removeFolder(const std::string &folder);
std::string randomId();
bool isTroubled(); ///< Whether the disruption is to be played; TROUBLE=0 leaves it out.

/// The entry of a runner in the store.
nlohmann::json runnerEntry(const std::string &service, const Address &address,
                           const std::string &zone, int slots, std::int64_t born);
std::int64_t unixMilliseconds();

} // namespace lab
