#include "simulation.h"

#include "decisions/placement.h"
#include "router.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace jackdawlead::bench {

using namespace decisions;

namespace {

constexpr Duration evictionDelay = std::chrono::milliseconds(10);
constexpr Duration tickPeriod = std::chrono::milliseconds(100);
constexpr Duration publishPeriod = std::chrono::seconds(1);
constexpr Duration crossRegionDelay = std::chrono::milliseconds(40);
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
    , m_requestStates(trace.size())
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
    const auto homeRunners = static_cast<std::size_t>(
        std::lround(deployment.homeRegionShare * static_cast<double>(deployment.runners)));
    for (std::size_t index = 0; index < deployment.runners; ++index) {
        Engine engine {.id = core::EndpointId("e" + std::to_string(index)),
                       .isHomeRegion = index < homeRunners,
                       .scheduler = FifoScheduler(limits),
                       .model = {},
                       .selector = {}};
        if (policy == Policy::Jackdawlead)
            engine.scheduler = EndpointScheduler(limits);
        m_engines.push_back(std::move(engine));
    }
}

RunResult Simulation::run()
{
    for (std::size_t index = 0; index < m_trace.size(); ++index)
        schedule(m_trace[index].arrival, [this, index] { handleArrival(index); });
    schedule(TimePoint(m_deployment.warmUp), [this] { resetMeasurements(); });
    schedule(TimePoint(tickPeriod), [this] { tickSchedulers(); });
    schedule(TimePoint(publishPeriod), [this] { publishEvictionCosts(); });
    schedule(disturbedAt, [this] { applyDisturbance(); });
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
        / static_cast<double>(EngineModel::fullBatchStepTime(m_deployment.maxBatch).count());
    m_result.batchEfficiency = capacity > 0 ? tokens / capacity : 0;
    m_result.measuredSeconds
        = std::chrono::duration<double>(m_deployment.length - m_deployment.warmUp).count();
    for (std::size_t index = 0; index < m_trace.size(); ++index)
        if (m_trace[index].arrival >= TimePoint(m_deployment.warmUp))
            m_result.samples.push_back(m_requestStates[index].sample);
    return std::move(m_result);
}

void Simulation::schedule(TimePoint time, std::function<void()> run)
{
    m_events.push({time, m_nextSequence++, std::move(run)});
}

void Simulation::resetMeasurements()
{
    m_result = {};
    for (Engine &engine : m_engines)
        engine.model.resetCounters();
}

void Simulation::handleArrival(std::size_t index)
{
    const TraceRequest &request = m_trace[index];
    RequestState &state = m_requestStates[index];
    state.sample.arrival = request.arrival;
    state.sample.customer = request.customer;
    state.order = route(request);
    submit(index);
}

std::vector<std::size_t> Simulation::route(const TraceRequest &request)
{
    if (m_policy == Policy::Jackdawlead)
        return placementOrderFor(request);
    std::vector<BaselineCandidate> candidates;
    for (std::size_t index = 0; index < m_engines.size(); ++index)
        if (const Engine &engine = m_engines[index]; engine.isHomeRegion == request.isHomeRegion)
            candidates.push_back(
                {index, engine.id, engine.outstanding, holds(engine, request.adapter)});
    return {selectBaselineEngine(m_policy, m_adapters[request.adapter], candidates, m_random)};
}

std::vector<std::size_t> Simulation::placementOrderFor(const TraceRequest &request)
{
    std::vector<PlacementCandidate> candidates;
    for (const Engine &engine : m_engines)
        candidates.push_back({.endpoint = engine.id,
                              .outstanding = engine.outstanding,
                              .isHomeRegion = engine.isHomeRegion == request.isHomeRegion});
    const core::AdapterVersion &adapter = m_adapters[request.adapter];
    std::vector<PreferredEndpointState> preferredStates;
    for (const PlacementCandidate &candidate : rendezvousOrder(adapter, candidates))
        if (candidate.isHomeRegion)
            preferredStates.push_back(
                {candidate.endpoint, m_engines[indexOf(candidate.endpoint)].evictionCost});
    Engine &first = m_engines[indexOf(preferredStates.front().endpoint)];
    const auto &scheduler = std::get<EndpointScheduler>(first.scheduler);
    const core::EndpointId active = first.selector.selectPreferred(
        adapter, preferredStates,
        scheduler.isResident(adapter) || scheduler.hasQueuedRequest(adapter), m_now);
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
    RequestState &state = m_requestStates[index];
    state.engine = state.order[state.nextInOrder++];
    Engine &engine = m_engines[state.engine];
    ++engine.outstanding;
    if (engine.isHomeRegion != request.isHomeRegion)
        m_result.promptLinkBytes += request.promptTokens * bytesPerToken;
    execute(state.engine,
            std::visit(
                [&](auto &scheduler) {
                    return scheduler.submit(core::RequestId(std::to_string(index)),
                                            m_adapters[request.adapter], request.deadline, m_now);
                },
                engine.scheduler));
}

