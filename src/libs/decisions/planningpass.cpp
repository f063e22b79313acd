#include "decisions/planningpass.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::decisions {

PlanningPass::PlanningPass(const AdapterPlannerParameters &parameters, const AdapterDemand &demand,
                           const WaitingCounts &waiting,
                           const std::set<fleet::PinnedAdapter> &pinned,
                           const std::unordered_map<fleet::AdapterKey, int> &newestVersions,
                           std::deque<core::TimePoint> &modelLoadTimes, EndpointStates &endpoints,
                           const RequestCostEstimator &requestCost, int concurrentLoadLimit,
                           core::TimePoint now)
    : m_parameters(parameters)
    , m_demand(demand)
    , m_waiting(waiting)
    , m_pinned(pinned)
    , m_newestVersions(newestVersions)
    , m_modelLoadTimes(modelLoadTimes)
    , m_endpoints(endpoints)
    , m_requestCost(requestCost)
    , m_now(now)
    , m_remainingLoads(concurrentLoadLimit)
{ }

void PlanningPass::indexCopies()
{
    for (const auto &[id, state] : m_endpoints) {
        if (!state.isRateLimited && !state.endpoint.isLeaving && m_now >= state.unreachableUntil)
            m_servicesWithUnlimitedEndpoint.insert(state.endpoint.service);
    }
    for (const auto &[id, state] : m_endpoints) {
        m_remainingLoads -= loadsInFlight(state);
        m_maxSlots = std::max(m_maxSlots, state.endpoint.slots);
        if (state.endpoint.isLeaving || m_now < state.unreachableUntil || isAvoided(state))
            continue;
        for (const auto &[key, placed] : state.adapters) {
            if (isOutdated(key, placed))
                m_outdated.insert(key);
            else if (!placed.isUnloading && !placed.isUnconfirmed)
                m_copies[key].push_back(&state);
        }
        if (state.reservedFor && !state.adapters.contains(*state.reservedFor))
            m_copies[*state.reservedFor].push_back(&state);
    }
}

std::vector<PlannedOrder> PlanningPass::run()
{
    indexCopies();
    std::vector<PlannedOrder> orders;
    const auto planEach = [&](auto plan, bool needsLoadCapacity) {
        for (auto &[id, state] : m_endpoints) {
            if (!canTakeOrder(state) || (needsLoadCapacity && m_remainingLoads <= 0))
                continue;
            if (auto order = (this->*plan)(state))
                orders.push_back(*std::move(order));
        }
    };
    planEach(&PlanningPass::planModel, false);
    planEach(&PlanningPass::planReservedLoad, false);
    planEach(&PlanningPass::planUpgrade, true);
    listAvailableEndpoints();
    if (m_remainingLoads <= 0 || m_availableEndpoints.empty())
        return orders;
    std::vector<LoadCandidate> candidates = loadCandidates();
    std::ranges::make_heap(candidates, {}, &LoadCandidate::gain);
    while (m_remainingLoads > 0 && !m_availableEndpoints.empty() && !candidates.empty()) {
        std::ranges::pop_heap(candidates, {}, &LoadCandidate::gain);
        const LoadCandidate candidate = std::move(candidates.back());
        candidates.pop_back();
        auto order = planCandidate(candidate);
        if (!order)
            continue;
        orders.push_back(*std::move(order));
        // A demand burst may need several copies at once.
        if (auto next = candidateFor(candidate.key, candidate.region, *candidate.demand)) {
            candidates.push_back(*std::move(next));
            std::ranges::push_heap(candidates, {}, &LoadCandidate::gain);
        }
    }
    return orders;
}

void PlanningPass::listAvailableEndpoints()
{
    for (auto &[id, state] : m_endpoints) {
        if (canTakeOrder(state) && !isAvoided(state) && !state.reservedFor
            && loadsInFlight(state) < m_parameters.maxConcurrentLoadsPerEndpoint)
            m_availableEndpoints.push_back(&state);
    }
}

