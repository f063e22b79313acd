#include "decisions/adapterplanner.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <tuple>
#include <utility>

namespace jackdawlead::decisions {

namespace {

double seconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

const fleet::ModelSpec *findModel(const fleet::EngineSpec &engine, const core::ModelId &model)
{
    const auto found = std::ranges::find(engine.models, model, &fleet::ModelSpec::model);
    return found == engine.models.end() ? nullptr : &*found;
}

} // namespace

std::pair<core::AdapterId, int> parseHeldAdapter(const std::string &text)
{
    const std::size_t at = text.find('@');
    int version = 1;
    if (at == std::string::npos)
        return {core::AdapterId(text), version};
    std::from_chars(text.data() + at + 1, text.data() + text.size(), version);
    return {core::AdapterId(text.substr(0, at)), version};
}

AdapterPlanner::AdapterPlanner(AdapterPlannerLimits limits)
    : m_limits(limits)
{ }

void AdapterPlanner::setEndpoint(const fleet::Endpoint &endpoint, const core::RegionId &region,
                                 const fleet::EngineSpec &engine)
{
    EndpointState &state = m_endpoints[endpoint.id];
    const bool isNewLife = !state.engine || state.endpoint.born != endpoint.born;
    if (isNewLife) {
        state = {};
        changed(endpoint.id);
    }
    state.endpoint = endpoint;
    state.region = region;
    state.engine = engine;
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

void AdapterPlanner::announced(const fleet::AnnouncedVersion &version)
{
    int &newest = m_newest[{version.model, version.adapter}];
    newest = std::max(newest, version.version);
}

std::uint64_t AdapterPlanner::contentRevision(const core::EndpointId &id) const
{
    const auto found = m_changes.find(id);
    return found == m_changes.end() ? 0 : found->second;
}

std::vector<core::EndpointId> AdapterPlanner::reportsNeeded(core::TimePoint now) const
{
    std::vector<core::EndpointId> ids;
    for (const auto &[id, state] : m_endpoints) {
        const bool isSettled = now - state.lastOrder > m_limits.reportAge && !state.hasOrder;
        const bool isDue = state.needsReport || now - state.lastReport > m_limits.resync;
        if (isSettled && isDue)
            ids.push_back(id);
    }
    return ids;
}

void AdapterPlanner::reportSeen(const core::EndpointId &id, const fleet::EndpointReport &report,
                                core::TimePoint sentAt)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    EndpointState &state = found->second;
    const bool isOtherLife = report.born != state.endpoint.born;
    if (isOtherLife || state.hasOrder || sentAt - state.lastOrder < m_limits.reportAge)
        return;
    state.needsReport = false;
    state.lastReport = sentAt;
    state.orderRevision = report.orderRevision;
    const auto believed = std::exchange(state.adapters, {});
    const auto believedModels = std::exchange(state.models, {});
    for (const fleet::HeldModel &held : report.models) {
        state.models[held.model] = sentAt;
        for (const std::string &text : held.adapters) {
            const auto [adapter, version] = parseHeldAdapter(text);
            const fleet::AdapterKey key {held.model, adapter};
            const auto before = believed.find(key);
            PlacedAdapter placed {version, sentAt, sentAt};
            if (before != believed.end())
                placed.loadedAt = before->second.loadedAt;
            state.adapters[key] = placed;
        }
    }
    for (const std::string &text : report.pending) {
        const std::size_t slash = text.find('/');
        if (slash == std::string::npos)
            continue;
        const auto [adapter, version] = parseHeldAdapter(text.substr(slash + 1));
        const auto end = sentAt + m_limits.adapterLoad;
        state.adapters[{core::ModelId(text.substr(0, slash)), adapter}] = {version, end, end};
    }
    // A model load that is still under way is not in the list of models yet.
    if (report.isBusy) {
        for (const auto &[model, end] : believedModels)
            state.models.try_emplace(model, std::max(end, sentAt + m_limits.adapterLoad));
        state.needsReport = true;
    }
    changed(id);
}

void AdapterPlanner::contradicted(const core::EndpointId &id)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end())
        found->second.needsReport = true;
}

bool AdapterPlanner::canTakeOrder(const EndpointState &state) const
{
    return !state.needsReport && !state.hasOrder && !state.endpoint.isLeaving;
}

