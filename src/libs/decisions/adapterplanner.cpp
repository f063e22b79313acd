#include "decisions/adapterplanner.h"

#include "decisions/planningpass.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jackdawlead::decisions {

std::pair<core::AdapterId, int> parseHeldAdapter(const std::string &text)
{
    const std::size_t at = text.find('@');
    int version = 1;
    if (at == std::string::npos)
        return {core::AdapterId(text), version};
    std::from_chars(text.data() + at + 1, text.data() + text.size(), version);
    return {core::AdapterId(text.substr(0, at)), version};
}

AdapterPlanner::AdapterPlanner(AdapterPlannerParameters limits)
    : m_limits(limits)
{ }

void AdapterPlanner::setEndpoint(const fleet::Endpoint &endpoint, const core::RegionId &region,
                                 const fleet::EngineSpec &engine)
{
    EndpointState &state = m_endpoints[endpoint.id];
    const bool isNewLife = !state.engine || state.endpoint.startTime != endpoint.startTime;
    if (isNewLife) {
        state = {};
        changed(endpoint.id);
    }
    state.endpoint = endpoint;
    state.region = region;
    state.engine = engine;
    m_transitLimit.setStoreRate(engine.loadsPerSecond);
}

void AdapterPlanner::removeEndpoint(const core::EndpointId &id)
{
    m_endpoints.erase(id);
    m_changes.erase(id);
}

void AdapterPlanner::setLoad(const core::EndpointId &id, double load)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end())
        found->second.load = load;
}

void AdapterPlanner::setInUse(std::map<core::EndpointId, AdapterSet> inUse)
{
    for (auto &[id, state] : m_endpoints) {
        const auto found = inUse.find(id);
        state.inUse = found == inUse.end() ? AdapterSet() : std::move(found->second);
    }
}

void AdapterPlanner::recordAnnouncedVersion(const fleet::AnnouncedVersion &version)
{
    int &newest = m_newest[{version.model, version.adapter}];
    newest = std::max(newest, version.version);
}

std::uint64_t AdapterPlanner::contentRevision(const core::EndpointId &id) const
{
    const auto found = m_changes.find(id);
    return found == m_changes.end() ? 0 : found->second;
}

std::vector<core::EndpointId> AdapterPlanner::endpointsNeedingReport(core::TimePoint now) const
{
    std::vector<core::EndpointId> ids;
    for (const auto &[id, state] : m_endpoints) {
        const bool isSettled
            = now - state.lastOrderAt > m_limits.maxReportLag && !state.hasPendingOrder;
        const core::Duration age = now - state.lastReportAt;
        const bool isDue = state.needsReport ? isSettled
                                             : age > m_limits.resyncInterval
                || (state.hasUnconfirmedContents && age > m_limits.minReportInterval);
        if (isDue && now - state.reportFailedAt > m_limits.minReportInterval)
            ids.push_back(id);
    }
    return ids;
}

void AdapterPlanner::applyReport(const core::EndpointId &id, const fleet::EndpointReport &report,
                                 core::TimePoint sentAt)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    EndpointState &state = found->second;
    if (report.startTime != state.endpoint.startTime)
        return;
    // What happened later than this may not show in the report.
    const core::TimePoint asOf = sentAt - m_limits.maxReportLag;
    const bool isSettled = !state.hasPendingOrder && state.lastOrderAt <= asOf;
    if (!isSettled && state.needsReport)
        return;
    if (isSettled) {
        state.needsReport = false;
        state.orderRevision = report.orderRevision;
    }
    state.lastReportAt = sentAt;
    const auto believedModels = std::exchange(state.models, {});
    for (const fleet::LoadedModel &held : report.models) {
        const auto before = believedModels.find(held.model);
        state.models[held.model]
            = before == believedModels.end() ? sentAt : std::min(before->second, sentAt);
    }
    // A model load that is still under way is not in the list of models yet.
    if (report.isBusy) {
        for (const auto &[model, end] : believedModels)
            state.models.try_emplace(model, std::max(end, sentAt + m_limits.adapterLoadTime));
        state.needsReport = true;
    }
    takeContents(state, report, sentAt);
    state.hasUnconfirmedContents = std::ranges::any_of(
        state.adapters, [](const auto &entry) { return entry.second.isUnloading; });
    changed(id);
}

void AdapterPlanner::recordReportFailure(const core::EndpointId &id, core::TimePoint now)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end())
        found->second.reportFailedAt = now;
}

void AdapterPlanner::takeContents(EndpointState &state, const fleet::EndpointReport &report,
                                  core::TimePoint sentAt)
{
    const core::TimePoint asOf = sentAt - m_limits.maxReportLag;
    std::erase_if(state.unloadedAt, [asOf](const auto &entry) { return entry.second <= asOf; });
    auto believed = std::exchange(state.adapters, {});
    const auto take = [&](const fleet::AdapterKey &key, const PlacedAdapter &placed) {
        if (!state.unloadedAt.contains(key))
            state.adapters[key] = placed;
    };
    for (const fleet::LoadedModel &held : report.models) {
        for (const std::string &text : held.adapters) {
            const auto [adapter, version] = parseHeldAdapter(text);
            const fleet::AdapterKey key {held.model, adapter};
            const auto before = believed.find(key);
            PlacedAdapter placed {version, sentAt, sentAt, sentAt};
            if (before != believed.end()) {
                // Only what a report changes is told to all daemons.
                placed.usableAt = std::min(before->second.usableAt, sentAt);
                placed.loadedAt = before->second.loadedAt;
                placed.changedAt = before->second.changedAt;
                placed.isUnloading = before->second.isUnloading
                    && sentAt - placed.changedAt < m_limits.unloadTimeout;
            }
            take(key, placed);
        }
    }
    for (const std::string &text : report.pending) {
        const std::size_t slash = text.find('/');
        if (slash == std::string::npos)
            continue;
        const auto [adapter, version] = parseHeldAdapter(text.substr(slash + 1));
        const auto end = sentAt + m_limits.adapterLoadTime;
        take({core::ModelId(text.substr(0, slash)), adapter}, {version, end, end, end});
    }
    // Newer orders are not in the report. One that leaves was held before the order to unload it,
    // so that a report without it tells that it is gone.
    for (const auto &[key, placed] : believed) {
        const bool isGone = placed.isUnloading && placed.loadedAt <= asOf;
        if (placed.changedAt > asOf && (!isGone || state.adapters.contains(key)))
            state.adapters[key] = placed;
    }
}