bool PlanningPass::canTakeOrder(const EndpointState &state) const
{
    return !state.needsReport && !state.hasPendingOrder && state.isOrderAllowed
        && !state.endpoint.isLeaving && m_now >= state.unreachableUntil && !isUnloading(state);
}

// An endpoint accepts no other order while an unload waits for its running requests.
bool PlanningPass::isUnloading(const EndpointState &state)
{
    return std::ranges::any_of(state.adapters,
                               [](const auto &entry) { return entry.second.isUnloading; });
}

int PlanningPass::loadsInFlight(const EndpointState &state) const
{
    return static_cast<int>(std::ranges::count_if(
        state.adapters, [this](const auto &entry) { return entry.second.fetchedAt > m_now; }));
}

bool PlanningPass::fitsWithoutEviction(const EndpointState &state, const core::ModelId &model) const
{
    const fleet::EngineSpec &engine = *state.engine;
    const int held = static_cast<int>(state.adapters.size());
    if (engine.adapterSlots > 0 && held >= engine.adapterSlots)
        return false;
    double megabytes = 0;
    for (const auto &[id, end] : state.models) {
        const fleet::ModelSpec *spec = engine.find(id);
        megabytes += spec != nullptr ? spec->weightsMegabytes : 0;
    }
    for (const auto &[key, placed] : state.adapters) {
        const fleet::ModelSpec *spec = engine.find(key.model);
        megabytes += spec != nullptr ? spec->adapterMegabytes : 0;
    }
    const fleet::ModelSpec *requested = engine.find(model);
    return requested != nullptr
        && megabytes + requested->adapterMegabytes <= engine.weightsMegabytes;
}

PlannedOrder PlanningPass::startOrder(EndpointState &state, PlannedOrder order) const
{
    order.endpoint = state.endpoint.id;
    order.orderRevision = state.orderRevision;
    state.hasPendingOrder = true;
    state.lastOrderAt = m_now;
    return order;
}

PlannedOrder PlanningPass::makeLoadOrder(EndpointState &state, const fleet::AdapterKey &key)
{
    PlannedOrder order;
    order.model = key.model;
    order.adapter = key.adapter;
    if (const auto version = m_newestVersions.find(key); version != m_newestVersions.end())
        order.version = version->second;
    // Counts as a copy from now on, so that the same load is not ordered at another endpoint.
    const bool isReplacement = state.adapters.contains(key);
    PlacedAdapter &placed = state.adapters[key];
    placed.isReplacement = isReplacement;
    placed.version = order.version.value_or(1);
    placed.usableAt = placed.loadedAt = placed.fetchedAt = m_now + m_parameters.maxReportLag;
    placed.changedAt = m_now;
    m_copies[key].push_back(&state);
    --m_remainingLoads;
    return startOrder(state, order);
}

bool PlanningPass::isModelLoadAllowed(const EndpointState &state)
{
    while (!m_modelLoadTimes.empty()
           && m_now - m_modelLoadTimes.front() > m_parameters.modelLoadWindow)
        m_modelLoadTimes.pop_front();
    const double ceiling = state.engine->loadsPerSecond
        * core::toSeconds(m_parameters.modelLoadWindow) * m_parameters.modelLoadShare;
    int loading = 0;
    for (const auto &[id, other] : m_endpoints) {
        loading += static_cast<int>(std::ranges::count_if(
            other.models, [this](const auto &model) { return model.second > m_now; }));
    }
    return static_cast<double>(m_modelLoadTimes.size()) + 1 <= ceiling
        && loading < m_parameters.maxConcurrentModelLoads;
}

