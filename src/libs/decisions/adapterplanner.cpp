#include "decisions/adapterplanner.h"

#include "decisions/planningpass.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jackdawlead::decisions {

namespace {

// Report requests count against an endpoint's request limit.
constexpr int limitedResyncFactor = 4;

} // namespace

std::pair<core::AdapterId, int> parseHeldAdapter(const std::string &text)
{
    const std::size_t separator = text.find('@');
    int version = 1;
    if (separator == std::string::npos)
        return {core::AdapterId(text), version};
    std::from_chars(text.data() + separator + 1, text.data() + text.size(), version);
    return {core::AdapterId(text.substr(0, separator)), version};
}

AdapterPlanner::AdapterPlanner(AdapterPlannerParameters parameters)
    : m_parameters(parameters)
{ }

void AdapterPlanner::setEndpoint(const fleet::Endpoint &endpoint, const core::RegionId &region,
                                 const fleet::EngineSpec &engine)
{
    EndpointState &state = m_endpoints[endpoint.id];
    const bool isNewIncarnation = !state.engine || state.endpoint.startTime != endpoint.startTime;
    if (isNewIncarnation) {
        state = {};
        increaseRevision(endpoint.id);
    }
    state.endpoint = endpoint;
    state.region = region;
    state.engine = engine;
    m_loadConcurrencyLimit.setStoreRate(engine.loadsPerSecond);
}

void AdapterPlanner::removeEndpoint(const core::EndpointId &id)
{
    m_endpoints.erase(id);
    m_contentRevisions.erase(id);
}

void AdapterPlanner::setLoad(const core::EndpointId &id, double load)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end())
        found->second.load = load;
}

void AdapterPlanner::setRateLimited(const core::EndpointId &id, bool isRateLimited,
                                    bool isOrderAllowed)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    found->second.isRateLimited = isRateLimited;
    found->second.isOrderAllowed = isOrderAllowed;
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
    int &newest = m_newestVersions[{version.model, version.adapter}];
    newest = std::max(newest, version.version);
}

std::uint64_t AdapterPlanner::contentRevision(const core::EndpointId &id) const
{
    const auto found = m_contentRevisions.find(id);
    return found == m_contentRevisions.end() ? 0 : found->second;
}

std::vector<core::EndpointId> AdapterPlanner::endpointsNeedingReport(core::TimePoint now) const
{
    std::vector<core::EndpointId> ids;
    for (const auto &[id, state] : m_endpoints) {
        const bool isSettled
            = now - state.lastOrderAt > m_parameters.maxReportLag && !state.hasPendingOrder;
        const core::Duration age = now - state.lastReportAt;
        const core::Duration resyncInterval
            = m_parameters.resyncInterval * (state.isRateLimited ? limitedResyncFactor : 1);
        const bool isDue = state.needsReport ? isSettled
                                             : age > resyncInterval
                || (state.hasUnconfirmedContents && age > m_parameters.minReportInterval);
        if (isDue && now - state.reportFailedAt > m_parameters.minReportInterval)
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
    // Later events may be missing from the report.
    const core::TimePoint asOf = sentAt - m_parameters.maxReportLag;
    const bool isSettled = !state.hasPendingOrder && state.lastOrderAt <= asOf;
    if (!isSettled && state.needsReport)
        return;
    if (isSettled) {
        state.needsReport = false;
        state.orderRevision = report.orderRevision;
    }
    state.lastReportAt = sentAt;
    const auto expectedModels = std::exchange(state.models, {});
    for (const fleet::LoadedModel &held : report.models) {
        const auto before = expectedModels.find(held.model);
        state.models[held.model]
            = before == expectedModels.end() ? sentAt : std::min(before->second, sentAt);
    }
    // A busy endpoint does not yet list the models that it is loading.
    if (report.isBusy) {
        for (const auto &[model, end] : expectedModels)
            state.models.try_emplace(model, std::max(end, sentAt + m_parameters.adapterLoadTime));
        state.needsReport = true;
    }
    mergeReportedContents(state, report, sentAt);
    state.hasUnconfirmedContents = std::ranges::any_of(
        state.adapters, [](const auto &entry) { return entry.second.isUnloading; });
    increaseRevision(id);
}

void AdapterPlanner::recordReportFailure(const core::EndpointId &id, core::TimePoint now)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end())
        found->second.reportFailedAt = now;
}

