#include "serving/dispatcher.h"

#include "core/error.h"
#include "serving/peerforward.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::serving {

namespace {

absl::Status notOwned(const core::EndpointId &endpoint, std::string_view message)
{
    return core::withRetryAfter(
        core::withOutcome(core::makeError(absl::StatusCode::kUnavailable,
                                          peerprotocol::ownershipStep, endpoint.value(), message),
                          core::Outcome::NotRun),
        std::chrono::seconds(1));
}

} // namespace

Dispatcher::Dispatcher(Context &context, LeaseTask &lease, OutageTask &outage,
                       QuarantineTask &quarantine, std::function<void()> ownersStale)
    : m_context(context)
    , m_lease(lease)
    , m_outage(outage)
    , m_quarantine(quarantine)
    , m_budget(context)
    , m_ownersStale(std::move(ownersStale))
{ }

void Dispatcher::fleetChanged(FleetTask::ViewPtr view)
{
    m_view = std::move(view);
    m_budget.liveDaemonsChanged(m_view->daemons.size());
    for (const auto &[endpoint, owned] : m_owned) {
        const auto entry = m_view->endpoints.find(endpoint);
        owned.task->setLeaving(entry == m_view->endpoints.end() || entry->second.isLeaving);
    }
    reconcileTasks();
}

void Dispatcher::catalogChanged(std::shared_ptr<const config::Catalog> catalog)
{
    m_catalog = std::move(catalog);
    reconcileTasks();
}

void Dispatcher::ownersChanged(const OwnerMap &owners)
{
    m_owners = owners;
    reconcileTasks();
}

void Dispatcher::reconcileTasks()
{
    std::erase_if(m_retiring, [](const auto &task) { return task->runningCount() == 0; });
    for (auto owned = m_owned.begin(); owned != m_owned.end();) {
        const auto owner = m_owners.find(owned->first);
        const bool isStillOwned = owner != m_owners.end()
            && owner->second.holder == m_context.settings.host
            && owner->second.token == owned->second.token;
        if (isStillOwned) {
            ++owned;
            continue;
        }
        owned->second.task->drain();
        m_retiring.push_back(std::move(owned->second.task));
        owned = m_owned.erase(owned);
    }
    if (!m_view || !m_catalog)
        return;
    for (const auto &[endpoint, owner] : m_owners) {
        if (owner.holder != m_context.settings.host || m_owned.contains(endpoint))
            continue;
        const auto entry = m_view->endpoints.find(endpoint);
        if (entry == m_view->endpoints.end())
            continue;
        const config::Pool *pool = m_catalog->pool(entry->second.pool);
        if (!pool)
            continue;
        auto task = std::make_unique<EndpointTask>(
            m_context, m_lease, m_outage, m_quarantine, m_budget,
            EndpointTask::Target {endpoint, entry->second.address, owner.token,
                                  static_cast<std::size_t>(pool->slots), pool->needsCredential,
                                  pool->stallWeight});
        task->start();
        m_owned.emplace(endpoint, Owned {owner.token, std::move(task)});
    }
}

bool Dispatcher::isEnginePool(const core::PoolId &pool) const
{
    const config::Pool *known = m_catalog ? m_catalog->pool(pool) : nullptr;
    return known && known->kind == config::PoolKind::Engine;
}

std::vector<objectapi::HostEntry> Dispatcher::usableEndpoints(const core::PoolId &pool) const
{
    std::vector<objectapi::HostEntry> usable;
    if (!m_view)
        return usable;
    const bool needsOwner = isEnginePool(pool);
    for (const auto &[endpoint, entry] : m_view->endpoints) {
        if (entry.pool != pool || entry.isLeaving)
            continue;
        const auto owner = m_owners.find(endpoint);
        if (needsOwner && (owner == m_owners.end() || owner->second.holder.isEmpty()))
            continue;
        usable.push_back(entry);
    }
    return usable;
}

Dispatcher::Cancel Dispatcher::refuse(const EndpointRequest &request, const absl::Status &status)
{
    auto isCancelled = std::make_shared<bool>(false);
    m_context.loop.post([isCancelled, status, sink = request.sink] {
        if (!*isCancelled)
            sink.onEnd(status);
    });
    return [isCancelled] { *isCancelled = true; };
}

Dispatcher::Cancel Dispatcher::runHere(const core::EndpointId &endpoint, EndpointRequest request)
{
    const auto owned = m_owned.find(endpoint);
    if (owned == m_owned.end()) {
        return refuse(request, notOwned(endpoint, "this daemon does not own the endpoint"));
    }
    const core::RequestId id = request.id;
    owned->second.task->submit(std::move(request));
    return [this, endpoint, id] {
        if (const auto task = m_owned.find(endpoint); task != m_owned.end())
            task->second.task->cancel(id);
        for (const auto &task : m_retiring)
            task->cancel(id);
    };
}

Dispatcher::Cancel Dispatcher::send(const core::EndpointId &endpoint, EndpointRequest request)
{
    const auto owner = m_owners.find(endpoint);
    if (owner == m_owners.end() || owner->second.holder.isEmpty()) {
        return refuse(request, notOwned(endpoint, "the endpoint has no owner"));
    }
    if (owner->second.holder == m_context.settings.host)
        return runHere(endpoint, std::move(request));
    const auto peer = m_view->daemons.find(owner->second.holder);
    if (peer == m_view->daemons.end()) {
        return refuse(request, notOwned(endpoint, "the owner is not in the host list"));
    }
    request.sink.onEnd = [this, onEnd = std::move(request.sink.onEnd)](const absl::Status &status) {
        if (core::stepOf(status) == peerprotocol::ownershipStep)
            m_ownersStale();
        onEnd(status);
    };
    auto call = std::make_shared<net::HttpCall>(
        forwardToPeer(m_context, peer->second.address, endpoint, request));
    return [call] { call->cancel(); };
}

void Dispatcher::drain()
{
    for (const auto &[endpoint, owned] : m_owned)
        owned.task->drain();
}

std::size_t Dispatcher::runningCount() const
{
    std::size_t count = 0;
    for (const auto &[endpoint, owned] : m_owned)
        count += owned.task->runningCount();
    for (const auto &task : m_retiring)
        count += task->runningCount();
    return count;
}

} // namespace jackdawlead::serving
