#pragma once

#include "decisions/bufferbudget.h"
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

/// A request and the interface for its response. Thread safety: the loop's thread only.
class ServerExchange
{
public:
    MessageHead head;
    std::string body;
    core::TimePoint receivedAt; ///< When the first byte of the request was read.

    /// Sends a complete response. Precondition: no response was started.
    void respond(int status, net::Headers headers, std::string_view body);
    /// Starts a response with a chunked body. Precondition: no response was started.
    void startChunked(int status, const net::Headers &headers);
    void writeChunk(std::string_view bytes);
    void finishChunked();
    /// Closes the connection without the last chunk, so that the client sees an incomplete
    /// response.
    void abort();

    /// Whether the client is still connected.
    bool isOpen() const { return !m_connection.expired(); }
    /// Bytes of the response that are not passed to the kernel yet.
    std::size_t pendingOutput() const;
    /// Called once if the client disconnects before the response is complete.
    void setDisconnectHandler(std::function<void()> handler)
    {
        m_onDisconnect = std::move(handler);
    }
    void setDrainedHandler(std::function<void()> handler) { m_onDrained = std::move(handler); }

private:
    friend class ServerConnection;
    void complete();

    std::weak_ptr<ServerConnection> m_connection;
    std::unique_ptr<decisions::BufferBudget::Share> m_share; ///< Of the body.
    bool m_isDone = false;
    std::function<void()> m_onDisconnect;
    std::function<void()> m_onDrained;
};

struct ServerLimits
{
    MessageParser::Limits message;
    core::Duration headerTimeout = std::chrono::seconds(5); ///< Until the configuration is known.
    core::Duration bodyTimeout
        = std::chrono::seconds(10); ///< Added to headerTimeout for a request with a body.
    core::Duration idleTimeout = std::chrono::seconds(30); ///< Until the configuration is known.
};

/// Accepts connections and reads the requests of each connection one after the other. Thread
/// safety: the loop's thread only.
class Server
{
public:
    using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

    /// Requests that exceed `buffers` are rejected with status 503. Precondition: `buffers`, if
    /// given, outlives the server and its exchanges.
    Server(net::EventLoop &loop, net::TimerService &timers, Handler handler,
           decisions::BufferBudget *buffers = nullptr);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Errors: kInvalidArgument if the address is not IPv4, kUnavailable if listening fails.
    absl::Status listen(const net::Address &address);
    void setLimits(const ServerLimits &limits) { m_limits = limits; }
    /// Adds Connection: close to all later responses.
    void disableKeepAlive() { m_isKeepAliveDisabled = true; }
    /// Closes the connections on which no request is being received or handled, but not new ones
    /// whose first request may be on its way.
    void closeIdle();
    std::size_t openConnectionCount() const { return m_connections.size(); }

private:
    friend class ServerConnection;
    friend class ServerExchange;
    void accept(int socket);

    net::EventLoop &m_loop;
    net::TimerService &m_timers;
    Handler m_handler;
    decisions::BufferBudget *m_buffers;
    ServerLimits m_limits;
    evconnlistener *m_listener = nullptr;
    std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
    bool m_isKeepAliveDisabled = false;
    net::TimerService::Subscription m_sweep;
};

} // namespace jackdawlead::http
