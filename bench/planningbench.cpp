#include "decisions/adapterplanner.h"
#include "support/planning.h"

#include <benchmark/benchmark.h>

#include <random>
#include <string>
#include <vector>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;

const core::ModelId model {"base"};
constexpr int adapterSlots = 18;
constexpr int adapters = 10000;
constexpr double requestsPerEndpoint = 6; ///< Per second, as in the scaled-up deployments.
constexpr double skew = 1.2;
constexpr unsigned seed = 7;

/// A deployment with full endpoints and long-tailed demand, planned every 20 ms of virtual time.
/// Its endpoints execute each order immediately.
class Deployment
{
public:
    explicit Deployment(int endpoints)
        : m_endpoints(endpoints)
        , m_random(seed)
        , m_popularity(testsupport::zipfDistribution(adapters, skew))
    {
        fleet::EngineSpec engine;
        engine.slots = 24;
        engine.adapterSlots = adapterSlots;
        engine.weightsMegabytes = 75000;
        engine.loadsPerSecond = 22;
        engine.models.push_back({model, 72700, 66, std::chrono::seconds(2)});
        for (int index = 0; index < endpoints; ++index) {
            const core::EndpointId id("i-" + std::to_string(index));
            testsupport::addEmptyEndpoint(m_planner, id, regionOf(index), engine, m_now);
        }
        m_now += std::chrono::seconds(1);
        for (int step = 0; step < 1000; ++step)
            execute(planNextStep());
    }

    /// Advances the time by 20 ms, adds new demand and plans.
    std::vector<PlannedOrder> planNextStep()
    {
        m_now += milliseconds(20);
        m_pendingRequests += requestsPerEndpoint * m_endpoints * 0.02;
        for (; m_pendingRequests >= 1; m_pendingRequests -= 1) {
            const int rank = m_popularity(m_random);
            const fleet::AdapterKey key {model, core::AdapterId("a" + std::to_string(rank))};
            const core::RegionId region = regionOf(static_cast<int>(m_random() % 2));
            m_planner.demand().add(key, region, 1, m_now);
            if (!m_loadedAdapters.contains(key))
                m_waiting[key][region] = {1, 0, m_now + milliseconds(600)};
        }
        m_planner.setWaiting(m_waiting);
        return m_planner.plan(m_now);
    }

    void execute(const std::vector<PlannedOrder> &orders)
    {
        for (const PlannedOrder &order : orders) {
            const fleet::AdapterKey key {order.model, order.adapter};
            m_planner.recordOrderOutcome(
                order, order.isLoad ? OrderOutcome::Accepted : OrderOutcome::AlreadyApplied, m_now);
            m_waiting.erase(key);
            if (order.isLoad)
                m_loadedAdapters.insert(key);
            else
                m_loadedAdapters.erase(m_loadedAdapters.find(key));
        }
        m_planner.demand().prune(m_now);
    }

private:
    static core::RegionId regionOf(int index)
    {
        return core::RegionId(index % 2 == 0 ? "near" : "far");
    }

    int m_endpoints;
    std::mt19937 m_random;
    std::discrete_distribution<int> m_popularity;
    AdapterPlanner m_planner {AdapterPlannerParameters {}};
    core::TimePoint m_now {std::chrono::seconds(100)};
    double m_pendingRequests = 0;
    WaitingCounts m_waiting;
    std::unordered_multiset<fleet::AdapterKey> m_loadedAdapters;
};

void planningPass(benchmark::State &state)
{
    Deployment deployment(static_cast<int>(state.range(0)));
    std::size_t orders = 0;
    for (auto step : state) {
        const auto planned = deployment.planNextStep();
        state.PauseTiming();
        orders += planned.size();
        deployment.execute(planned);
        state.ResumeTiming();
    }
    state.counters["orders"]
        = benchmark::Counter(static_cast<double>(orders), benchmark::Counter::kAvgIterations);
}

} // namespace

// Shows how the time per planning pass grows with the number of endpoints; the coordinator makes up
// to 200 passes a second.
BENCHMARK(planningPass)->Arg(7)->Arg(21)->Arg(60)->Arg(120)->Arg(300)->Iterations(500);
BENCHMARK_MAIN();