void AdapterPlanner::mergeReportedContents(EndpointState &state,
                                           const fleet::EndpointReport &report,
                                           core::TimePoint sentAt)
{
    const core::TimePoint asOf = sentAt - m_parameters.maxReportLag;
    std::erase_if(state.unloadedAt, [asOf](const auto &entry) { return entry.second <= asOf; });
    auto expected = std::exchange(state.adapters, {});
    const auto addUnlessUnloaded = [&](const fleet::AdapterKey &key, const PlacedAdapter &placed) {
        if (!state.unloadedAt.contains(key))
            state.adapters[key] = placed;
    };
    for (const fleet::LoadedModel &held : report.models) {
        for (const std::string &text : held.adapters) {
            const auto [adapter, version] = parseHeldAdapter(text);
            const fleet::AdapterKey key {held.model, adapter};
            const auto before = expected.find(key);
            PlacedAdapter placed {version, sentAt, sentAt, sentAt};
            if (before != expected.end()) {
                // Keeps the known times so that a report without changes is not sent to all
                // daemons.
                placed.usableAt = std::min(before->second.usableAt, sentAt);
                placed.loadedAt = before->second.loadedAt;
                placed.changedAt = before->second.changedAt;
                placed.isUnloading = before->second.isUnloading
                    && sentAt - placed.changedAt < m_parameters.unloadTimeout;
            }
            addUnlessUnloaded(key, placed);
        }
    }
    for (const std::string &text : report.pending) {
        const std::size_t slash = text.find('/');
        if (slash == std::string::npos)
            continue;
        const auto [adapter, version] = parseHeldAdapter(text.substr(slash + 1));
        const auto end = sentAt + m_parameters.adapterLoadTime;
        addUnlessUnloaded({core::ModelId(text.substr(0, slash)), adapter},
                          {version, end, end, end});
    }
    // The report does not include newer orders. An adapter that is unloading was held before its
    // unload order, so a report that does not list it shows that the unload is done.
    for (const auto &[key, placed] : expected) {
        const bool isUnloaded = placed.isUnloading && placed.loadedAt <= asOf;
        if (placed.changedAt > asOf && (!isUnloaded || state.adapters.contains(key)))
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
    const bool isOverdue = placed != state.adapters.end()
        && now - placed->second.loadedAt < m_parameters.lateLoadWindow;
    if (!isOverdue) {
        if (placed != state.adapters.end())
            placed->second.isUnconfirmed = true;
        else if (key.adapter.isEmpty())
            state.needsReport = true;
        state.hasUnconfirmedContents = true;
        increaseRevision(id);
        return;
    }
    if (!std::exchange(placed->second.isOverdue, true))
        m_loadConcurrencyLimit.recordLateLoad(now);
    placed->second.usableAt
        = std::max(placed->second.usableAt, now + m_parameters.lateLoadExtension);
    increaseRevision(id);
}

void AdapterPlanner::requireReport(const core::EndpointId &id)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end())
        found->second.needsReport = true;
}

void AdapterPlanner::markUnreachable(const core::EndpointId &id, core::TimePoint now)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end())
        found->second.unreachableUntil = now + m_parameters.unreachablePeriod;
}

std::vector<PlannedOrder> AdapterPlanner::plan(core::TimePoint now)
{
    const int limit = m_loadConcurrencyLimit.value();
    PlanningPass pass(m_parameters, m_demand, m_waiting, m_pinned, m_newestVersions,
                      m_modelLoadTimes, m_endpoints, m_requestCost, limit, now);
    std::vector<PlannedOrder> orders = pass.run();
    for (const PlannedOrder &order : orders) {
        if (order.isLoad && !order.adapter.isEmpty())
            m_loadConcurrencyLimit.recordLoadStart(limit - pass.remainingLoads(), now);
    }
    return orders;
}

std::optional<PlannedOrder> AdapterPlanner::planReservedLoad(const core::EndpointId &id,
                                                             core::TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return std::nullopt;
    // The load was counted against the limit of concurrent loads when the slot was reserved.
    PlanningPass pass(m_parameters, m_demand, m_waiting, m_pinned, m_newestVersions,
                      m_modelLoadTimes, m_endpoints, m_requestCost, 0, now);
    return pass.planReservedLoad(found->second);
}

void AdapterPlanner::recordOrderOutcome(const PlannedOrder &order, OrderOutcome outcome,
                                        core::TimePoint now)
{
    const auto found = m_endpoints.find(order.endpoint);
    if (found == m_endpoints.end())
        return;
    EndpointState &state = found->second;
    state.hasPendingOrder = false;
    const fleet::AdapterKey key {order.model, order.adapter};
    const bool isDone
        = outcome == OrderOutcome::Accepted || outcome == OrderOutcome::AlreadyApplied;
    if (!isDone) {
        state.needsReport = true;
        state.reservedFor.reset();
        if (order.isLoad)
            state.adapters.erase(key);
        return;
    }
    // The protocol does not state whether an order whose effect is already in place raises the
    // revision; unloads that are done at once raise it.
    if (outcome == OrderOutcome::AlreadyApplied && order.isLoad)
        state.needsReport = true;
    else
        ++state.orderRevision;
    increaseRevision(order.endpoint);
    if (order.adapter.isEmpty()) {
        const fleet::ModelSpec *spec = state.engine->find(order.model);
        state.models[order.model] = now + (spec != nullptr ? spec->loadTime : core::Duration {});
        return;
    }
    if (order.isLoad) {
        recordLoadStart(state, key, now);
    } else if (outcome == OrderOutcome::AlreadyApplied) {
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
    core::Duration loadTime = isWarm ? m_parameters.warmLoadTime : m_parameters.adapterLoadTime;
    if (placed.isReplacement)
        loadTime = m_parameters.replacementTime;
    placed.isReplacement = placed.isOverdue = false;
    placed.fetchedAt = isWarm ? now : now + m_parameters.adapterLoadTime;
    placed.usableAt = placed.loadedAt = now + loadTime;
    placed.changedAt = now;
    placed.isUnconfirmed = false;
    state.unloadedAt.erase(key);
}

} // namespace jackdawlead::decisions
