#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

struct evhttp_connection;
struct evhttp_request;

namespace jackdawlead::net {

/// What the exchanges of one server share with it. Thread safety: the loop's thread only.
struct HttpServerState
{
    std::size_t openReplies = 0;
    bool isStopping = false;
    std::chrono::seconds idleTimeout {60};
};

/// Follows one reply until its last byte was handed to the system or its connection was closed.
/// Thread safety: the loop's thread only.
class ReplyProgress : public std::enable_shared_from_this<ReplyProgress>
{
public:
    /// Counts the reply in `server` until it ends; expired once the server is destroyed.
    static std::shared_ptr<ReplyProgress> start(evhttp_request *request,
                                                std::weak_ptr<HttpServerState> server);

    ReplyProgress(evhttp_connection *connection, std::weak_ptr<HttpServerState> server);

    /// Null once the connection was closed.
    evhttp_connection *connection() const { return m_connection; }
    /// Closes the connection, unless it is closed already. Precondition: called from the loop,
    /// outside of libevent's own callbacks of the connection.
    void closeConnection();
    /// Calls `handler` when the connection closes before the reply has ended.
    void onClosed(std::function<void()> handler) { m_onClosed = std::move(handler); }

private:
    void watchForClose();
    void restoreIdleTimeout();
    static void replyWritten(evhttp_request *request, void *argument);
    static void connectionClosed(evhttp_connection *connection, void *argument);
    void end();

    evhttp_connection *m_connection;
    std::weak_ptr<HttpServerState> m_server;
    std::function<void()> m_onClosed;
    std::shared_ptr<ReplyProgress> m_keepAlive;
};

} // namespace jackdawlead::net
