#include "decisions/adapterplanner.h"
#include "support/planning.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

using namespace jackdawlead;
using namespace jackdawlead::decisions;

namespace {

using std::chrono::milliseconds;

const core::ModelId model {"base"};
const core::RegionId region {"region"};
constexpr int adapterSlotCount = 6;
constexpr unsigned seed = 20261204;

/// A request from its arrival to its end.
struct Request
{
    fleet::AdapterKey key;
    core::TimePoint arrivedAt;
    core::Duration streamTime {};
    core::EndpointId endpoint; ///< Empty while the request waits.
    core::TimePoint endsAt;
};

/// A simulated engine in virtual time that takes 250 ms for a load and delays an unload while the
/// adapter is in use, rejecting every other order meanwhile.
struct Engine
{
    std::map<fleet::AdapterKey, core::TimePoint> usableAt;
    std::optional<fleet::AdapterKey> unloading;
    std::uint64_t revision = 0;
};

/// Simulates callers, engines and daemons. The daemons report every 250 ms which adapters are used
/// and which requests wait.
class Deployment
{
public:
    Deployment(int engines, double requestsPerSecond)
        : m_requestsPerSecond(requestsPerSecond)
    {
        fleet::EngineSpec spec;
        spec.slots = 64;
        spec.adapterSlots = adapterSlotCount;
        spec.weightsMegabytes = 66500;
        spec.loadsPerSecond = 2.2;
        spec.models.push_back({model, 65100, 12, std::chrono::seconds(1)});
        for (int number = 0; number < engines; ++number) {
            const core::EndpointId id("i-" + std::to_string(number));
            testsupport::addEmptyEndpoint(m_planner, id, region, spec, m_now);
            m_engines[id] = {};
        }
        m_now += std::chrono::seconds(1);
    }

    void run(core::Duration span)
    {
        const core::TimePoint end = m_now + span;
        for (int step = 0; m_now < end; ++step, m_now += stepTime) {
            addArrivals();
            advanceRequests();
            if (step % stepsPerReport == 0)
                reportDemand();
            for (const auto &id : m_planner.endpointsNeedingReport(m_now))
                report(id);
            // An order is answered before the next step.
            for (int round = 0; round < 4; ++round) {
                for (const PlannedOrder &order : m_planner.plan(m_now))
                    m_planner.recordOrderOutcome(order, executeOrder(order), m_now);
            }
        }
    }

    int inTime = 0;
    int late = 0;
    int refused = 0;
    int unloadsInUse = 0;
    int loads = 0;

private:
    static constexpr core::Duration stepTime = milliseconds(10);
    static constexpr int stepsPerReport = 25;
    static constexpr core::Duration loadTime = milliseconds(250);
    /// Leaves 400 ms of a target latency of one second for the prompt.
    static constexpr core::Duration targetWait = milliseconds(600);
    static constexpr core::Duration maxWait = milliseconds(2000);

    void addArrivals()
    {
        m_dueRequests += m_requestsPerSecond * core::toSeconds(stepTime);
        std::exponential_distribution<double> stream(1 / 0.6);
        for (; m_dueRequests >= 1; m_dueRequests -= 1) {
            Request request;
            const int rank = m_popularity(m_random);
            request.key = {model, core::AdapterId("a" + std::to_string(rank))};
            request.arrivedAt = m_now;
            request.streamTime = core::scaled(std::chrono::seconds(1), stream(m_random));
            m_planner.demand().add(request.key, region, 1, m_now);
            m_requests.push_back(request);
        }
    }

    bool isInUse(const core::EndpointId &id, const fleet::AdapterKey &key) const
    {
        return std::ranges::any_of(m_requests, [&](const Request &request) {
            return request.endpoint == id && request.key == key;
        });
    }

    const core::EndpointId *holderOf(const fleet::AdapterKey &key) const
    {
        for (const auto &[id, engine] : m_engines) {
            const auto held = engine.usableAt.find(key);
            if (held != engine.usableAt.end() && held->second <= m_now && engine.unloading != key)
                return &id;
        }
        return nullptr;
    }

    void advanceRequests()
    {
        std::erase_if(m_requests, [this](const Request &request) {
            const bool isExpired
                = request.endpoint.isEmpty() && m_now - request.arrivedAt > maxWait;
            refused += isExpired ? 1 : 0;
            return isExpired || (!request.endpoint.isEmpty() && request.endsAt <= m_now);
        });
        for (Request &request : m_requests) {
            const core::EndpointId *holder
                = request.endpoint.isEmpty() ? holderOf(request.key) : nullptr;
            if (holder == nullptr)
                continue;
            request.endpoint = *holder;
            request.endsAt = m_now + request.streamTime;
            ++(m_now - request.arrivedAt <= targetWait ? inTime : late);
        }
        for (auto &[id, engine] : m_engines) {
            if (engine.unloading && !isInUse(id, *engine.unloading)) {
                engine.usableAt.erase(*engine.unloading);
                engine.unloading.reset();
            }
        }
    }