int AdapterPlanner::inTransit(const EndpointState &state, core::TimePoint now) const
{
    return static_cast<int>(std::ranges::count_if(
        state.adapters, [now](const auto &entry) { return entry.second.usableAt > now; }));
}

int AdapterPlanner::adaptersInTransit(core::TimePoint now) const
{
    int count = 0;
    for (const auto &[id, state] : m_endpoints)
        count += inTransit(state, now);
    return count;
}

bool AdapterPlanner::hasRoom(const EndpointState &state, const core::ModelId &model) const
{
    const fleet::EngineSpec &engine = *state.engine;
    const int held = static_cast<int>(state.adapters.size());
    if (engine.adapterSlots > 0 && held >= engine.adapterSlots)
        return false;
    double megabytes = 0;
    for (const auto &[id, end] : state.models) {
        const fleet::ModelSpec *spec = findModel(engine, id);
        megabytes += spec != nullptr ? spec->weightsMegabytes : 0;
    }
    for (const auto &[key, placed] : state.adapters) {
        const fleet::ModelSpec *spec = findModel(engine, key.model);
        megabytes += spec != nullptr ? spec->adapterMegabytes : 0;
    }
    const fleet::ModelSpec *wanted = findModel(engine, model);
    return wanted != nullptr && megabytes + wanted->adapterMegabytes <= engine.weightsMegabytes;
}

PlannedOrder AdapterPlanner::begin(EndpointState &state, PlannedOrder order, core::TimePoint now)
{
    order.endpoint = state.endpoint.id;
    order.orderRevision = state.orderRevision;
    state.hasOrder = true;
    state.lastOrder = now;
    return order;
}

PlannedOrder AdapterPlanner::loadOf(EndpointState &state, const fleet::AdapterKey &key,
                                    core::TimePoint now)
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
    placed.usableAt = placed.loadedAt = now + m_limits.reportAge;
    return begin(state, order, now);
}

bool AdapterPlanner::modelLoadAllowed(const EndpointState &state, core::TimePoint now)
{
    while (!m_modelLoads.empty() && now - m_modelLoads.front() > m_limits.modelLoadWindow)
        m_modelLoads.pop_front();
    const double ceiling
        = state.engine->loadsPerSecond * seconds(m_limits.modelLoadWindow) * m_limits.modelLoadPart;
    int loading = 0;
    for (const auto &[id, other] : m_endpoints) {
        loading += static_cast<int>(std::ranges::count_if(
            other.models, [now](const auto &model) { return model.second > now; }));
    }
    return static_cast<double>(m_modelLoads.size()) + 1 <= ceiling
        && loading < m_limits.modelLoadsInTransit;
}

std::optional<PlannedOrder> AdapterPlanner::planModel(EndpointState &state, core::TimePoint now)
{
    if (!state.models.empty() || state.engine->models.empty() || !modelLoadAllowed(state, now))
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
    m_modelLoads.push_back(now);
    PlannedOrder order;
    order.model = chosen->model;
    return begin(state, order, now);
}

bool AdapterPlanner::isOutdated(const fleet::AdapterKey &key, const PlacedAdapter &placed) const
{
    const auto newest = m_newest.find(key);
    return newest != m_newest.end() && placed.version < newest->second;
}

bool AdapterPlanner::hasNewestElsewhere(const EndpointState &state, const fleet::AdapterKey &key,
                                        core::TimePoint now) const
{
    return std::ranges::any_of(m_endpoints, [&](const auto &entry) {
        const auto placed = entry.second.adapters.find(key);
        return entry.first != state.endpoint.id && placed != entry.second.adapters.end()
            && !isOutdated(key, placed->second) && placed->second.usableAt <= now
            && !entry.second.endpoint.isLeaving;
    });
}

// A replacement blocks the adapter there until its runs have ended. While it is in demand, the
// first copy of a new version is therefore loaded at another endpoint.
std::optional<PlannedOrder> AdapterPlanner::planUpgrade(EndpointState &state, core::TimePoint now)
{
    if (inTransit(state, now) >= m_limits.adaptersInTransitPerEndpoint)
        return std::nullopt;
    for (const auto &[key, placed] : state.adapters) {
        if (!isOutdated(key, placed) || placed.isLeaving || placed.usableAt > now)
            continue;
        const bool isIdle = m_demand.totalRate(key, now) < m_limits.idleRate;
        if (isIdle || hasNewestElsewhere(state, key, now))
            return loadOf(state, fleet::AdapterKey(key), now);
    }
    return std::nullopt;
}

