#include "gateway/endpointpool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// Covers two round trips of 60 ms between regions and the time a loaded endpoint takes to accept.
constexpr core::Duration connectTimeout = std::chrono::milliseconds(1000);
constexpr std::size_t maxIdlePerEndpoint = 48;
// Endpoints that announce no idle time close connections in less than a second.
constexpr core::Duration defaultIdleTime = std::chrono::milliseconds(700);
constexpr core::Duration defaultCautiousIdleTime = std::chrono::milliseconds(300);
// Subtracted from the announced idle time, because a request may be in flight when the endpoint
// closes the connection.
constexpr core::Duration idleMargin = std::chrono::milliseconds(600);
constexpr core::Duration recentTokensTimeConstant = std::chrono::seconds(1);
constexpr core::Duration sweepPeriod = std::chrono::milliseconds(500);

core::Duration usableIdleTime(const http::ClientConnection &connection, bool isCautious)
{
    const core::Duration announced = connection.idleTimeout();
    if (announced == core::Duration::zero())
        return isCautious ? defaultCautiousIdleTime : defaultIdleTime;
    return isCautious ? (announced - idleMargin) / 2 : announced - idleMargin;
}

} // namespace

EndpointPool::EndpointPool(net::EventLoop &loop, net::TimerService &timers)
    : m_loop(loop)
    , m_timers(timers)
{
    m_sweepTimer = timers.every(sweepPeriod, [this] {
        const core::TimePoint now = m_timers.now();
        for (auto &[id, entry] : m_endpoints) {
            entry.idle.closeExpired(now, [](const http::ClientConnection &connection) {
                return usableIdleTime(connection, false);
            });
        }
    });
}

EndpointPool::Entry::Entry(net::EventLoop &loop)
    : idle(loop, maxIdlePerEndpoint)
{ }

std::unique_ptr<http::ClientConnection>
EndpointPool::take(const fleet::Endpoint &endpoint, bool isCautious,
                   const std::set<http::ConnectionNumber> &excluded)
{
    auto connection = takeIdle(endpoint, isCautious, excluded);
    return connection ? std::move(connection) : connect(endpoint);
}

std::unique_ptr<http::ClientConnection>
EndpointPool::takeIdle(const fleet::Endpoint &endpoint, bool isCautious,
                       const std::set<http::ConnectionNumber> &excluded)
{
    Entry &entry = entryFor(endpoint.id);
    if (const auto limit = m_idleLimits.find(endpoint.service); limit != m_idleLimits.end())
        entry.idle.setMaxSize(limit->second);
    return entry.idle.take(
        m_timers.now(),
        [isCautious](const http::ClientConnection &idle) {
            return usableIdleTime(idle, isCautious);
        },
        excluded);
}

std::unique_ptr<http::ClientConnection> EndpointPool::connect(const fleet::Endpoint &endpoint) const
{
    return std::make_unique<http::ClientConnection>(m_loop, endpoint.address, connectTimeout);
}

void EndpointPool::setIdleLimit(const core::ServiceId &service, std::size_t maxIdle)
{
    m_idleLimits[service] = std::min(maxIdle, maxIdlePerEndpoint);
}

void EndpointPool::giveBack(const core::EndpointId &id,
                            std::unique_ptr<http::ClientConnection> connection)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        http::closeLater(m_loop, std::move(connection));
    else
        found->second.idle.keep(std::move(connection), m_timers.now());
}

void EndpointPool::closeAllIdle()
{
    for (auto &[id, entry] : m_endpoints)
        entry.idle.closeAll();
}

void EndpointPool::removeEndpoint(const core::EndpointId &id)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    found->second.idle.closeAll();
    const bool isBackingOff = found->second.backoffEnd > m_timers.now();
    if (found->second.inProgress == 0 && !isBackingOff)
        m_endpoints.erase(found);
}

void EndpointPool::setBackoff(const fleet::Endpoint &endpoint, core::TimePoint until)
{
    Entry &entry = entryFor(endpoint.id);
    const bool isSameIncarnation = entry.backoffIncarnation == endpoint.startTime;
    entry.backoffEnd = isSameIncarnation ? std::max(entry.backoffEnd, until) : until;
    entry.backoffIncarnation = endpoint.startTime;
}

core::TimePoint EndpointPool::backoffEnd(const fleet::Endpoint &endpoint) const
{
    const auto found = m_endpoints.find(endpoint.id);
    if (found == m_endpoints.end() || found->second.backoffIncarnation != endpoint.startTime)
        return {};
    return found->second.backoffEnd;
}

void EndpointPool::beginRequest(const core::EndpointId &id, const fleet::AdapterKey &key)
{
    Entry &entry = entryFor(id);
    ++entry.inProgress;
    if (!key.adapter.isEmpty())
        ++entry.adapters[key];
}

void EndpointPool::endRequest(const core::EndpointId &id, const fleet::AdapterKey &key)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    Entry &entry = found->second;
    --entry.inProgress;
    const auto usage = entry.adapters.find(key);
    if (usage != entry.adapters.end() && --usage->second == 0)
        entry.adapters.erase(usage);
}

int EndpointPool::inProgress(const core::EndpointId &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? 0 : found->second.inProgress;
}

std::vector<fleet::AdapterKey> EndpointPool::adaptersInUse(const core::EndpointId &id) const
{
    std::vector<fleet::AdapterKey> keys;
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end()) {
        for (const auto &[key, requests] : found->second.adapters)
            keys.push_back(key);
    }
    return keys;
}

double EndpointPool::recentTokens(const Entry &entry) const
{
    const std::chrono::duration<double> age = m_timers.now() - entry.recentTokensAt;
    return entry.recentTokens * std::exp(-age / recentTokensTimeConstant);
}

void EndpointPool::beginPrefill(const core::EndpointId &id, int tokens)
{
    Entry &entry = entryFor(id);
    entry.pendingPrefillTokens += tokens;
    entry.recentTokens = recentTokens(entry) + tokens;
    entry.recentTokensAt = m_timers.now();
}

double EndpointPool::load(const core::EndpointId &id, int slots) const
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return 0;
    const double tokensPerSecond
        = recentTokens(found->second) / core::toSeconds(recentTokensTimeConstant);
    return found->second.inProgress + slots * tokensPerSecond / m_prefillTokensPerSecond;
}

void EndpointPool::endPrefill(const core::EndpointId &id, int tokens)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end())
        found->second.pendingPrefillTokens -= tokens;
}

int EndpointPool::pendingPrefillTokens(const core::EndpointId &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? 0 : found->second.pendingPrefillTokens;
}

double EndpointPool::otherDaemonsLoad(const core::EndpointId &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? 0 : found->second.otherDaemonsLoad;
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
