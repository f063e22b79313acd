#include "http/connection.h"

#include "net/guard.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace jackdawlead::http {

namespace {

// A silent peer counts as lost after 1 s + 2 probes of 1 s. This is below drain_ms (3 s in all site
// files), so that a watch on a dead connection is renewed before its updates are overdue.
constexpr int probeIdleSeconds = 1;
constexpr int probeIntervalSeconds = 1;
constexpr int probeCount = 2;
constexpr unsigned unacknowledgedMilliseconds = 3000;
// The kernel counts a peer that reads nothing as unacknowledged as well. Clients may pause.
constexpr unsigned pausedClientMilliseconds = 30000;

timeval toTimeval(core::Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return {seconds.count(), (duration - seconds).count()};
}

template <typename Value> void setOption(int socket, int level, int name, Value value)
{
    // The connection works without the option as well; a lost peer is only detected later.
    setsockopt(socket, level, name, &value, sizeof value);
}

} // namespace

Connection::Connection(net::EventLoop &loop, int socket)
    : m_buffer(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
    , m_isConnected(true)
{
    setSocketOptions(socket, pausedClientMilliseconds);
    setCallbacks();
    bufferevent_enable(m_buffer, EV_READ | EV_WRITE);
}

Connection::Connection(net::EventLoop &loop, const net::Address &peer, core::Duration timeout)
    : m_buffer(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
    setCallbacks();
    const timeval limit = toTimeval(timeout);
    bufferevent_set_timeouts(m_buffer, nullptr, &limit);
    bufferevent_enable(m_buffer, EV_READ | EV_WRITE);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(peer.port);
    inet_pton(AF_INET, peer.ip.c_str(), &address.sin_addr);
    // libevent reports a failure to start to handleEvent().
    bufferevent_socket_connect(m_buffer, reinterpret_cast<sockaddr *>(&address), sizeof address);
}

Connection::~Connection()
{
    *m_isAlive = false;
    bufferevent_setcb(m_buffer, nullptr, nullptr, nullptr, nullptr);
    bufferevent_free(m_buffer);
}

void Connection::setSocketOptions(int socket, unsigned userTimeoutMilliseconds)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, probeIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, probeCount);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMilliseconds);
}

void Connection::setCallbacks()
{
    bufferevent_setcb(
        m_buffer,
        [](bufferevent *, void *context) {
            auto *self = static_cast<Connection *>(context);
            self->runHandler(self->m_handlers.onData);
        },
        [](bufferevent *, void *context) { static_cast<Connection *>(context)->handleDrained(); },
        [](bufferevent *, short events, void *context) {
            static_cast<Connection *>(context)->handleEvent(events);
        },
        this);
}

void Connection::runHandler(const std::function<void()> &handler)
{
    if (!handler)
        return;
    // The handler may destroy the connection and with it the function object that is running.
    const auto alive = m_isAlive;
    const auto copy = handler;
    if (!net::runGuarded("connection", copy) && *alive)
        reportClosed(CloseReason::Reset);
}

void Connection::reportClosed(CloseReason reason)
{
    const auto handler = m_handlers.onClosed;
    if (handler)
        net::runGuarded("end of a connection", [&] { handler(reason); });
}

void Connection::handleDrained()
{
    if (m_shutdownWhenDrained && m_isConnected) {
        shutdown(bufferevent_getfd(m_buffer), SHUT_WR);
        m_shutdownWhenDrained = false;
    }
    runHandler(m_handlers.onDrained);
}

void Connection::handleEvent(short events)
{
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        m_isConnected = true;
        bufferevent_set_timeouts(m_buffer, nullptr, nullptr);
        setSocketOptions(bufferevent_getfd(m_buffer), unacknowledgedMilliseconds);
        runHandler(m_handlers.onConnected);
        return;
    }
    CloseReason reason = CloseReason::Reset;
    if (!m_isConnected)
        reason = CloseReason::ConnectFailed;
    else if ((events & BEV_EVENT_EOF) != 0)
        reason = CloseReason::EndOfStream;
    reportClosed(reason);
}

std::string_view Connection::received()
{
    evbuffer *input = bufferevent_get_input(m_buffer);
    const std::size_t size = evbuffer_get_length(input);
    if (size == 0)
        return {};
    return {reinterpret_cast<const char *>(evbuffer_pullup(input, -1)), size};
}

std::size_t Connection::pendingInput() const
{
    return evbuffer_get_length(bufferevent_get_input(m_buffer));
}

void Connection::consume(std::size_t size)
{
    evbuffer_drain(bufferevent_get_input(m_buffer), size);
}

bool Connection::hasUnreadInput() const
{
    int kernelBytes = 0;
    return pendingInput() > 0
        || (ioctl(bufferevent_getfd(m_buffer), FIONREAD, &kernelBytes) == 0 && kernelBytes > 0);
}

void Connection::write(std::string_view bytes)
{
    bufferevent_write(m_buffer, bytes.data(), bytes.size());
}

std::size_t Connection::pendingOutput() const
{
    return evbuffer_get_length(bufferevent_get_output(m_buffer));
}

void Connection::setReadEnabled(bool isReading)
{
    if (isReading)
        bufferevent_enable(m_buffer, EV_READ);
    else
        bufferevent_disable(m_buffer, EV_READ);
}

void Connection::shutdownAfterFlush()
{
    m_shutdownWhenDrained = true;
    if (pendingOutput() == 0)
        handleDrained();
}

} // namespace jackdawlead::http
