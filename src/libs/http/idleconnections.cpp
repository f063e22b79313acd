#include "http/idleconnections.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawlead::http {

void closeLater(net::EventLoop &loop, std::unique_ptr<ClientConnection> connection)
{
    loop.post([held = std::make_shared<std::unique_ptr<ClientConnection>>(std::move(connection))] {
        held->reset();
    });
}

IdleConnections::IdleConnections(net::EventLoop &loop, std::size_t maxSize)
    : m_loop(loop)
    , m_maxSize(maxSize)
{ }

IdleConnections::~IdleConnections()
{
    *m_isAlive = false;
}

void IdleConnections::keep(std::unique_ptr<ClientConnection> connection, core::TimePoint now)
{
    if (!connection->isReusable() || m_idle.size() >= m_maxSize) {
        closeLater(m_loop, std::move(connection));
        return;
    }
    connection->setIdleEndHandler([this, alive = m_isAlive] {
        m_loop.post([this, alive] {
            if (*alive)
                std::erase_if(m_idle,
                              [](const Idle &idle) { return !idle.connection->isReusable(); });
        });
    });
    m_idle.push_back({std::move(connection), now});
}

std::unique_ptr<ClientConnection> IdleConnections::take(core::TimePoint now,
                                                        const MaxIdleTime &limit,
                                                        const std::set<ConnectionNumber> &excluded)
{
    std::erase_if(m_idle, [](const Idle &idle) { return !idle.connection->isReusable(); });
    const auto last = std::find_if(m_idle.rbegin(), m_idle.rend(), [&excluded](const Idle &idle) {
        return !excluded.contains(idle.connection->number());
    });
    // The other connections have been idle for longer.
    if (last == m_idle.rend() || now - last->since > limit(*last->connection))
        return nullptr;
    std::unique_ptr<ClientConnection> connection = std::move(last->connection);
    m_idle.erase(std::prev(last.base()));
    connection->setIdleEndHandler(nullptr);
    return connection;
}

std::set<ConnectionNumber> IdleConnections::endedWithEmptySuccess() const
{
    std::set<ConnectionNumber> numbers;
    for (const Idle &idle : m_idle) {
        if (idle.connection->endedWithEmptySuccess())
            numbers.insert(idle.connection->number());
    }
    return numbers;
}

void IdleConnections::closeExpired(core::TimePoint now, const MaxIdleTime &limit)
{
    std::erase_if(m_idle, [now, &limit](const Idle &idle) {
        return !idle.connection->isReusable() || now - idle.since > limit(*idle.connection);
    });
}

void IdleConnections::closeAll()
{
    for (Idle &idle : m_idle)
        closeLater(m_loop, std::move(idle.connection));
    m_idle.clear();
}

} // namespace jackdawlead::http
