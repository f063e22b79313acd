#include "simulation.h"

#include "decisions/placement.h"
#include "router.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace jackdawlead::bench {

using namespace decisions;

namespace {

constexpr Duration orderTime = std::chrono::milliseconds(10);
constexpr Duration tickPeriod = std::chrono::milliseconds(100);
constexpr Duration publishPeriod = std::chrono::seconds(1);
constexpr Duration regionDelay = std::chrono::milliseconds(40);
constexpr double bytesPerToken = 4;
constexpr double adapterBytes = 20e6;

std::size_t indexOf(const core::AdapterVersion &adapter)
{
    return std::stoul(adapter.adapter.value().substr(1));
}

std::size_t indexOf(const core::EndpointId &endpoint)
{
    return std::stoul(endpoint.value().substr(1));
}

std::size_t indexOf(const core::RequestId &request)
{
    return std::stoul(request.value());
}

} // namespace

const char *toString(Policy policy)
{
    switch (policy) {
    case Policy::Random:
        return "random";
    case Policy::LeastLoaded:
        return "least loaded";
    case Policy::ConsistentHash:
        return "consistent hash";
    case Policy::ShortestHolder:
        return "shortest holder";
    case Policy::Jackdawlead:
        break;
    }
    return "jackdawlead";
}

Simulation::Simulation(const Deployment &deployment, const std::vector<TraceRequest> &trace,
                       Policy policy, Disturbance disturbance, std::uint64_t seed)
    : m_deployment(deployment)
    , m_trace(trace)
    , m_policy(policy)
    , m_disturbance(disturbance)
    , m_random(seed)
    , m_states(trace.size())
    , m_store(deployment.storeLoadsPerSecond, deployment.storeConcurrentLoads)
    , m_budget({.loadsPerSecond = deployment.storeLoadsPerSecond,
                .concurrentLoads = deployment.storeConcurrentLoads,
                .grantLifetime = std::chrono::seconds(10)},
               TimePoint())
{
    for (std::size_t adapter = 0; adapter < deployment.adapters; ++adapter)
        m_adapters.push_back({core::AdapterId("a" + std::to_string(adapter)), "1"});
    SchedulerLimits limits = schedulerLimitsFor(deployment.stallWeight);
    limits.slots = deployment.slots;
    limits.maxRunning = deployment.maxBatch;
    const auto home = static_cast<std::size_t>(
        std::lround(deployment.homeRegionShare * static_cast<double>(deployment.runners)));
    for (std::size_t index = 0; index < deployment.runners; ++index) {
        Engine engine {.id = core::EndpointId("e" + std::to_string(index)),
                       .isHomeRegion = index < home,
                       .scheduler = FifoScheduler(limits),
                       .model = {},
                       .advisor = {}};
        if (policy == Policy::Jackdawlead)
            engine.scheduler = EndpointScheduler(limits);
        m_engines.push_back(std::move(engine));
    }
}

RunResult Simulation::run()
{
    for (std::size_t index = 0; index < m_trace.size(); ++index)
        at(m_trace[index].arrival, [this, index] { arrive(index); });
    at(TimePoint(m_deployment.warmUp), [this] { measureFromNow(); });
    at(TimePoint(tickPeriod), [this] { tickAll(); });
    at(TimePoint(publishPeriod), [this] { publishPressures(); });
    at(disturbedAt, [this] { disturb(); });
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.run();
    }
    Duration busy {};
    double tokens = 0;
    for (const Engine &engine : m_engines) {
        busy += engine.model.busyTime();
        tokens += engine.model.usefulTokens();
    }
    const double capacity = static_cast<double>(m_deployment.maxBatch)
        * static_cast<double>(busy.count())
        / static_cast<double>(EngineModel::fullStep(m_deployment.maxBatch).count());
    m_result.batchEfficiency = capacity > 0 ? tokens / capacity : 0;
    m_result.measuredSeconds
        = std::chrono::duration<double>(m_deployment.length - m_deployment.warmUp).count();
    for (std::size_t index = 0; index < m_trace.size(); ++index)
        if (m_trace[index].arrival >= TimePoint(m_deployment.warmUp))
            m_result.samples.push_back(m_states[index].sample);
    return std::move(m_result);
}

void Simulation::at(TimePoint time, std::function<void()> run)
{
    m_events.push({time, m_nextSequence++, std::move(run)});
}

void Simulation::measureFromNow()
{
    m_result = {};
    for (Engine &engine : m_engines)
        engine.model.resetCounters();
}

void Simulation::arrive(std::size_t index)
{
    const TraceRequest &request = m_trace[index];
    State &state = m_states[index];
    state.sample.arrival = request.arrival;
    state.sample.customer = request.customer;
    state.order = route(request);
    submit(index);
}

std::vector<std::size_t> Simulation::route(const TraceRequest &request)
{
    if (m_policy == Policy::Jackdawlead)
        return ownOrder(request);
    std::vector<BaselineChoice> choices;
    for (std::size_t index = 0; index < m_engines.size(); ++index)
        if (const Engine &engine = m_engines[index]; engine.isHomeRegion == request.isHomeRegion)
            choices.push_back(
                {index, engine.id, engine.outstanding, holds(engine, request.adapter)});
    return {chooseBaseline(m_policy, m_adapters[request.adapter], choices, m_random)};
}