std::optional<PlannedOrder> PlanningPass::planModel(EndpointState &state)
{
    if (!state.models.empty() || state.engine->models.empty() || !isModelLoadAllowed(state))
        return std::nullopt;
    // Selects the model with the fewest endpoints, in configuration order among equals.
    const fleet::ModelSpec *chosen = nullptr;
    std::size_t fewest = 0;
    for (const fleet::ModelSpec &model : state.engine->models) {
        if (model.weightsMegabytes > state.engine->weightsMegabytes)
            continue;
        const auto holders
            = static_cast<std::size_t>(std::ranges::count_if(m_endpoints, [&](const auto &entry) {
                  return entry.second.models.contains(model.model);
              }));
        if (chosen == nullptr || holders < fewest) {
            chosen = &model;
            fewest = holders;
        }
    }
    if (chosen == nullptr)
        return std::nullopt;
    m_modelLoadTimes.push_back(m_now);
    PlannedOrder order;
    order.model = chosen->model;
    return startOrder(state, order);
}

bool PlanningPass::isOutdated(const fleet::AdapterKey &key, const PlacedAdapter &placed) const
{
    const auto version = m_newestVersions.find(key);
    return version != m_newestVersions.end() && placed.version < version->second;
}

bool PlanningPass::hasNewestElsewhere(const EndpointState &state,
                                      const fleet::AdapterKey &key) const
{
    return std::ranges::any_of(copiesOf(key), [&](const EndpointState *copy) {
        const auto placed = copy->adapters.find(key);
        return copy != &state && placed != copy->adapters.end() && placed->second.usableAt <= m_now;
    });
}

// A replacement makes the adapter unavailable at the endpoint until its running requests have
// ended. While the adapter is in demand, the first copy of a new version is therefore loaded at
// another endpoint.
std::optional<PlannedOrder> PlanningPass::planUpgrade(EndpointState &state)
{
    if (m_newestVersions.empty()
        || loadsInFlight(state) >= m_parameters.maxConcurrentLoadsPerEndpoint)
        return std::nullopt;
    for (const auto &[key, placed] : state.adapters) {
        if (!isOutdated(key, placed) || placed.isUnloading || placed.usableAt > m_now
            || state.inUse.contains(key))
            continue;
        const bool isIdle = m_demand.totalRate(key, m_now) < m_parameters.idleRate;
        if (isIdle || hasNewestElsewhere(state, key))
            return makeLoadOrder(state, fleet::AdapterKey(key));
    }
    return std::nullopt;
}

// A slot that was freed for an adapter is filled before any other order is planned.
std::optional<PlannedOrder> PlanningPass::planReservedLoad(EndpointState &state)
{
    if (!state.reservedFor || !canTakeOrder(state))
        return std::nullopt;
    const fleet::AdapterKey key = *std::exchange(state.reservedFor, std::nullopt);
    if (state.adapters.contains(key) || !fitsWithoutEviction(state, key.model))
        return std::nullopt;
    return makeLoadOrder(state, key);
}

const PlanningPass::Copies &PlanningPass::copiesOf(const fleet::AdapterKey &key) const
{
    static const Copies none;
    const auto found = m_copies.find(key);
    return found == m_copies.end() ? none : found->second;
}

int PlanningPass::countInRegion(const Copies &copies, const core::RegionId &region)
{
    return static_cast<int>(std::ranges::count_if(
        copies, [&region](const EndpointState *copy) { return copy->region == region; }));
}

double PlanningPass::excessRate(const Copies &copies, const core::RegionId &region,
                                const AdapterDemand::DecayedCount &demand, double utilization) const
{
    const double ratePerCopy = utilization / m_requestCost.endpointSecondsPerRequest(m_maxSlots);
    return std::min(ratePerCopy,
                    AdapterDemand::peakRateOf(demand, m_now)
                        - countInRegion(copies, region) * ratePerCopy);
}