    void reportDemand()
    {
        std::map<core::EndpointId, AdapterSet> inUse;
        WaitingList waiting;
        for (const Request &request : m_requests) {
            if (request.endpoint.isEmpty())
                waiting.add(request.key, request.arrivedAt + targetWait - loadTime);
            else
                inUse[request.endpoint].insert(request.key);
        }
        WaitingCounts counts;
        for (const auto &[key, count] : waiting.counts(m_now))
            counts[key][region] = count;
        m_planner.setInUse(std::move(inUse));
        m_planner.setWaiting(std::move(counts));
    }

    void report(const core::EndpointId &id)
    {
        const Engine &engine = m_engines.at(id);
        fleet::EndpointReport report;
        report.orderRevision = engine.revision;
        fleet::LoadedModel held {model, 1, {}};
        for (const auto &[key, usableAt] : engine.usableAt) {
            if (usableAt <= m_now)
                held.adapters.push_back(key.adapter.value() + "@1");
            else
                report.pending.push_back(model.value() + "/" + key.adapter.value() + "@1");
        }
        report.models.push_back(held);
        m_planner.applyReport(id, report, m_now);
    }

    OrderOutcome executeOrder(const PlannedOrder &order)
    {
        Engine &engine = m_engines.at(order.endpoint);
        const fleet::AdapterKey key {order.model, order.adapter};
        if (engine.unloading || order.orderRevision != engine.revision)
            return OrderOutcome::Conflict;
        ++engine.revision;
        if (order.isLoad) {
            ++loads;
            engine.usableAt[key] = m_now + loadTime;
            cr_assert_leq(engine.usableAt.size(), static_cast<std::size_t>(adapterSlotCount));
            return OrderOutcome::Accepted;
        }
        if (isInUse(order.endpoint, key)) {
            ++unloadsInUse;
            engine.unloading = key;
            return OrderOutcome::Accepted;
        }
        engine.usableAt.erase(key);
        return OrderOutcome::AlreadyApplied;
    }

    double m_requestsPerSecond;
    std::mt19937 m_random {seed};
    std::discrete_distribution<int> m_popularity = testsupport::zipfDistribution(3000, 1.2);
    AdapterPlanner m_planner {AdapterPlannerParameters {}};
    std::map<core::EndpointId, Engine> m_engines;
    std::vector<Request> m_requests;
    core::TimePoint m_now {std::chrono::seconds(100)};
    double m_dueRequests = 0;
};

} // namespace

// Pattern: requests for 3,000 adapters of skewed popularity at six endpoints with six adapter slots
// each, at sixty requests a second. Guards against slots that are blocked by unloads of adapters in
// use, by unconfirmed contents and by adapters without waiting requests: 13 in 100 requests of a
// quiet day were refused or late because of these. The target of the users is an answer in time, so
// nine in ten requests must start in time.
Test(adapterturnover, fewSlotsServeManyAdaptersInTime)
{
    Deployment deployment(6, 60);
    deployment.run(std::chrono::seconds(60));
    const int all = deployment.inTime + deployment.late + deployment.refused;
    cr_log_info("seed %u: %d in time, %d late, %d refused, %d loads, %d unloads in use\n", seed,
                deployment.inTime, deployment.late, deployment.refused, deployment.loads,
                deployment.unloadsInUse);
    cr_assert_gt(deployment.inTime, all * 9 / 10, "%d of %d in time, %d refused", deployment.inTime,
                 all, deployment.refused);
    // Only uses that began since the last report may be affected.
    cr_assert_lt(deployment.unloadsInUse, deployment.loads / 20);
}

// Pattern: the same with more requests than the slots can serve. Guards against a queue in which
// every request waits until it is late, so that none is answered in time.
Test(adapterturnover, overloadStillServesRequestsInTime)
{
    Deployment deployment(4, 80);
    deployment.run(std::chrono::seconds(60));
    cr_log_info("seed %u: %d in time, %d late, %d refused, %d loads\n", seed, deployment.inTime,
                deployment.late, deployment.refused, deployment.loads);
    cr_assert_gt(deployment.inTime, deployment.late * 4, "%d in time, %d late", deployment.inTime,
                 deployment.late);
}