std::vector<std::size_t> Simulation::ownOrder(const TraceRequest &request)
{
    std::vector<PlacementCandidate> candidates;
    for (const Engine &engine : m_engines)
        candidates.push_back({.endpoint = engine.id,
                              .outstanding = engine.outstanding,
                              .isHomeRegion = engine.isHomeRegion == request.isHomeRegion});
    const core::AdapterVersion &adapter = m_adapters[request.adapter];
    std::vector<PreferredEndpointState> homes;
    for (const PlacementCandidate &candidate : rendezvousOrder(adapter, candidates))
        if (candidate.isHomeRegion)
            homes.push_back(
                {candidate.endpoint, m_engines[indexOf(candidate.endpoint)].evictionCost});
    Engine &first = m_engines[indexOf(homes.front().endpoint)];
    const auto &scheduler = std::get<EndpointScheduler>(first.scheduler);
    const core::EndpointId active = first.advisor.selectPreferred(
        adapter, homes, scheduler.isResident(adapter) || scheduler.hasQueuedRequest(adapter),
        m_now);
    std::vector<std::size_t> order;
    for (const core::EndpointId &endpoint : placementOrder(adapter, candidates, active, {}))
        order.push_back(indexOf(endpoint));
    return order;
}

bool Simulation::holds(const Engine &engine, std::size_t adapter) const
{
    const auto *scheduler = std::get_if<FifoScheduler>(&engine.scheduler);
    return scheduler != nullptr && scheduler->holds(m_adapters[adapter]);
}

void Simulation::submit(std::size_t index)
{
    const TraceRequest &request = m_trace[index];
    State &state = m_states[index];
    state.engine = state.order[state.nextChoice++];
    Engine &engine = m_engines[state.engine];
    ++engine.outstanding;
    if (engine.isHomeRegion != request.isHomeRegion)
        m_result.promptLinkBytes += request.promptTokens * bytesPerToken;
    carryOut(state.engine,
             std::visit(
                 [&](auto &scheduler) {
                     return scheduler.submit(core::RequestId(std::to_string(index)),
                                             m_adapters[request.adapter], request.deadline, m_now);
                 },
                 engine.scheduler));
}

void Simulation::carryOut(std::size_t engine, const SchedulerCommands &commands)
{
    for (const SchedulerCommand &command : commands)
        std::visit([this, engine](const auto &typed) { carryOut(engine, typed); }, command);
}

LoadKey Simulation::key(std::size_t engine, std::size_t adapter) const
{
    const core::EndpointId &id = m_engines[engine].id;
    return {core::HostId(id.value()), id, m_adapters[adapter], 0};
}

void Simulation::carryOut(std::size_t engine, const LoadAdapter &command)
{
    const std::size_t adapter = indexOf(command.adapter);
    if (m_policy != Policy::Jackdawlead) {
        orderFromStore({engine, adapter, m_engines[engine].epoch});
        return;
    }
    orderGranted(m_budget.request(key(engine, adapter), command.deadline, m_now));
    std::get<EndpointScheduler>(m_engines[engine].scheduler)
        .updateGrantWait(m_budget.predictedWait(m_now), m_now);
    if (const auto next = m_budget.nextGrantAt())
        at(std::max(*next, m_now), [this] { orderGranted(m_budget.tick(m_now)); });
}

void Simulation::orderGranted(const std::vector<LoadKey> &granted)
{
    for (const LoadKey &load : granted) {
        const std::size_t engine = indexOf(load.endpoint);
        auto &scheduler = std::get<EndpointScheduler>(m_engines[engine].scheduler);
        if (!scheduler.hasQueuedRequest(load.adapter)) {
            orderGranted(m_budget.release(load, m_now));
            carryOut(engine, scheduler.loadWithdrawn(load.adapter, m_now));
            continue;
        }
        orderFromStore({engine, indexOf(load.adapter), m_engines[engine].epoch});
    }
    if (const auto next = m_budget.nextGrantAt(); !granted.empty() && next)
        at(std::max(*next, m_now), [this] { orderGranted(m_budget.tick(m_now)); });
}

void Simulation::orderFromStore(const OrderedLoad &load)
{
    m_store.order(load);
    serveStore();
}

void Simulation::serveStore()
{
    for (const StoreModel::Started &started : m_store.start(m_now))
        at(started.finishesAt, [this, load = started.load] { loadFinished(load); });
    if (m_store.canStartLater())
        at(std::max(m_store.nextStartAt(), m_now), [this] { serveStore(); });
}

void Simulation::loadFinished(const OrderedLoad &load)
{
    Engine &engine = m_engines[load.engine];
    m_store.finished();
    ++m_result.loads;
    if (!engine.isHomeRegion)
        m_result.weightLinkBytes += adapterBytes;
    serveStore();
    // The own scheduler keeps orders that are not answered over a restart.
    if (m_policy != Policy::Jackdawlead && load.epoch != engine.epoch)
        return;
    if (m_policy == Policy::Jackdawlead)
        orderGranted(m_budget.release(key(load.engine, load.adapter), m_now));
    carryOut(load.engine,
             std::visit(
                 [&](auto &scheduler) { return scheduler.loaded(m_adapters[load.adapter], m_now); },
                 engine.scheduler));
}

