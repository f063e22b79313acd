#include "gateway/endpointpool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// Two round trips between regions of 60 ms, and the time a loaded endpoint takes to accept.
constexpr core::Duration connectTimeout = std::chrono::milliseconds(1000);
constexpr std::size_t maxIdlePerEndpoint = 48;
// Endpoints that state no idle time keep connections for less than a second.
constexpr core::Duration unstatedIdle = std::chrono::milliseconds(700);
constexpr core::Duration unstatedCautiousIdle = std::chrono::milliseconds(300);
// Left of the stated idle time, for a request that is on its way as the endpoint closes.
constexpr core::Duration idleMargin = std::chrono::milliseconds(600);
// The prompt speed of both deployments' engines; it only weighs prompts against slots.
constexpr double readTokensPerSecond = 38'400;
constexpr core::Duration recentMemory = std::chrono::seconds(1);
constexpr core::Duration sweepPeriod = std::chrono::milliseconds(500);

core::Duration usableIdle(const http::ClientConnection &connection, bool isCautious)
{
    const core::Duration stated = connection.idleTimeout();
    if (stated == core::Duration::zero())
        return isCautious ? unstatedCautiousIdle : unstatedIdle;
    return isCautious ? (stated - idleMargin) / 2 : stated - idleMargin;
}

} // namespace

EndpointPool::EndpointPool(net::EventLoop &loop, net::TimerService &timers)
    : m_loop(loop)
    , m_timers(timers)
{
    m_sweep = timers.every(sweepPeriod, [this] {
        const core::TimePoint now = m_timers.now();
        for (auto &[id, entry] : m_endpoints) {
            std::erase_if(entry.idle, [now](const Idle &idle) {
                return !idle.connection->isReusable()
                    || now - idle.since > usableIdle(*idle.connection, false);
            });
        }
    });
}

EndpointPool::~EndpointPool()
{
    *m_isAlive = false;
}

std::unique_ptr<http::ClientConnection> EndpointPool::take(const fleet::Endpoint &endpoint,
                                                           bool isCautious)
{
    Entry &entry = m_endpoints[endpoint.id];
    const core::TimePoint now = m_timers.now();
    // The one used last is the least likely to be closed by the endpoint just now.
    while (!entry.idle.empty()) {
        Idle idle = std::move(entry.idle.back());
        entry.idle.pop_back();
        const bool isFresh = now - idle.since <= usableIdle(*idle.connection, isCautious);
        idle.connection->setIdleEndHandler(nullptr);
        if (idle.connection->isReusable() && isFresh)
            return std::move(idle.connection);
        if (!isFresh && idle.connection->isReusable()) {
            entry.idle.push_back(std::move(idle));
            break;
        }
    }
    return std::make_unique<http::ClientConnection>(m_loop, endpoint.address, connectTimeout);
}

void EndpointPool::giveBack(const core::EndpointId &id,
                            std::unique_ptr<http::ClientConnection> connection)
{
    const auto found = m_endpoints.find(id);
    if (!connection->isReusable() || found == m_endpoints.end()
        || found->second.idle.size() >= maxIdlePerEndpoint) {
        closeLater(std::move(connection));
        return;
    }
    http::ClientConnection *raw = connection.get();
    connection->setIdleEndHandler([this, alive = m_isAlive, id, raw] {
        m_loop.post([this, alive, id, raw] {
            const auto entry = *alive ? m_endpoints.find(id) : m_endpoints.end();
            if (*alive && entry != m_endpoints.end())
                std::erase_if(entry->second.idle,
                              [raw](const Idle &idle) { return idle.connection.get() == raw; });
        });
    });
    found->second.idle.push_back({std::move(connection), m_timers.now()});
}

// The connection may be on the stack of its own callback.
void EndpointPool::closeLater(std::unique_ptr<http::ClientConnection> connection)
{
    m_loop.post([held = std::make_shared<std::unique_ptr<http::ClientConnection>>(
                     std::move(connection))] { held->reset(); });
}

void EndpointPool::forget(const core::EndpointId &id)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    for (Idle &idle : found->second.idle)
        closeLater(std::move(idle.connection));
    found->second.idle.clear();
    if (found->second.inProgress == 0)
        m_endpoints.erase(found);
}

void EndpointPool::ended(const core::EndpointId &id)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end())
        --found->second.inProgress;
}

double EndpointPool::recentTokens(const Entry &entry) const
{
    const std::chrono::duration<double> age = m_timers.now() - entry.recentAt;
    return entry.recentTokens * std::exp(-age / recentMemory);
}

void EndpointPool::readingBegan(const core::EndpointId &id, int tokens)
{
    Entry &entry = m_endpoints[id];
    entry.reading += tokens;
    entry.recentTokens = recentTokens(entry) + tokens;
    entry.recentAt = m_timers.now();
}

double EndpointPool::load(const core::EndpointId &id, int slots) const
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return 0;
    const double tokensPerSecond = recentTokens(found->second) / core::toSeconds(recentMemory);
    return found->second.inProgress + slots * tokensPerSecond / readTokensPerSecond;
}

void EndpointPool::readingEnded(const core::EndpointId &id, int tokens)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end())
        found->second.reading -= tokens;
}

int EndpointPool::reading(const core::EndpointId &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? 0 : found->second.reading;
}

double EndpointPool::others(const core::EndpointId &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? 0 : found->second.others;
}

std::vector<core::EndpointId> EndpointPool::unreachable() const
{
    std::vector<core::EndpointId> ids;
    const core::TimePoint now = m_timers.now();
    for (const auto &[id, entry] : m_endpoints) {
        if (entry.health.isUnreachable(now))
            ids.push_back(id);
    }
    return ids;
}

} // namespace jackdawlead::gateway
