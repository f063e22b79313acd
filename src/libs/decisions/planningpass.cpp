#include "decisions/planningpass.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::decisions {

PlanningPass::PlanningPass(const AdapterPlannerParameters &limits, const AdapterDemand &demand,
                           const WaitingCounts &waiting,
                           const std::unordered_map<fleet::AdapterKey, int> &newest,
                           std::deque<core::TimePoint> &modelLoads, EndpointStates &endpoints,
                           const RequestCostEstimator &cost, int concurrentLoadLimit,
                           core::TimePoint now)
    : m_limits(limits)
    , m_demand(demand)
    , m_waiting(waiting)
    , m_newest(newest)
    , m_modelLoads(modelLoads)
    , m_endpoints(endpoints)
    , m_cost(cost)
    , m_now(now)
    , m_transitRoom(concurrentLoadLimit)
{ }

void PlanningPass::indexCopies()
{
    for (const auto &[id, state] : m_endpoints) {
        m_transitRoom -= inTransit(state);
        m_slots = std::max(m_slots, state.endpoint.slots);
        if (state.endpoint.isLeaving || m_now < state.unreachableUntil)
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
    const auto planEach = [&](auto plan, bool needsTransit) {
        for (auto &[id, state] : m_endpoints) {
            if (!canTakeOrder(state) || (needsTransit && m_transitRoom <= 0))
                continue;
            if (auto order = (this->*plan)(state))
                orders.push_back(*std::move(order));
        }
    };
    planEach(&PlanningPass::planModel, false);
    planEach(&PlanningPass::planReservedLoad, false);
    planEach(&PlanningPass::planUpgrade, true);
    listOpenEndpoints();
    if (m_transitRoom <= 0 || m_open.empty())
        return orders;
    std::vector<Wish> open = wishes();
    std::ranges::make_heap(open, {}, &Wish::gain);
    while (m_transitRoom > 0 && !m_open.empty() && !open.empty()) {
        std::ranges::pop_heap(open, {}, &Wish::gain);
        const Wish wish = std::move(open.back());
        open.pop_back();
        auto order = fulfil(wish);
        if (!order)
            continue;
        orders.push_back(*std::move(order));
        // A crowd may need several copies at once.
        if (auto next = wishFor(wish.key, wish.region, *wish.demand)) {
            open.push_back(*std::move(next));
            std::ranges::push_heap(open, {}, &Wish::gain);
        }
    }
    return orders;
}

void PlanningPass::listOpenEndpoints()
{
    for (auto &[id, state] : m_endpoints) {
        if (canTakeOrder(state) && !state.reservedFor
            && inTransit(state) < m_limits.maxConcurrentLoadsPerEndpoint)
            m_open.push_back(&state);
    }
}

bool PlanningPass::canTakeOrder(const EndpointState &state) const
{
    return !state.needsReport && !state.hasPendingOrder && !state.endpoint.isLeaving
        && m_now >= state.unreachableUntil && !isUnloading(state);
}

// An unload that waits for its runs keeps the endpoint from taking other orders.
bool PlanningPass::isUnloading(const EndpointState &state)
{
    return std::ranges::any_of(state.adapters,
                               [](const auto &entry) { return entry.second.isUnloading; });
}

int PlanningPass::inTransit(const EndpointState &state) const
{
    return static_cast<int>(std::ranges::count_if(
        state.adapters, [this](const auto &entry) { return entry.second.fetchedAt > m_now; }));
}

bool PlanningPass::hasRoom(const EndpointState &state, const core::ModelId &model) const
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
    const fleet::ModelSpec *wanted = engine.find(model);
    return wanted != nullptr && megabytes + wanted->adapterMegabytes <= engine.weightsMegabytes;
}

PlannedOrder PlanningPass::begin(EndpointState &state, PlannedOrder order) const
{
    order.endpoint = state.endpoint.id;
    order.orderRevision = state.orderRevision;
    state.hasPendingOrder = true;
    state.lastOrderAt = m_now;
    return order;
}

PlannedOrder PlanningPass::loadOf(EndpointState &state, const fleet::AdapterKey &key)
{
    PlannedOrder order;
    order.model = key.model;
    order.adapter = key.adapter;
    if (const auto newest = m_newest.find(key); newest != m_newest.end())
        order.version = newest->second;
    // Counts as a copy from now on, so that no other endpoint is given the same load.
    const bool isReplacement = state.adapters.contains(key);
    PlacedAdapter &placed = state.adapters[key];
    placed.isReplacement = isReplacement;
    placed.version = order.version.value_or(1);
    placed.usableAt = placed.loadedAt = placed.fetchedAt = m_now + m_limits.maxReportLag;
    placed.changedAt = m_now;
    m_copies[key].push_back(&state);
    --m_transitRoom;
    return begin(state, order);
}

