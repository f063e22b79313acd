#pragma once

#include "lab.h"

#include <functional>
#include <optional>

namespace lab {

/// An order that a runner has received.
struct Order
{
    std::string holder;
    std::uint64_t token = 0;
    std::string text; ///< What is ordered.
    int status = 0;   ///< Of the answer.
};

/// A runner of a model service that serves streams: one incarnation at a time, which may crash and
/// come back under another id, at the same address.
class Engine
{
public:
    /// What the runner does with a request that names it, in the connection's thread. Returns
    /// whether the connection is used again.
    using Work = std::function<bool(Engine &, Connection &, const Message &)>;

    Engine(Store &store, std::string service, std::string zone, Work work);
    ~Engine();
    /// The process ends: all connections break and new ones are refused. The entry expires after
    /// three heartbeats.
    void crash();
    /// The runner is back after that time, with a new id.
    void restartAfter(milliseconds time);
    std::string id();
    const Address &address() const { return m_address; }
    /// The address that the store states, if something stands in front of the runner.
    void setStatedAddress(const Address &address);
    /// Called for each order in the order of their arrival.
    void setOrderHandler(std::function<void(const Order &)> handler);

    /// Streams `events` events that follow the one that the request names, `pause` apart. Returns
    /// false if the connection ended before.
    bool stream(Connection &connection, const Message &request, int events, milliseconds pause);
    static bool writeHead(Connection &connection, const Message &request, const std::string &id);
    static bool writeEvent(Connection &connection, int number);

private:
    void start();
    void serve(Connection &connection, const std::string &id);
    bool serveOrder(Connection &connection, const Message &request);
    int apply(const nlohmann::json &order);
    enum class Admission { Held, Leaving, Missing };
    /// Whether what a request names is loaded; counts the request as its use if it is.
    Admission admit(const std::string &model);
    void endUse(const std::string &model);
    nlohmann::json report();
    nlohmann::json models() const;
    nlohmann::json entry() const;
    void beat();

    Store &m_store;
    std::string m_service;
    std::string m_zone;
    Work m_work;
    Address m_address;
    std::mutex m_mutex;
    std::string m_id;
    std::int64_t m_born = 0;
    std::optional<Address> m_statedAddress;
    std::map<std::string, Clock::time_point> m_adapters; ///< With the end of the load.
    std::map<std::string, int> m_uses;                   ///< Requests in progress, by adapter.
    std::string m_leaving; ///< The adapter whose unload waits for its runs.
    std::uint64_t m_seq = 0;
    std::mutex m_orderMutex;
    std::function<void(const Order &)> m_onOrder;
    std::unique_ptr<Server> m_server;
    std::vector<std::unique_ptr<Server>> m_ended;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_isStopped = false;
};

struct StreamTargets
{
    int latencyMilliseconds = 0;
    int gapMilliseconds = 0;
};

/// A configuration with the service `models` and one route of resumable streams to it, which may be
/// sent to two runners.
nlohmann::json streamConfiguration(const StreamTargets &targets);
/// A request for `model`, or for the model m0 if it is empty.
std::string streamRequest(const std::string &path, const std::string &id, const std::string &body,
                          int deadlineMilliseconds, const std::string &model = {});

} // namespace lab
