#pragma once

#include "decisions/endpointscheduler.h"
#include "decisions/loadbudget.h"
#include "decisions/preferredendpointselector.h"
#include "enginemodel.h"
#include "fifoscheduler.h"
#include "storemodel.h"
#include "trace.h"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace jackdawlead::bench {

enum class Policy { Random, LeastLoaded, ConsistentHash, ShortestHolder, Jackdawlead };

const char *toString(Policy policy);

/// The disturbance that is injected into a run.
enum class Disturbance { None, PopularityShift, EngineRestart, SlowStore };

struct RunResult
{
    struct Sample
    {
        TimePoint arrival;
        std::size_t customer = 0;
        Duration stall {};      ///< Until dispatch or refusal.
        Duration firstToken {}; ///< Zero if the request was refused.
        bool isRefused = false;
    };

    std::vector<Sample> samples; ///< All requests after the warm-up.
    std::size_t loads = 0;
    std::size_t evictions = 0;
    std::size_t interrupted = 0;                 ///< By engine restarts.
    std::map<std::string, std::size_t> refusals; ///< By reason.
    double promptLinkBytes = 0;
    double answerLinkBytes = 0;
    double weightLinkBytes = 0;
    double batchEfficiency = 0;
    double measuredSeconds = 0;
};

/// Runs one policy over one trace in virtual time. Thread safety: one thread at a time.
class Simulation
{
public:
    Simulation(const Deployment &deployment, const std::vector<TraceRequest> &trace, Policy policy,
               Disturbance disturbance, std::uint64_t seed);

    RunResult run();

    static constexpr TimePoint disturbedAt {std::chrono::seconds(300)};
    static constexpr TimePoint storeRecoversAt {std::chrono::seconds(360)};

private:
    struct Engine
    {
        core::EndpointId id;
        bool isHomeRegion = true;
        int outstanding = 0;
        std::size_t incarnation = 0;
        bool isStepping = false;
        std::variant<FifoScheduler, decisions::EndpointScheduler> scheduler;
        EngineModel model;
        decisions::PreferredEndpointSelector selector {};
        double evictionCost = 0; ///< As last published.
    };
    struct Event
    {
        TimePoint at;
        std::size_t sequence = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };
    struct RequestState
    {
        std::size_t engine = 0;
        std::size_t nextInOrder = 0;
        std::vector<std::size_t> order;
        bool isDone = false;
        RunResult::Sample sample;
    };

    void schedule(TimePoint time, std::function<void()> run);
    void handleArrival(std::size_t index);
    void submit(std::size_t index);
    std::vector<std::size_t> route(const TraceRequest &request);
    std::vector<std::size_t> placementOrderFor(const TraceRequest &request);
    bool holds(const Engine &engine, std::size_t adapter) const;
    void execute(std::size_t engine, const decisions::SchedulerCommands &commands);
    void execute(std::size_t engine, const decisions::LoadAdapter &command);
    void execute(std::size_t engine, const decisions::EvictAdapter &command);
    void execute(std::size_t engine, const decisions::DispatchRequest &command);
    void execute(std::size_t engine, const decisions::RefuseRequest &command);
    void orderGrantedLoads(const std::vector<decisions::LoadKey> &granted);
    void orderLoad(const OrderedLoad &load);
    void startLoads();
    void loadFinished(const OrderedLoad &load);
    decisions::LoadKey key(std::size_t engine, std::size_t adapter) const;
    void startStep(std::size_t engine);
    void handleStepEnd(std::size_t engine);
    void refused(std::size_t index);
    void tickSchedulers();
    void publishEvictionCosts();
    void applyDisturbance();
    void restart(std::size_t engine);
    void resetMeasurements();

    const Deployment &m_deployment;
    const std::vector<TraceRequest> &m_trace;
    Policy m_policy;
    Disturbance m_disturbance;
    std::mt19937_64 m_random;
    std::vector<core::AdapterVersion> m_adapters;
    std::vector<Engine> m_engines;
    std::vector<RequestState> m_requestStates;
    StoreModel m_store;
    decisions::LoadBudget m_budget;
    std::priority_queue<Event> m_events;
    std::size_t m_nextSequence = 0;
    TimePoint m_now;
    RunResult m_result;
};

} // namespace jackdawlead::bench