std::optional<PlanningPass::LoadCandidate>
PlanningPass::candidateFor(const fleet::AdapterKey &key, const core::RegionId &region,
                           const AdapterDemand::DecayedCount &demand) const
{
    // A single request raises the rate by 1 / timeConstant; a rate below half of that is outdated.
    const double minRate = 0.5 / core::toSeconds(AdapterDemand::timeConstant);
    const double rate = AdapterDemand::rateOf(demand, m_now);
    if (rate < minRate)
        return std::nullopt;
    const Copies &copies = copiesOf(key);
    // The first copy of a new version is loaded before the older copies become unusable.
    if (copies.empty())
        return m_outdated.contains(key) ? firstCopyCandidate(key, region, {}) : std::nullopt;
    if (rate < m_parameters.minRegionalRate)
        return std::nullopt;
    const double excess = excessRate(copies, region, demand, m_parameters.scaleOutUtilization);
    if (excess <= 0)
        return std::nullopt;
    const bool mayEvict
        = excessRate(copies, region, demand, m_parameters.scaleOutUtilizationWithEviction) > 0;
    return LoadCandidate {key,
                          region,
                          &demand,
                          rate / (countInRegion(copies, region) + 1),
                          excess * core::toSeconds(m_parameters.expectedResidenceTime),
                          false,
                          mayEvict};
}

// A first copy is loaded only while requests wait for it, because an adapter that was requested
// once is rarely requested again before its slot is needed.
std::optional<PlanningPass::LoadCandidate>
PlanningPass::firstCopyCandidate(const fleet::AdapterKey &key, const core::RegionId &region,
                                 const WaitingCount &waiting) const
{
    const AdapterDemand::DecayedCount *demand = m_demand.find(key, region);
    if (demand == nullptr)
        return std::nullopt;
    const double rate = AdapterDemand::rateOf(*demand, m_now);
    // An adapter that is requested repeatedly without being loaded takes precedence over further
    // copies for a demand burst.
    const double repetitionFactor = 1.0 + core::toSeconds(demand->at - demand->firstRequestAt);
    const WaitingCount current = waiting.at(m_now);
    const double weightedWaiting = current.inTime + current.late * m_parameters.lateRequestWeight;
    const double gain = weightedWaiting * repetitionFactor
        + rate * core::toSeconds(m_parameters.expectedResidenceTime);
    return LoadCandidate {key, region, demand, rate, gain, true, true};
}

bool PlanningPass::hasCopyAt(const fleet::AdapterKey &key,
                             const core::SoftwareVersion &version) const
{
    return std::ranges::any_of(copiesOf(key), [&version](const EndpointState *copy) {
        return copy->endpoint.softwareVersion == version;
    });
}

bool PlanningPass::isFirstCopyObsolete(const LoadCandidate &candidate) const
{
    if (!candidate.isFirstCopy)
        return false;
    return candidate.softwareVersion ? hasCopyAt(candidate.key, *candidate.softwareVersion)
                                     : !copiesOf(candidate.key).empty();
}

std::optional<PlanningPass::LoadCandidate>
PlanningPass::pinnedCandidate(const fleet::PinnedAdapter &adapter) const
{
    const auto waiting = m_waiting.find(adapter.key);
    if (waiting == m_waiting.end() || hasCopyAt(adapter.key, adapter.softwareVersion))
        return std::nullopt;
    const auto &[region, count] = *waiting->second.begin();
    auto candidate = firstCopyCandidate(adapter.key, region, count);
    if (!candidate)
        return std::nullopt;
    candidate->softwareVersion = adapter.softwareVersion;
    candidate->gain += m_parameters.interruptedStreamWeight;
    return candidate;
}

