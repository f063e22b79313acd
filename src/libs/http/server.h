#pragma once

#include "http/connection.h"
#include "http/messageparser.h"
#include "net/timerservice.h"

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

struct evconnlistener;

namespace jackdawlead::http {

class ServerConnection;

/// A request and the way to answer it. Thread safety: the loop's thread only.
class ServerExchange
{
public:
    MessageHead head;
    std::string body;
    core::TimePoint receivedAt; ///< When the first byte of the request was read.

    /// Sends a whole answer. Precondition: no answer was started.
    void respond(int status, net::Headers headers, std::string_view body);
    /// Starts an answer whose body is sent in chunks. Precondition: no answer was started.
    void startChunked(int status, const net::Headers &headers);
    void writeChunk(std::string_view bytes);
    void finishChunked();
    /// Ends the connection so that the answer does not look complete.
    void abort();

    /// Whether the caller can still be answered.
    bool isOpen() const { return !m_connection.expired(); }
    /// Bytes of the answer that the caller has not taken yet.
    std::size_t pendingOutput() const;
    /// Called once if the caller leaves before the answer is complete.
    void setDisconnectHandler(std::function<void()> handler) { m_onGone = std::move(handler); }
    void setDrainedHandler(std::function<void()> handler) { m_onDrained = std::move(handler); }

private:
    friend class ServerConnection;
    void complete();

    std::weak_ptr<ServerConnection> m_connection;
    bool m_isDone = false;
    std::function<void()> m_onGone;
    std::function<void()> m_onDrained;
};

struct ServerLimits
{
    MessageParser::Limits message;
    core::Duration headerTimeout = std::chrono::seconds(5); ///< Until the configuration is known.
    core::Duration bodyTimeout = std::chrono::seconds(10);  ///< For a body without progress.
    core::Duration idleTimeout = std::chrono::seconds(30);  ///< Until the configuration is known.
};

/// Accepts connections and reads requests one after the other from each. Thread safety: the loop's
/// thread only.
class Server
{
public:
    using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

    Server(net::EventLoop &loop, net::TimerService &timers, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Errors: the address cannot be listened on.
    absl::Status listen(const net::Address &address);
    void setLimits(const ServerLimits &limits) { m_limits = limits; }
    /// From now on each answer asks its caller to close the connection.
    void disableKeepAlive() { m_isClosing = true; }
    /// Closes the connections on which no request is being read or answered.
    void closeIdle();
    std::size_t openConnectionCount() const { return m_connections.size(); }

private:
    friend class ServerConnection;
    friend class ServerExchange;
    void accept(int socket);

    net::EventLoop &m_loop;
    net::TimerService &m_timers;
    Handler m_handler;
    ServerLimits m_limits;
    evconnlistener *m_listener = nullptr;
    std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
    bool m_isClosing = false;
    net::TimerService::Subscription m_sweep;
};

} // namespace jackdawlead::http
