#include "http/serverconnection.h"

#include "core/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jackdawlead::http {

namespace {

// Limits the input that is buffered for a client that sends further requests before its response.
constexpr std::size_t maxUnreadBytes = 256 * 1024;
// How long bytes of a closing connection are read and dropped. Closing with unread bytes would
// reset the connection, which could discard the response before the client reads it.
constexpr core::Duration lingerTime = std::chrono::seconds(2);

// After this time without progress a client counts as one that doesn't read its response.
constexpr core::Duration maxUnreadTime = std::chrono::seconds(30);
// The body of a request and the copy that is sent to an endpoint.
constexpr std::size_t bodyCopies = 2;
// The first request of a connection arrives within a round trip and the retransmission of a packet.
constexpr core::Duration maxFirstRequestDelay = std::chrono::seconds(1);

constexpr int requestTimeoutStatus = 408;
constexpr int bufferFullStatus = 503;

std::string_view reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

} // namespace

ServerConnection::ServerConnection(Server &server, int socket)
    : m_server(server)
    , m_connection(server.m_loop, socket)
    , m_parser(MessageParser::Kind::Request)
    , m_outputProgressAt(server.m_timers.now())
    , m_phaseStartedAt(server.m_timers.now())
{
    m_parser.setLimits(server.m_limits.message);
    if (server.m_buffers != nullptr)
        m_share = std::make_unique<decisions::BufferBudget::Share>(*server.m_buffers);
}

void ServerConnection::write(std::string_view bytes)
{
    m_connection.write(bytes);
    recordBufferedBytes();
}

// The whole body counts as soon as its length is known. Otherwise many large requests at once would
// all be read in part, and none to its end.
std::size_t ServerConnection::bufferedBytes()
{
    const bool isReading = m_parser.isHeadComplete() && !m_exchange && !m_isClosing;
    const std::size_t expected = isReading ? bodyCopies * m_parser.head().contentLength : 0;
    return std::max(m_parser.bufferedBytes(), expected) + m_connection.pendingInput()
        + m_connection.pendingOutput();
}

void ServerConnection::recordBufferedBytes()
{
    if (m_share)
        m_share->resize(bufferedBytes());
}

bool ServerConnection::shareRequestBody()
{
    if (!m_share)
        return true;
    m_share->resize(0);
    auto share = std::make_unique<decisions::BufferBudget::Share>(*m_server.m_buffers);
    if (!share->tryResize(bodyCopies * m_exchange->body.size()))
        return false;
    m_exchange->m_share = std::move(share);
    recordBufferedBytes();
    return true;
}

void ServerConnection::start()
{
    m_connection.setHandlers({
        .onConnected = {},
        .onData = [this] { handleData(); },
        .onDrained = [this] { handleDrained(); },
        .onClosed = [this](CloseReason) { handleClosed(); },
    });
}

void ServerConnection::handleData()
{
    if (m_isClosing) {
        m_connection.consume(m_connection.received().size());
        return;
    }
    if (m_exchange) {
        const bool isAllowed = !m_share || m_share->tryResize(bufferedBytes());
        if (!isAllowed || m_connection.received().size() > maxUnreadBytes)
            m_connection.setReadEnabled(false);
        recordBufferedBytes();
        return;
    }
    readRequest();
}

void ServerConnection::readRequest()
{
    const auto self = shared_from_this();
    const std::string_view bytes = m_connection.received();
    if (bytes.empty())
        return;
    if (!m_parser.hasBegun())
        m_phaseStartedAt = m_server.m_timers.now();
    const bool hadHead = m_parser.isHeadComplete();
    m_connection.consume(m_parser.feed(bytes));
    if (m_parser.failure() != MessageParser::Failure::None) {
        rejectMalformed();
        return;
    }
    if (!hadHead && m_parser.isHeadComplete() && !m_parser.isComplete()
        && m_parser.head().headers.contains("Expect"))
        write("HTTP/1.1 100 Continue\r\n\r\n");
    if (m_share && !m_share->tryResize(bufferedBytes())) {
        reject(bufferFullStatus);
        return;
    }
    if (!m_parser.isComplete())
        return;
    m_exchange = std::make_shared<ServerExchange>();
    m_exchange->m_connection = weak_from_this();
    m_exchange->head = std::move(m_parser.head());
    m_exchange->body = m_parser.takeBody();
    m_exchange->receivedAt = m_phaseStartedAt;
    m_keepAlive = m_exchange->head.keepAlive;
    if (!shareRequestBody()) {
        m_exchange.reset();
        reject(bufferFullStatus);
        return;
    }
    m_server.m_handler(m_exchange);
}