void Simulation::execute(std::size_t engine, const SchedulerCommands &commands)
{
    for (const SchedulerCommand &command : commands)
        std::visit([this, engine](const auto &typed) { execute(engine, typed); }, command);
}

LoadKey Simulation::key(std::size_t engine, std::size_t adapter) const
{
    const core::EndpointId &id = m_engines[engine].id;
    return {core::HostId(id.value()), id, m_adapters[adapter], 0};
}

void Simulation::execute(std::size_t engine, const LoadAdapter &command)
{
    const std::size_t adapter = indexOf(command.adapter);
    if (m_policy != Policy::Jackdawlead) {
        orderLoad({engine, adapter, m_engines[engine].incarnation});
        return;
    }
    orderGrantedLoads(m_budget.request(key(engine, adapter), command.deadline, m_now));
    std::get<EndpointScheduler>(m_engines[engine].scheduler)
        .updateGrantWait(m_budget.predictedWait(m_now), m_now);
    if (const auto next = m_budget.nextGrantAt())
        schedule(std::max(*next, m_now), [this] { orderGrantedLoads(m_budget.tick(m_now)); });
}

void Simulation::orderGrantedLoads(const std::vector<LoadKey> &granted)
{
    for (const LoadKey &load : granted) {
        const std::size_t engine = indexOf(load.endpoint);
        auto &scheduler = std::get<EndpointScheduler>(m_engines[engine].scheduler);
        if (!scheduler.hasQueuedRequest(load.adapter)) {
            orderGrantedLoads(m_budget.release(load, m_now));
            execute(engine, scheduler.loadWithdrawn(load.adapter, m_now));
            continue;
        }
        orderLoad({engine, indexOf(load.adapter), m_engines[engine].incarnation});
    }
    if (const auto next = m_budget.nextGrantAt(); !granted.empty() && next)
        schedule(std::max(*next, m_now), [this] { orderGrantedLoads(m_budget.tick(m_now)); });
}

void Simulation::orderLoad(const OrderedLoad &load)
{
    m_store.enqueue(load);
    startLoads();
}

void Simulation::startLoads()
{
    for (const StoreModel::Started &started : m_store.start(m_now))
        schedule(started.finishesAt, [this, load = started.load] { loadFinished(load); });
    if (m_store.hasStartableLoad())
        schedule(std::max(m_store.nextStartAt(), m_now), [this] { startLoads(); });
}

void Simulation::loadFinished(const OrderedLoad &load)
{
    Engine &engine = m_engines[load.engine];
    m_store.recordFinished();
    ++m_result.loads;
    if (!engine.isHomeRegion)
        m_result.weightLinkBytes += adapterBytes;
    startLoads();
    // EndpointScheduler keeps its unanswered orders across an engine restart.
    if (m_policy != Policy::Jackdawlead && load.incarnation != engine.incarnation)
        return;
    if (m_policy == Policy::Jackdawlead)
        orderGrantedLoads(m_budget.release(key(load.engine, load.adapter), m_now));
    execute(load.engine,
            std::visit(
                [&](auto &scheduler) { return scheduler.loaded(m_adapters[load.adapter], m_now); },
                engine.scheduler));
}

void Simulation::execute(std::size_t engine, const EvictAdapter &command)
{
    ++m_result.evictions;
    schedule(
        m_now + evictionDelay,
        [this, engine, adapter = command.adapter, incarnation = m_engines[engine].incarnation] {
            if (m_policy != Policy::Jackdawlead && incarnation != m_engines[engine].incarnation)
                return;
            execute(engine,
                    std::visit([&](auto &scheduler) { return scheduler.evicted(adapter, m_now); },
                               m_engines[engine].scheduler));
        });
}