void Simulation::carryOut(std::size_t engine, const EvictAdapter &command)
{
    ++m_result.evictions;
    at(m_now + orderTime,
       [this, engine, adapter = command.adapter, epoch = m_engines[engine].epoch] {
           if (m_policy != Policy::Jackdawlead && epoch != m_engines[engine].epoch)
               return;
           carryOut(engine,
                    std::visit([&](auto &scheduler) { return scheduler.evicted(adapter, m_now); },
                               m_engines[engine].scheduler));
       });
}

void Simulation::carryOut(std::size_t engine, const DispatchRequest &command)
{
    const std::size_t index = indexOf(command.request);
    State &state = m_states[index];
    state.sample.stall = m_now - m_trace[index].arrival;
    m_engines[engine].model.add(index, m_trace[index]);
    if (!m_engines[engine].isStepping)
        step(engine);
}

void Simulation::carryOut(std::size_t engine, const RefuseRequest &command)
{
    --m_engines[engine].outstanding;
    ++m_result.refusals[command.reason];
    refused(indexOf(command.request));
}

void Simulation::refused(std::size_t index)
{
    State &state = m_states[index];
    state.isDone = true;
    state.sample.isRefused = true;
    state.sample.stall = m_now - m_trace[index].arrival;
}

void Simulation::step(std::size_t engine)
{
    Engine &owner = m_engines[engine];
    owner.isStepping = true;
    at(m_now + owner.model.startStep(), [this, engine, epoch = owner.epoch] {
        if (epoch == m_engines[engine].epoch)
            stepEnded(engine);
    });
}

void Simulation::stepEnded(std::size_t engine)
{
    Engine &owner = m_engines[engine];
    for (const EngineModel::Token &token : owner.model.endStep()) {
        State &state = m_states[token.request];
        const TraceRequest &request = m_trace[token.request];
        const bool isRemote = owner.isHomeRegion != request.isHomeRegion;
        if (isRemote)
            m_result.answerLinkBytes += bytesPerToken;
        if (token.isFirst)
            state.sample.firstToken
                = m_now - request.arrival + (isRemote ? regionDelay * 2 : Duration::zero());
        if (!token.isLast)
            continue;
        state.isDone = true;
        --owner.outstanding;
        carryOut(engine,
                 std::visit(
                     [&](auto &scheduler) {
                         return scheduler.finished(core::RequestId(std::to_string(token.request)),
                                                   m_now);
                     },
                     owner.scheduler));
    }
    owner.isStepping = false;
    if (!owner.model.isIdle())
        step(engine);
}

void Simulation::tickAll()
{
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine)
        carryOut(engine,
                 std::visit([this](auto &scheduler) { return scheduler.tick(m_now); },
                            m_engines[engine].scheduler));
    if (m_now < TimePoint(m_deployment.length + std::chrono::seconds(60)))
        at(m_now + tickPeriod, [this] { tickAll(); });
}

void Simulation::publishPressures()
{
    for (Engine &engine : m_engines)
        if (auto *scheduler = std::get_if<EndpointScheduler>(&engine.scheduler)) {
            engine.evictionCost = scheduler->evictionCost(m_now);
            scheduler->updateGrantWait(m_budget.predictedWait(m_now), m_now);
        }
    if (m_now < TimePoint(m_deployment.length))
        at(m_now + publishPeriod, [this] { publishPressures(); });
}

void Simulation::disturb()
{
    const double rate = m_deployment.storeLoadsPerSecond;
    if (m_disturbance == Disturbance::EngineRestart) {
        for (std::size_t engine = 0; engine < m_engines.size(); engine += 5)
            restart(engine);
    } else if (m_disturbance == Disturbance::SlowStore) {
        m_store.setLoadsPerSecond(rate / 4);
        at(storeRecoversAt, [this, rate] {
            m_store.setLoadsPerSecond(rate);
            serveStore();
        });
    }
}

void Simulation::restart(std::size_t engine)
{
    Engine &owner = m_engines[engine];
    ++owner.epoch;
    owner.isStepping = false;
    const std::vector<std::size_t> cut = owner.model.restart();
    owner.outstanding -= static_cast<int>(cut.size());
    m_result.cut += cut.size();
    for (const std::size_t index : cut)
        m_states[index].isDone = true;
    if (auto *fifo = std::get_if<FifoScheduler>(&owner.scheduler)) {
        carryOut(engine, fifo->restarted(m_now));
        return;
    }
    auto &scheduler = std::get<EndpointScheduler>(owner.scheduler);
    carryOut(engine, scheduler.syncResidentAdapters({}, {}, m_now));
    for (const std::size_t index : cut)
        carryOut(engine, scheduler.finished(core::RequestId(std::to_string(index)), m_now));
}

} // namespace jackdawlead::bench
