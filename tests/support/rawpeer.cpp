#include "support/rawpeer.h"

#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace jackdawlead::testsupport {

RawPeer::RawPeer(net::EventLoop &loop, const net::Address &address, DataHandler onData)
    : m_loop(loop)
    , m_onData(std::move(onData))
{
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &local.sin_addr);
    constexpr int backlog = 64;
    m_listener = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *context) {
            static_cast<RawPeer *>(context)->accept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
        reinterpret_cast<sockaddr *>(&local), sizeof local);
    if (m_listener == nullptr)
        throw std::runtime_error("cannot listen at " + address.toString());
}

RawPeer::~RawPeer()
{
    evconnlistener_free(m_listener);
}

bool RawPeer::isOpen(const http::Connection &connection) const
{
    return std::ranges::any_of(m_connections,
                               [&](const auto &held) { return held.get() == &connection; });
}

void RawPeer::accept(int socket)
{
    ++m_accepted;
    http::Connection *connection
        = m_connections.emplace_back(std::make_unique<http::Connection>(m_loop, socket)).get();
    connection->setHandlers({
        .onConnected = {},
        .onData =
            [this, connection] {
                const std::string bytes(connection->received());
                connection->consume(bytes.size());
                m_onData(*connection, bytes);
            },
        .onDrained = {},
        .onClosed =
            [this, connection](http::CloseReason) {
                std::erase_if(m_connections,
                              [&](const auto &held) { return held.get() == connection; });
            },
    });
}

EndlessWriter::EndlessWriter(net::TimerService &timers, std::string bytes)
    : m_timers(timers)
    , m_bytes(std::move(bytes))
{ }

void EndlessWriter::start(http::Connection &connection, std::function<bool()> isOpen)
{
    // The other end may reset the connection between two writes.
    std::signal(SIGPIPE, SIG_IGN);
    constexpr core::Duration period = std::chrono::milliseconds(2);
    constexpr std::size_t mostPending = 1024 * 1024;
    m_timer = m_timers.every(period, [this, &connection, isOpen = std::move(isOpen)] {
        while (isOpen() && connection.pendingOutput() < mostPending) {
            connection.write(m_bytes);
            m_written += m_bytes.size();
        }
    });
}

} // namespace jackdawlead::testsupport