// A place that was made for an adapter is filled before anything else is decided.
std::optional<PlannedOrder> AdapterPlanner::planReserved(EndpointState &state, core::TimePoint now)
{
    if (!state.reserved)
        return std::nullopt;
    const fleet::AdapterKey key = *std::exchange(state.reserved, std::nullopt);
    if (state.adapters.contains(key) || !hasRoom(state, key.model))
        return std::nullopt;
    return loadOf(state, key, now);
}

int AdapterPlanner::copies(const fleet::AdapterKey &key, const core::RegionId &region) const
{
    int count = 0;
    for (const auto &[id, state] : m_endpoints) {
        const auto placed = state.adapters.find(key);
        const bool isPlaced = placed != state.adapters.end() && !placed->second.isLeaving
            && !isOutdated(key, placed->second);
        const bool isCopy = (isPlaced || state.reserved == key) && !state.endpoint.isLeaving;
        if (isCopy && (region.isEmpty() || state.region == region))
            ++count;
    }
    return count;
}

std::vector<AdapterPlanner::Wish> AdapterPlanner::wishes(core::TimePoint now) const
{
    std::vector<Wish> wishes;
    int slots = 1;
    if (!m_endpoints.empty())
        slots = std::max(1, m_endpoints.begin()->second.endpoint.slots);
    for (const auto &[key, regions] : m_demand.adapters()) {
        const int everywhere = copies(key, {});
        for (const auto &[region, decayed] : regions) {
            const double rate = AdapterDemand::rateOf(decayed, now);
            // A single request counts 1 / memory at its arrival; half of that is an old one.
            if (rate < 0.5 / seconds(AdapterDemand::memory))
                continue;
            if (everywhere > 0 && rate < m_limits.regionalRate)
                continue;
            const int held = copies(key, region);
            const double needed
                = std::ceil(rate * seconds(m_limits.requestTime) / (slots * m_limits.fillPerCopy));
            if (held >= static_cast<int>(needed))
                continue;
            wishes.push_back({key, region, rate / (held + 1), everywhere == 0});
        }
    }
    std::ranges::sort(wishes, [](const Wish &left, const Wish &right) {
        return std::tie(right.isFirstCopy, right.rate) < std::tie(left.isFirstCopy, left.rate);
    });
    return wishes;
}

double AdapterPlanner::valueOf(const EndpointState &state, const fleet::AdapterKey &key,
                               core::TimePoint now) const
{
    return m_demand.totalRate(key, now) / std::max(1, copies(key, {}))
        + m_demand.rate(key, state.region, now) / std::max(1, copies(key, state.region));
}

const fleet::AdapterKey *AdapterPlanner::victim(const EndpointState &state,
                                                core::TimePoint now) const
{
    const fleet::AdapterKey *chosen = nullptr;
    double least = 0;
    for (const auto &[key, placed] : state.adapters) {
        if (placed.isLeaving || placed.usableAt > now || now - placed.loadedAt < m_limits.settling)
            continue;
        const double value = valueOf(state, key, now);
        if (chosen == nullptr || value < least) {
            chosen = &key;
            least = value;
        }
    }
    return chosen;
}

std::optional<AdapterPlanner::Place> AdapterPlanner::placeAt(EndpointState &state, const Wish &wish,
                                                             core::TimePoint now) const
{
    if (!canTakeOrder(state) || state.reserved || state.adapters.contains(wish.key)
        || inTransit(state, now) >= m_limits.adaptersInTransitPerEndpoint)
        return std::nullopt;
    const auto model = state.models.find(wish.key.model);
    if (model == state.models.end() || model->second > now)
        return std::nullopt;
    Place place {&state, nullptr, state.load};
    if (!state.heldBefore.contains(wish.key))
        place.cost += m_limits.coldCost;
    if (state.region != wish.region)
        place.cost += m_limits.otherRegionCost;
    if (hasRoom(state, wish.key.model))
        return place;
    place.victim = victim(state, now);
    if (place.victim == nullptr)
        return std::nullopt;
    const double loss = valueOf(state, *place.victim, now);
    // A further copy must be worth more than what it displaces.
    if (!wish.isFirstCopy && loss >= wish.rate)
        return std::nullopt;
    place.cost += loss;
    return place;
}

