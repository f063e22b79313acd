#include "http/server.h"

#include "core/error.h"
#include "core/text.h"
#include "http/serverconnection.h"
#include "net/guard.h"

#include <absl/strings/str_cat.h>

#include <event2/listener.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <utility>
#include <vector>

namespace jackdawlead::http {

namespace {

// Interval of the timeout checks; the timeouts are seconds, so that a delay of 250 ms is harmless.
constexpr core::Duration sweepPeriod = std::chrono::milliseconds(250);
constexpr int backlog = 1024; ///< Connections waiting for accept; a burst of connections must fit.

} // namespace

Server::Server(net::EventLoop &loop, net::TimerService &timers, Handler handler,
               decisions::BufferBudget *buffers)
    : m_loop(loop)
    , m_timers(timers)
    , m_handler(std::move(handler))
    , m_buffers(buffers)
{
    m_sweep = timers.every(sweepPeriod, [this] {
        const std::vector<std::shared_ptr<ServerConnection>> connections(m_connections.begin(),
                                                                         m_connections.end());
        const core::TimePoint now = m_timers.now();
        for (const auto &connection : connections)
            connection->checkTimeouts(now);
    });
}

Server::~Server()
{
    if (m_listener != nullptr)
        evconnlistener_free(m_listener);
}

absl::Status Server::listen(const net::Address &address)
{
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &local.sin_addr) != 1)
        return core::makeError(absl::StatusCode::kInvalidArgument, "listen", address.toString(),
                               "not an IPv4 address");
    m_listener = evconnlistener_new_bind(
        m_loop.base(),
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *context) {
            net::runGuarded("accept", [&] { static_cast<Server *>(context)->accept(socket); });
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, backlog,
        reinterpret_cast<sockaddr *>(&local), sizeof local);
    if (m_listener == nullptr)
        return core::makeError(absl::StatusCode::kUnavailable, "listen", address.toString(),
                               evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    return absl::OkStatus();
}

void Server::accept(int socket)
{
    const auto connection = std::make_shared<ServerConnection>(*this, socket);
    m_connections.insert(connection);
    connection->start();
}

void Server::closeIdle()
{
    const std::vector<std::shared_ptr<ServerConnection>> connections(m_connections.begin(),
                                                                     m_connections.end());
    for (const auto &connection : connections) {
        if (connection->isIdle(m_timers.now()))
            connection->closeGracefully();
    }
}

void ServerExchange::respond(int status, net::Headers headers, std::string_view bytes)
{
    const auto connection = m_connection.lock();
    if (!connection || m_isDone)
        return;
    headers.set("Content-Length", std::to_string(bytes.size()));
    connection->write(connection->formatHead(status, headers));
    if (head.method != "HEAD")
        connection->write(bytes);
    complete();
}

void ServerExchange::startChunked(int status, const net::Headers &headers)
{
    const auto connection = m_connection.lock();
    if (!connection || m_isDone)
        return;
    net::Headers chunked = headers;
    chunked.remove("Content-Length");
    chunked.set("Transfer-Encoding", "chunked");
    connection->write(connection->formatHead(status, chunked));
}

void ServerExchange::writeChunk(std::string_view bytes)
{
    const auto connection = m_connection.lock();
    if (!connection || m_isDone || bytes.empty())
        return;
    connection->write(absl::StrCat(absl::Hex(bytes.size()), "\r\n", core::toAbsl(bytes), "\r\n"));
}

void ServerExchange::finishChunked()
{
    const auto connection = m_connection.lock();
    if (!connection || m_isDone)
        return;
    connection->write("0\r\n\r\n");
    complete();
}

void ServerExchange::complete()
{
    const auto connection = m_connection.lock();
    m_isDone = true;
    m_onDisconnect = nullptr;
    m_onDrained = nullptr;
    connection->handleResponseComplete();
}

void ServerExchange::abort()
{
    const auto connection = m_connection.lock();
    if (!connection || m_isDone)
        return;
    // Bytes sent before stay readable; without the last chunk the response is visibly incomplete.
    connection->m_keepAlive = false;
    complete();
}

std::size_t ServerExchange::pendingOutput() const
{
    const auto connection = m_connection.lock();
    return connection ? connection->m_connection.pendingOutput() : 0;
}

} // namespace jackdawlead::http
