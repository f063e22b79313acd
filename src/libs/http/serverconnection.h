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
    void reject(int status);
    void write(std::string_view bytes);
    /// Bytes that the connection holds: of a request that is being read, input and output.
    std::size_t bufferedBytes();
    void recordBufferedBytes();
    /// Moves the bytes of the request that was read to the share of its exchange; returns false
    /// if the budget doesn't allow them.
    bool shareRequestBody();
    std::string formatHead(int status, const net::Headers &headers);
    void handleResponseComplete();
    void startNextRequest();

    Server &m_server;
    Connection m_connection;
    MessageParser m_parser;
    std::shared_ptr<ServerExchange> m_exchange;
    std::unique_ptr<decisions::BufferBudget::Share> m_share;
    std::size_t m_unsentBytes = 0;      ///< At the last check of the timeouts.
    core::TimePoint m_outputProgressAt; ///< When the client last read, as far as known.
    core::TimePoint m_phaseStartedAt;
    bool m_hasServed = false; ///< A request was answered on it.
    bool m_keepAlive = true;
    bool m_isClosing = false;
};

} // namespace jackdawlead::http