std::optional<PlannedOrder> AdapterPlanner::fulfil(const Wish &wish, core::TimePoint now)
{
    // Another region's wish may have been fulfilled since the wishes were listed.
    if (wish.isFirstCopy && copies(wish.key, {}) > 0)
        return std::nullopt;
    std::optional<Place> best;
    for (auto &[id, state] : m_endpoints) {
        const auto place = placeAt(state, wish, now);
        if (place && (!best || place->cost < best->cost))
            best = place;
    }
    if (!best)
        return std::nullopt;
    if (best->victim == nullptr)
        return loadOf(*best->state, wish.key, now);
    best->state->reserved = wish.key;
    PlannedOrder order;
    order.isLoad = false;
    order.model = best->victim->model;
    order.adapter = best->victim->adapter;
    return begin(*best->state, order, now);
}

std::vector<PlannedOrder> AdapterPlanner::plan(core::TimePoint now)
{
    std::vector<PlannedOrder> orders;
    for (auto &[id, state] : m_endpoints) {
        if (!canTakeOrder(state))
            continue;
        if (auto order = planModel(state, now))
            orders.push_back(*std::move(order));
    }
    int room = m_limits.adaptersInTransit - adaptersInTransit(now);
    for (auto &[id, state] : m_endpoints) {
        if (!canTakeOrder(state))
            continue;
        if (auto order = planReserved(state, now)) {
            orders.push_back(*std::move(order));
            --room;
        }
    }
    for (auto &[id, state] : m_endpoints) {
        if (room <= 0 || !canTakeOrder(state))
            continue;
        if (auto order = planUpgrade(state, now)) {
            orders.push_back(*std::move(order));
            --room;
        }
    }
    for (const Wish &wish : wishes(now)) {
        if (room <= 0)
            break;
        if (auto order = fulfil(wish, now)) {
            orders.push_back(*std::move(order));
            --room;
        }
    }
    return orders;
}

void AdapterPlanner::orderEnded(const PlannedOrder &order, OrderEnd end, core::TimePoint now)
{
    const auto found = m_endpoints.find(order.endpoint);
    if (found == m_endpoints.end())
        return;
    EndpointState &state = found->second;
    state.hasOrder = false;
    state.lastOrder = now;
    const fleet::AdapterKey key {order.model, order.adapter};
    const bool isDone = end == OrderEnd::Accepted || end == OrderEnd::Holds;
    if (!isDone) {
        state.needsReport = true;
        state.reserved.reset();
        if (order.isLoad)
            state.adapters.erase(key);
        return;
    }
    // Whether an order that holds already counts is not stated; unloads that are done at once do.
    if (end == OrderEnd::Holds && order.isLoad)
        state.needsReport = true;
    else
        ++state.orderRevision;
    changed(order.endpoint);
    if (order.adapter.isEmpty()) {
        const fleet::ModelSpec *spec = findModel(*state.engine, order.model);
        state.models[order.model] = now + (spec != nullptr ? spec->loadTime : core::Duration {});
        return;
    }
    if (order.isLoad) {
        loadBegan(state, key, now);
    } else if (end == OrderEnd::Holds) {
        state.adapters.erase(key);
    } else {
        state.adapters[key].isLeaving = true;
        state.reserved.reset();
        state.needsReport = true;
    }
}

void AdapterPlanner::loadBegan(EndpointState &state, const fleet::AdapterKey &key,
                               core::TimePoint now)
{
    PlacedAdapter &placed = state.adapters[key];
    const bool isWarm = !state.heldBefore.insert(key).second;
    core::Duration load = isWarm ? m_limits.warmAdapterLoad : m_limits.adapterLoad;
    if (placed.isReplacement)
        load = m_limits.replacement;
    placed.isReplacement = false;
    placed.usableAt = placed.loadedAt = now + load;
}

} // namespace jackdawlead::decisions
