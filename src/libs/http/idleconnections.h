#pragma once

#include "http/clientconnection.h"
#include "net/eventloop.h"

#include <functional>
#include <memory>
#include <vector>

namespace jackdawlead::http {

/// Closes a connection that may be on the stack of its own callback. Thread safety: the loop's
/// thread only.
void closeLater(net::EventLoop &loop, std::unique_ptr<ClientConnection> connection);

/// Connections to one peer that wait for their next exchange. One that ends meanwhile is dropped.
/// Thread safety: the loop's thread only.
class IdleConnections
{
public:
    /// How long a connection may wait and still be used.
    using MaxIdleTime = std::function<core::Duration(const ClientConnection &)>;

    IdleConnections(net::EventLoop &loop, std::size_t most);
    ~IdleConnections();
    IdleConnections(const IdleConnections &) = delete;
    IdleConnections &operator=(const IdleConnections &) = delete;

    /// Keeps the connection, or closes it if it cannot be used again or there are enough. It may be
    /// on the stack of its own callback.
    void keep(std::unique_ptr<ClientConnection> connection, core::TimePoint now);
    /// The connection that was kept last, which its peer is the least likely to close just now;
    /// nullptr if there is none within its limit.
    std::unique_ptr<ClientConnection> take(core::TimePoint now, const MaxIdleTime &limit);
    /// Changes how many are kept; those over it go with their next exchange.
    void setMaxSize(std::size_t most) { m_most = most; }
    std::size_t size() const { return m_idle.size(); }
    bool isEmpty() const { return m_idle.empty(); }
    /// Closes those that waited for longer than their limit.
    void closeExpired(core::TimePoint now, const MaxIdleTime &limit);
    /// Closes all; one may be on the stack of its own callback.
    void closeAll();

private:
    struct Idle
    {
        std::unique_ptr<ClientConnection> connection;
        core::TimePoint since;
    };

    net::EventLoop &m_loop;
    std::size_t m_most;
    std::vector<Idle> m_idle; ///< In the order in which they were kept.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::http
