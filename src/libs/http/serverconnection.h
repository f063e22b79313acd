#pragma once

#include "http/server.h"

namespace jackdawlead::http {

/// One caller's connection: reads a request, waits for its answer, reads the next one.
/// Thread safety: the loop's thread only.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(Server &server, int socket);

    void start();
    /// Ends the connection if a time limit of its present step has passed.
    void checkTimeouts(core::TimePoint now);
    bool isIdle() const { return !m_exchange && !m_parser.hasBegun() && !m_isClosing; }
    /// Closes after the output is written; bytes that still arrive are dropped.
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
    std::string headOf(int status, const net::Headers &headers);
    void answered();
    void next();

    Server &m_server;
    Connection m_connection;
    MessageParser m_parser;
    std::shared_ptr<ServerExchange> m_exchange;
    core::TimePoint m_stepBegan;
    bool m_keepAlive = true;
    bool m_isClosing = false;
};

} // namespace jackdawlead::http