bool PlanningPass::isModelLoadAllowed(const EndpointState &state)
{
    while (!m_modelLoads.empty() && m_now - m_modelLoads.front() > m_limits.modelLoadWindow)
        m_modelLoads.pop_front();
    const double ceiling = state.engine->loadsPerSecond * core::toSeconds(m_limits.modelLoadWindow)
        * m_limits.modelLoadShare;
    int loading = 0;
    for (const auto &[id, other] : m_endpoints) {
        loading += static_cast<int>(std::ranges::count_if(
            other.models, [this](const auto &model) { return model.second > m_now; }));
    }
    return static_cast<double>(m_modelLoads.size()) + 1 <= ceiling
        && loading < m_limits.maxConcurrentModelLoads;
}

std::optional<PlannedOrder> PlanningPass::planModel(EndpointState &state)
{
    if (!state.models.empty() || state.engine->models.empty() || !isModelLoadAllowed(state))
        return std::nullopt;
    // The model with the fewest endpoints first, in the order of the configuration.
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
    m_modelLoads.push_back(m_now);
    PlannedOrder order;
    order.model = chosen->model;
    return begin(state, order);
}

bool PlanningPass::isOutdated(const fleet::AdapterKey &key, const PlacedAdapter &placed) const
{
    const auto newest = m_newest.find(key);
    return newest != m_newest.end() && placed.version < newest->second;
}

bool PlanningPass::hasNewestElsewhere(const EndpointState &state,
                                      const fleet::AdapterKey &key) const
{
    return std::ranges::any_of(copiesOf(key), [&](const EndpointState *copy) {
        const auto placed = copy->adapters.find(key);
        return copy != &state && placed != copy->adapters.end() && placed->second.usableAt <= m_now;
    });
}

// A replacement blocks the adapter there until its runs have ended. While it is in demand, the
// first copy of a new version is therefore loaded at another endpoint.
std::optional<PlannedOrder> PlanningPass::planUpgrade(EndpointState &state)
{
    if (m_newest.empty() || inTransit(state) >= m_limits.maxConcurrentLoadsPerEndpoint)
        return std::nullopt;
    for (const auto &[key, placed] : state.adapters) {
        if (!isOutdated(key, placed) || placed.isUnloading || placed.usableAt > m_now
            || state.inUse.contains(key))
            continue;
        const bool isIdle = m_demand.totalRate(key, m_now) < m_limits.idleRate;
        if (isIdle || hasNewestElsewhere(state, key))
            return loadOf(state, fleet::AdapterKey(key));
    }
    return std::nullopt;
}

// A place that was made for an adapter is filled before anything else is decided.
std::optional<PlannedOrder> PlanningPass::planReservedLoad(EndpointState &state)
{
    if (!state.reservedFor || !canTakeOrder(state))
        return std::nullopt;
    const fleet::AdapterKey key = *std::exchange(state.reservedFor, std::nullopt);
    if (state.adapters.contains(key) || !hasRoom(state, key.model))
        return std::nullopt;
    return loadOf(state, key);
}

const PlanningPass::Copies &PlanningPass::copiesOf(const fleet::AdapterKey &key) const
{
    static const Copies none;
    const auto found = m_copies.find(key);
    return found == m_copies.end() ? none : found->second;
}

int PlanningPass::countIn(const Copies &copies, const core::RegionId &region)
{
    return static_cast<int>(std::ranges::count_if(
        copies, [&region](const EndpointState *copy) { return copy->region == region; }));
}

double PlanningPass::excessRate(const Copies &copies, const core::RegionId &region,
                                const AdapterDemand::DecayedCount &demand, double fill) const
{
    const double ofCopy = fill / m_cost.endpointSecondsPerRequest(m_slots);
    return std::min(ofCopy,
                    AdapterDemand::peakRateOf(demand, m_now) - countIn(copies, region) * ofCopy);
}

std::optional<PlanningPass::Wish>
PlanningPass::wishFor(const fleet::AdapterKey &key, const core::RegionId &region,
                      const AdapterDemand::DecayedCount &demand) const
{
    // A single request counts 1 / memory at its arrival; half of that is an old one.
    const double oldRate = 0.5 / core::toSeconds(AdapterDemand::timeConstant);
    const double rate = AdapterDemand::rateOf(demand, m_now);
    if (rate < oldRate)
        return std::nullopt;
    const Copies &copies = copiesOf(key);
    // The first copy of a new version is loaded before the older ones may not be used any more.
    if (copies.empty())
        return m_outdated.contains(key) ? firstCopyFor(key, region, {}) : std::nullopt;
    if (rate < m_limits.minRegionalRate)
        return std::nullopt;
    const double excess = excessRate(copies, region, demand, m_limits.scaleOutUtilization);
    if (excess <= 0)
        return std::nullopt;
    const bool mayDisplace
        = excessRate(copies, region, demand, m_limits.scaleOutUtilizationWithEviction) > 0;
    return Wish {key,
                 region,
                 &demand,
                 rate / (countIn(copies, region) + 1),
                 excess * core::toSeconds(m_limits.expectedResidenceTime),
                 false,
                 mayDisplace};
}