// Loads are ordered by their gain: while demand shifts, a further copy of an adapter in high demand
// serves more requests than the first copy of an adapter that a single caller requests.
std::vector<PlanningPass::LoadCandidate> PlanningPass::loadCandidates() const
{
    std::vector<LoadCandidate> candidates;
    for (const fleet::PinnedAdapter &adapter : m_pinned) {
        if (auto candidate = pinnedCandidate(adapter))
            candidates.push_back(*std::move(candidate));
    }
    for (const auto &[key, regions] : m_waiting) {
        if (!copiesOf(key).empty())
            continue;
        for (const auto &[region, waiting] : regions) {
            if (auto candidate = firstCopyCandidate(key, region, waiting))
                candidates.push_back(*std::move(candidate));
        }
    }
    for (const auto &[key, regions] : m_demand.adapters()) {
        for (const auto &[region, decayed] : regions) {
            if (auto candidate = candidateFor(key, region, decayed))
                candidates.push_back(*std::move(candidate));
        }
    }
    return candidates;
}

double PlanningPass::copyValue(const EndpointState &state, const fleet::AdapterKey &key) const
{
    const Copies &copies = copiesOf(key);
    const auto copyCount = std::max<std::size_t>(1, copies.size());
    return m_demand.totalRate(key, m_now) / static_cast<double>(copyCount)
        + m_demand.rate(key, state.region, m_now)
        / std::max(1, countInRegion(copies, state.region));
}

const PlanningPass::EvictionVictim &PlanningPass::evictionVictimOf(const EndpointState &state)
{
    const auto known = m_evictionVictims.find(&state);
    if (known != m_evictionVictims.end())
        return known->second;
    EvictionVictim victim;
    for (const auto &[key, placed] : state.adapters) {
        if (placed.isUnloading || placed.usableAt > m_now
            || m_now - placed.loadedAt < m_parameters.minResidenceTime || state.inUse.contains(key))
            continue;
        const double value = placed.isUnconfirmed ? 0 : copyValue(state, key);
        if (victim.key == nullptr || value < victim.value)
            victim = {&key, value};
    }
    return m_evictionVictims.emplace(&state, victim).first->second;
}

std::optional<PlanningPass::LoadTarget> PlanningPass::loadTargetAt(EndpointState &state,
                                                                   const LoadCandidate &candidate)
{
    if (state.adapters.contains(candidate.key))
        return std::nullopt;
    if (candidate.softwareVersion && state.endpoint.softwareVersion != *candidate.softwareVersion)
        return std::nullopt;
    const auto model = state.models.find(candidate.key.model);
    if (model == state.models.end() || model->second > m_now)
        return std::nullopt;
    LoadTarget target {&state, nullptr, state.load};
    if (!state.heldBefore.contains(candidate.key))
        target.cost += m_parameters.coldLoadCost;
    if (state.region != candidate.region)
        target.cost += m_parameters.crossRegionCost;
    if (fitsWithoutEviction(state, candidate.key.model))
        return target;
    const EvictionVictim &victim = evictionVictimOf(state);
    if (victim.key == nullptr)
        return std::nullopt;
    // A further copy must be worth more than the adapter that it evicts.
    if (!candidate.mayEvict || (!candidate.isFirstCopy && victim.value >= candidate.rate))
        return std::nullopt;
    target.victim = victim.key;
    target.cost += victim.value;
    return target;
}

std::optional<PlannedOrder> PlanningPass::planCandidate(const LoadCandidate &candidate)
{
    // The first copy may have been ordered for another region since the candidates were listed.
    if (isFirstCopyObsolete(candidate))
        return std::nullopt;
    std::optional<LoadTarget> best;
    for (EndpointState *state : m_availableEndpoints) {
        const auto target = loadTargetAt(*state, candidate);
        if (target && (!best || target->cost < best->cost))
            best = target;
    }
    if (!best)
        return std::nullopt;
    std::erase(m_availableEndpoints, best->state);
    if (best->victim == nullptr)
        return makeLoadOrder(*best->state, candidate.key);
    best->state->reservedFor = candidate.key;
    m_copies[candidate.key].push_back(best->state);
    --m_remainingLoads;
    PlannedOrder order;
    order.isLoad = false;
    order.model = best->victim->model;
    order.adapter = best->victim->adapter;
    return startOrder(*best->state, order);
}

} // namespace jackdawlead::decisions