void AdapterPlanner::recordPlacementMiss(const core::EndpointId &id, const fleet::AdapterKey &key,
                                         core::TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    EndpointState &state = found->second;
    const auto placed = state.adapters.find(key);
    const bool isOverdue
        = placed != state.adapters.end() && now - placed->second.loadedAt < m_limits.lateLoadWindow;
    if (!isOverdue) {
        if (placed != state.adapters.end())
            placed->second.isUnconfirmed = true;
        else if (key.adapter.isEmpty())
            state.needsReport = true;
        state.hasUnconfirmedContents = true;
        changed(id);
        return;
    }
    if (!std::exchange(placed->second.isOverdue, true))
        m_transitLimit.recordLateLoad(now);
    placed->second.usableAt = std::max(placed->second.usableAt, now + m_limits.lateLoadExtension);
    changed(id);
}

void AdapterPlanner::requireReport(const core::EndpointId &id)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end())
        found->second.needsReport = true;
}

void AdapterPlanner::markUnreachable(const core::EndpointId &id, core::TimePoint now)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end())
        found->second.unreachableUntil = now + m_limits.unreachablePeriod;
}

std::vector<PlannedOrder> AdapterPlanner::plan(core::TimePoint now)
{
    const int limit = m_transitLimit.value();
    PlanningPass pass(m_limits, m_demand, m_waiting, m_newest, m_modelLoads, m_endpoints, m_cost,
                      limit, now);
    std::vector<PlannedOrder> orders = pass.run();
    for (const PlannedOrder &order : orders) {
        if (order.isLoad && !order.adapter.isEmpty())
            m_transitLimit.recordLoadStart(limit - pass.remainingLoads(), now);
    }
    return orders;
}

std::optional<PlannedOrder> AdapterPlanner::planReservedLoad(const core::EndpointId &id,
                                                             core::TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return std::nullopt;
    // The place was counted against the limit of transits when it was reserved.
    PlanningPass pass(m_limits, m_demand, m_waiting, m_newest, m_modelLoads, m_endpoints, m_cost, 0,
                      now);
    return pass.planReservedLoad(found->second);
}

void AdapterPlanner::recordOrderOutcome(const PlannedOrder &order, OrderOutcome end,
                                        core::TimePoint now)
{
    const auto found = m_endpoints.find(order.endpoint);
    if (found == m_endpoints.end())
        return;
    EndpointState &state = found->second;
    state.hasPendingOrder = false;
    const fleet::AdapterKey key {order.model, order.adapter};
    const bool isDone = end == OrderOutcome::Accepted || end == OrderOutcome::AlreadyApplied;
    if (!isDone) {
        state.needsReport = true;
        state.reservedFor.reset();
        if (order.isLoad)
            state.adapters.erase(key);
        return;
    }
    // Whether an order that holds already counts is not stated; unloads that are done at once do.
    if (end == OrderOutcome::AlreadyApplied && order.isLoad)
        state.needsReport = true;
    else
        ++state.orderRevision;
    changed(order.endpoint);
    if (order.adapter.isEmpty()) {
        const fleet::ModelSpec *spec = state.engine->find(order.model);
        state.models[order.model] = now + (spec != nullptr ? spec->loadTime : core::Duration {});
        return;
    }
    if (order.isLoad) {
        recordLoadStart(state, key, now);
    } else if (end == OrderOutcome::AlreadyApplied) {
        state.adapters.erase(key);
        state.unloadedAt[key] = now;
    } else {
        PlacedAdapter &placed = state.adapters[key];
        placed.isUnloading = true;
        placed.changedAt = now;
        state.reservedFor.reset();
        state.hasUnconfirmedContents = true;
    }
}

void AdapterPlanner::recordLoadStart(EndpointState &state, const fleet::AdapterKey &key,
                                     core::TimePoint now)
{
    PlacedAdapter &placed = state.adapters[key];
    const bool isWarm = !state.heldBefore.insert(key).second;
    core::Duration load = isWarm ? m_limits.warmLoadTime : m_limits.adapterLoadTime;
    if (placed.isReplacement)
        load = m_limits.replacementTime;
    placed.isReplacement = placed.isOverdue = false;
    placed.fetchedAt = isWarm ? now : now + m_limits.adapterLoadTime;
    placed.usableAt = placed.loadedAt = now + load;
    placed.changedAt = now;
    placed.isUnconfirmed = false;
    state.unloadedAt.erase(key);
}

} // namespace jackdawlead::decisions