// A first copy is loaded only while requests wait for it: an adapter that was asked for once is
// rarely asked for again before its place is needed.
std::optional<PlanningPass::Wish> PlanningPass::firstCopyFor(const fleet::AdapterKey &key,
                                                             const core::RegionId &region,
                                                             const WaitingCount &waiting) const
{
    if (!copiesOf(key).empty())
        return std::nullopt;
    const AdapterDemand::DecayedCount *demand = m_demand.find(key, region);
    if (demand == nullptr)
        return std::nullopt;
    const double rate = AdapterDemand::rateOf(*demand, m_now);
    // Who asks again for an adapter that was not loaded goes before further copies for a crowd.
    const double again = 1.0 + core::toSeconds(demand->at - demand->firstRequestAt);
    const WaitingCount now = waiting.at(m_now);
    const double served = now.inTime + now.late * m_limits.lateRequestWeight;
    const double gain = served * again + rate * core::toSeconds(m_limits.expectedResidenceTime);
    return Wish {key, region, demand, rate, gain, true, true};
}

// Loads are ordered by what they gain: while demand moves, a further copy of a crowded adapter
// serves more requests than the first copy of one that a single caller asks for.
std::vector<PlanningPass::Wish> PlanningPass::wishes() const
{
    std::vector<Wish> wishes;
    for (const auto &[key, regions] : m_waiting) {
        for (const auto &[region, waiting] : regions) {
            if (auto wish = firstCopyFor(key, region, waiting))
                wishes.push_back(*std::move(wish));
        }
    }
    for (const auto &[key, regions] : m_demand.adapters()) {
        for (const auto &[region, decayed] : regions) {
            if (auto wish = wishFor(key, region, decayed))
                wishes.push_back(*std::move(wish));
        }
    }
    return wishes;
}

double PlanningPass::valueOf(const EndpointState &state, const fleet::AdapterKey &key) const
{
    const Copies &copies = copiesOf(key);
    const auto everywhere = std::max<std::size_t>(1, copies.size());
    return m_demand.totalRate(key, m_now) / static_cast<double>(everywhere)
        + m_demand.rate(key, state.region, m_now) / std::max(1, countIn(copies, state.region));
}

const PlanningPass::Victim &PlanningPass::victimOf(const EndpointState &state)
{
    const auto known = m_victims.find(&state);
    if (known != m_victims.end())
        return known->second;
    Victim victim;
    for (const auto &[key, placed] : state.adapters) {
        if (placed.isUnloading || placed.usableAt > m_now
            || m_now - placed.loadedAt < m_limits.minResidenceTime || state.inUse.contains(key))
            continue;
        const double value = placed.isUnconfirmed ? 0 : valueOf(state, key);
        if (victim.key == nullptr || value < victim.value)
            victim = {&key, value};
    }
    return m_victims.emplace(&state, victim).first->second;
}

std::optional<PlanningPass::Place> PlanningPass::placeAt(EndpointState &state, const Wish &wish)
{
    if (state.adapters.contains(wish.key))
        return std::nullopt;
    const auto model = state.models.find(wish.key.model);
    if (model == state.models.end() || model->second > m_now)
        return std::nullopt;
    Place place {&state, nullptr, state.load};
    if (!state.heldBefore.contains(wish.key))
        place.cost += m_limits.coldLoadCost;
    if (state.region != wish.region)
        place.cost += m_limits.crossRegionCost;
    if (hasRoom(state, wish.key.model))
        return place;
    const Victim &victim = victimOf(state);
    if (victim.key == nullptr)
        return std::nullopt;
    // A further copy must be worth more than what it displaces.
    if (!wish.mayDisplace || (!wish.isFirstCopy && victim.value >= wish.rate))
        return std::nullopt;
    place.victim = victim.key;
    place.cost += victim.value;
    return place;
}

std::optional<PlannedOrder> PlanningPass::fulfil(const Wish &wish)
{
    // Another region's wish may have been fulfilled since the wishes were listed.
    if (wish.isFirstCopy && !copiesOf(wish.key).empty())
        return std::nullopt;
    std::optional<Place> best;
    for (EndpointState *state : m_open) {
        const auto place = placeAt(*state, wish);
        if (place && (!best || place->cost < best->cost))
            best = place;
    }
    if (!best)
        return std::nullopt;
    std::erase(m_open, best->state);
    if (best->victim == nullptr)
        return loadOf(*best->state, wish.key);
    best->state->reservedFor = wish.key;
    m_copies[wish.key].push_back(best->state);
    --m_transitRoom;
    PlannedOrder order;
    order.isLoad = false;
    order.model = best->victim->model;
    order.adapter = best->victim->adapter;
    return begin(*best->state, order);
}

} // namespace jackdawlead::decisions
