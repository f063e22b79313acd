#pragma once

#include "http/server.h"

namespace jackdawlead::http {

/// The connection of one client: reads a request, waits for its response, reads the next one.
/// Thread safety: the loop's thread only.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(Server &server, int socket);

    void start();
    /// Ends the connection if the timeout of its current phase has expired.
    void checkTimeouts(core::TimePoint now);
    /// Whether the client is not expected to have sent a request that is not read yet.
    bool isIdle(core::TimePoint now);
    /// Closes the connection after the output is written; bytes that still arrive are dropped.
    void closeGracefully();
    /// Closes at once.
    void drop();

private:
    friend class ServerExchange;
    void handleData();
    void handleClosed();
    void handleDrained();
    void readRequest();
    void rejectMalformed();
    void write(std::string_view bytes) { m_connection.write(bytes); }
    std::string formatHead(int status, const net::Headers &headers);
    void handleResponseComplete();
    void startNextRequest();

    Server &m_server;
    Connection m_connection;
    MessageParser m_parser;
    std::shared_ptr<ServerExchange> m_exchange;
    core::TimePoint m_phaseStartedAt;
    bool m_hasServed = false; ///< A request was answered on it.
    bool m_keepAlive = true;
    bool m_isClosing = false;
};

} // namespace jackdawlead::http