void Simulation::execute(std::size_t engine, const DispatchRequest &command)
{
    const std::size_t index = indexOf(command.request);
    RequestState &state = m_requestStates[index];
    state.sample.stall = m_now - m_trace[index].arrival;
    m_engines[engine].model.add(index, m_trace[index]);
    if (!m_engines[engine].isStepping)
        startStep(engine);
}

void Simulation::execute(std::size_t engine, const RefuseRequest &command)
{
    --m_engines[engine].outstanding;
    ++m_result.refusals[command.reason];
    refused(indexOf(command.request));
}

void Simulation::refused(std::size_t index)
{
    RequestState &state = m_requestStates[index];
    state.isDone = true;
    state.sample.isRefused = true;
    state.sample.stall = m_now - m_trace[index].arrival;
}

void Simulation::startStep(std::size_t engine)
{
    Engine &target = m_engines[engine];
    target.isStepping = true;
    schedule(m_now + target.model.startStep(), [this, engine, incarnation = target.incarnation] {
        if (incarnation == m_engines[engine].incarnation)
            handleStepEnd(engine);
    });
}

void Simulation::handleStepEnd(std::size_t engine)
{
    Engine &target = m_engines[engine];
    for (const EngineModel::Token &token : target.model.endStep()) {
        RequestState &state = m_requestStates[token.request];
        const TraceRequest &request = m_trace[token.request];
        const bool isRemote = target.isHomeRegion != request.isHomeRegion;
        if (isRemote)
            m_result.answerLinkBytes += bytesPerToken;
        if (token.isFirst)
            state.sample.firstToken
                = m_now - request.arrival + (isRemote ? crossRegionDelay * 2 : Duration::zero());
        if (!token.isLast)
            continue;
        state.isDone = true;
        --target.outstanding;
        execute(engine,
                std::visit(
                    [&](auto &scheduler) {
                        return scheduler.finished(core::RequestId(std::to_string(token.request)),
                                                  m_now);
                    },
                    target.scheduler));
    }
    target.isStepping = false;
    if (!target.model.isIdle())
        startStep(engine);
}

void Simulation::tickSchedulers()
{
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine)
        execute(engine,
                std::visit([this](auto &scheduler) { return scheduler.tick(m_now); },
                           m_engines[engine].scheduler));
    if (m_now < TimePoint(m_deployment.length + std::chrono::seconds(60)))
        schedule(m_now + tickPeriod, [this] { tickSchedulers(); });
}

void Simulation::publishEvictionCosts()
{
    for (Engine &engine : m_engines)
        if (auto *scheduler = std::get_if<EndpointScheduler>(&engine.scheduler)) {
            engine.evictionCost = scheduler->evictionCost(m_now);
            scheduler->updateGrantWait(m_budget.predictedWait(m_now), m_now);
        }
    if (m_now < TimePoint(m_deployment.length))
        schedule(m_now + publishPeriod, [this] { publishEvictionCosts(); });
}

void Simulation::applyDisturbance()
{
    const double rate = m_deployment.storeLoadsPerSecond;
    if (m_disturbance == Disturbance::EngineRestart) {
        for (std::size_t engine = 0; engine < m_engines.size(); engine += 5)
            restart(engine);
    } else if (m_disturbance == Disturbance::SlowStore) {
        m_store.setLoadsPerSecond(rate / 4);
        schedule(storeRecoversAt, [this, rate] {
            m_store.setLoadsPerSecond(rate);
            startLoads();
        });
    }
}

void Simulation::restart(std::size_t engine)
{
    Engine &target = m_engines[engine];
    ++target.incarnation;
    target.isStepping = false;
    const std::vector<std::size_t> interrupted = target.model.restart();
    target.outstanding -= static_cast<int>(interrupted.size());
    m_result.interrupted += interrupted.size();
    for (const std::size_t index : interrupted)
        m_requestStates[index].isDone = true;
    if (auto *fifo = std::get_if<FifoScheduler>(&target.scheduler)) {
        execute(engine, fifo->restarted(m_now));
        return;
    }
    auto &scheduler = std::get<EndpointScheduler>(target.scheduler);
    execute(engine, scheduler.syncResidentAdapters({}, {}, m_now));
    for (const std::size_t index : interrupted)
        execute(engine, scheduler.finished(core::RequestId(std::to_string(index)), m_now));
}

} // namespace jackdawlead::bench