void ServerConnection::rejectMalformed()
{
    int status = 400;
    if (m_parser.failure() == MessageParser::Failure::HeaderTooLarge)
        status = 431;
    else if (m_parser.failure() == MessageParser::Failure::BodyTooLarge)
        status = 413;
    reject(status);
}

void ServerConnection::reject(int status)
{
    m_keepAlive = false;
    net::Headers headers {{"Content-Length", "0"}};
    if (status == bufferFullStatus)
        headers.add("Retry-After", "1");
    m_parser.reset();
    write(formatHead(status, headers));
    closeGracefully();
}

std::string ServerConnection::formatHead(int status, const net::Headers &headers)
{
    if (m_server.m_isKeepAliveDisabled)
        m_keepAlive = false;
    std::string text
        = absl::StrCat("HTTP/1.1 ", status, " ", core::toAbsl(reasonPhrase(status)), "\r\n");
    for (const auto &[name, value] : headers.fields())
        absl::StrAppend(&text, name, ": ", value, "\r\n");
    if (!m_keepAlive)
        absl::StrAppend(&text, "Connection: close\r\n");
    absl::StrAppend(&text, "\r\n");
    return text;
}

bool ServerConnection::isIdle(core::TimePoint now)
{
    if (m_exchange || m_isClosing || m_parser.hasBegun() || m_connection.hasUnreadInput())
        return false;
    return m_hasServed || now - m_phaseStartedAt > maxFirstRequestDelay;
}

void ServerConnection::handleResponseComplete()
{
    m_hasServed = true;
    m_exchange.reset();
    if (!m_keepAlive) {
        closeGracefully();
        return;
    }
    startNextRequest();
}

// The next request is read from the loop, so that pipelined requests do not deepen the stack.
void ServerConnection::startNextRequest()
{
    m_parser.reset();
    m_parser.setLimits(m_server.m_limits.message);
    m_phaseStartedAt = m_server.m_timers.now();
    m_connection.setReadEnabled(true);
    recordBufferedBytes();
    if (m_connection.received().empty())
        return;
    m_server.m_loop.post([weak = weak_from_this()] {
        const auto connection = weak.lock();
        if (connection && !connection->m_exchange && !connection->m_isClosing)
            connection->m_connection.runHandler([&connection] { connection->readRequest(); });
    });
}

void ServerConnection::handleDrained()
{
    recordBufferedBytes();
    if (m_exchange && m_exchange->m_onDrained) {
        const auto handler = m_exchange->m_onDrained;
        handler();
    }
}

void ServerConnection::handleClosed()
{
    const auto self = shared_from_this();
    drop();
}

void ServerConnection::drop()
{
    const auto self = shared_from_this();
    if (m_server.m_connections.erase(self) == 0)
        return;
    m_connection.setHandlers({});
    m_isClosing = true;
    // The socket closes with the last reference, from the loop and outside this call.
    m_server.m_loop.post([self] {});
    const auto exchange = std::exchange(m_exchange, nullptr);
    if (!exchange)
        return;
    exchange->m_connection.reset();
    if (!exchange->m_isDone && exchange->m_onDisconnect) {
        const auto handler = std::exchange(exchange->m_onDisconnect, nullptr);
        handler();
    }
}

void ServerConnection::closeGracefully()
{
    if (m_isClosing)
        return;
    m_isClosing = true;
    m_phaseStartedAt = m_server.m_timers.now();
    m_connection.consume(m_connection.received().size());
    m_connection.setReadEnabled(true);
    m_connection.shutdownAfterFlush();
}

void ServerConnection::checkTimeouts(core::TimePoint now)
{
    const auto elapsed = now - m_phaseStartedAt;
    const std::size_t unsent = m_connection.pendingOutput();
    if (unsent == 0 || unsent != m_unsentBytes)
        m_outputProgressAt = now;
    m_unsentBytes = unsent;
    recordBufferedBytes();
    if (now - m_outputProgressAt > maxUnreadTime) {
        drop();
        return;
    }
    if (m_isClosing) {
        if (elapsed > lingerTime && m_connection.pendingOutput() == 0)
            drop();
        return;
    }
    if (m_exchange)
        return;
    const ServerLimits &limits = m_server.m_limits;
    if (!m_parser.hasBegun()) {
        if (elapsed > limits.idleTimeout)
            closeGracefully();
        return;
    }
    const auto limit = m_parser.isHeadComplete() ? limits.headerTimeout + limits.bodyTimeout
                                                 : limits.headerTimeout;
    if (elapsed <= limit)
        return;
    reject(requestTimeoutStatus);
}

} // namespace jackdawlead::http
