#pragma once

#include "http/clientconnection.h"
#include "net/eventloop.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace jackdawlead::http {

/// Closes a connection from the loop, because one of its own callbacks may be running. Thread
/// safety: the loop's thread only.
void closeLater(net::EventLoop &loop, std::unique_ptr<ClientConnection> connection);

/// Idle connections to one peer that can be reused. A connection that ends meanwhile is dropped.
/// Thread safety: the loop's thread only.
class IdleConnections
{
public:
    /// Maximum idle time with which a connection may still be reused.
    using MaxIdleTime = std::function<core::Duration(const ClientConnection &)>;

    IdleConnections(net::EventLoop &loop, std::size_t maxSize);
    ~IdleConnections();
    IdleConnections(const IdleConnections &) = delete;
    IdleConnections &operator=(const IdleConnections &) = delete;

    /// Keeps the connection, or closes it if it is not reusable or the maximum size is reached. One
    /// of its own callbacks may be running.
    void keep(std::unique_ptr<ClientConnection> connection, core::TimePoint now);
    /// Returns the connection that was kept last, because its peer is the least likely to be
    /// closing it, of those that are not in `excluded`; nullptr if there is none within its limit.
    std::unique_ptr<ClientConnection> take(core::TimePoint now, const MaxIdleTime &limit,
                                           const std::set<ConnectionNumber> &excluded = {});
    /// The connections after whose last response a success without a body would be ambiguous.
    std::set<ConnectionNumber> endedWithEmptySuccess() const;
    /// Sets the maximum number of idle connections; excess ones close after their next exchange.
    void setMaxSize(std::size_t maxSize) { m_maxSize = maxSize; }
    std::size_t size() const { return m_idle.size(); }
    bool isEmpty() const { return m_idle.empty(); }
    /// Closes the connections that were idle for longer than their limit.
    void closeExpired(core::TimePoint now, const MaxIdleTime &limit);
    /// Closes all connections; callbacks of one of them may be running.
    void closeAll();

private:
    struct Idle
    {
        std::unique_ptr<ClientConnection> connection;
        core::TimePoint since;
    };

    net::EventLoop &m_loop;
    std::size_t m_maxSize;
    std::vector<Idle> m_idle; ///< In the order in which they were kept.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::http
