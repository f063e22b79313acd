#include "world.h"

#include "simdaemon.h"

#include <algorithm>
#include <memory>

namespace jackdawlead::faults {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration workload = 60s;
// Longer than the longest fault, a take-over and the limit of a configuration change together.
constexpr core::Duration rest = 60s;
constexpr core::Duration configLimit = 16s;
constexpr int maxStrikes = 2;
constexpr int maxResends = 3;
constexpr int adapterCount = 5;

class World
{
public:
    explicit World(const Plan &plan);
    Result run();

private:
    void startDaemon(const core::HostId &id);
    void killDaemon(const core::HostId &id);
    void stopDaemon(const core::HostId &id);
    void passes(Step step, SimDaemon &daemon, SimEngine *engine);
    void strike(Fault fault, SimDaemon &daemon, SimEngine &engine);
    void strikeEngine(Fault fault, SimEngine &engine);
    void nextAdapterRequest();
    void nextServiceRequest();
    void sendAdapterRequest(const core::AdapterVersion &adapter, bool isCrashing);
    void sendServiceRequest(const std::string &key, int resends);
    SimDaemon &anyDaemon();
    core::AdapterVersion adapter(std::int64_t index) const;
    void scheduleLeaving();
    void commitRegularly();
    void commit();
    void checkConfiguration();
    bool isWorking() const { return m_cluster.time.now() < m_start + workload; }

    const Plan &m_plan;
    Cluster m_cluster;
    core::TimePoint m_start;
    std::vector<std::shared_ptr<SimDaemon>> m_processes; ///< The dead ones too.
    std::vector<int> m_strikesLeft;
    std::size_t m_strikes = 0;
    int m_requests = 0;
    int m_keys = 0;
    std::int64_t m_hottest = 0;
    core::Duration m_hostListLag = 300ms;
    bool m_isStriking = false;
};

World::World(const Plan &plan)
    : m_plan(plan)
    , m_cluster(plan.seed)
    , m_start(m_cluster.time.now())
    , m_strikesLeft(plan.injections.size(), maxStrikes)
{
    m_cluster.mutation = plan.mutation;
    m_cluster.passes
        = [this](Step step, SimDaemon &daemon, SimEngine *engine) { passes(step, daemon, engine); };
    for (const char *name : {"e1", "e2", "e3"}) {
        const core::EndpointId id(name);
        m_cluster.engines[id] = std::make_unique<SimEngine>(id, m_cluster.time, m_cluster.checker);
        // Also without faults, engines of a pool that ignores tokens must be safe.
        m_cluster.engines[id]->ignoresTokens = plan.mutation == Mutation::HolderNeverLapses;
    }
    Stored root;
    root.generation = core::Generation(1);
    m_cluster.api.store("root", root);
}

Result World::run()
{
    VirtualTime &time = m_cluster.time;
    for (const char *name : {"d1", "d2", "d3", "d4"})
        startDaemon(core::HostId(name));
    time.after(4s, [this] { nextAdapterRequest(); });
    time.after(4s, [this] { nextServiceRequest(); });
    const bool needsTakeOver
        = !m_plan.injections.empty() && m_plan.injections.front().step == Step::TakeOver;
    if (time.chance(60) || needsTakeOver)
        time.after(time.between(8s, 14s), [this] {
            const core::HostId owner = m_cluster.api.at("owner/e1").holder;
            killDaemon(owner.isEmpty() ? core::HostId("d1") : owner);
        });
    time.after(time.between(38s, 46s), [this] { stopDaemon(anyDaemon().id()); });
    time.after(time.between(20s, 26s), [this] { scheduleLeaving(); });
    commitRegularly();
    time.runUntil(m_start + workload + rest, [] {});
    checkConfiguration();
    m_cluster.checker.finish();
    return {m_cluster.checker.violations(), m_strikes, m_cluster.checker.requests(),
            m_cluster.checker.completed()};
}

void World::startDaemon(const core::HostId &id)
{
    m_cluster.leavingDaemons.erase(id);
    m_processes.push_back(
        std::make_shared<SimDaemon>(m_cluster, id, static_cast<int>(m_processes.size())));
    m_cluster.daemons[id] = m_processes.back();
    m_processes.back()->start();
}

void World::killDaemon(const core::HostId &id)
{
    const auto daemon = m_cluster.daemons.at(id);
    if (!daemon->isAlive())
        return;
    daemon->kill();
    // Mostly longer than a lease, so that its endpoints are taken over.
    const core::Duration down = m_cluster.time.chance(70) ? m_cluster.time.between(22s, 30s)
                                                          : m_cluster.time.between(2s, 15s);
    m_cluster.time.after(down, [this, id] { startDaemon(id); });
}

void World::stopDaemon(const core::HostId &id)
{
    const auto daemon = m_cluster.daemons.at(id);
    daemon->stop();
    m_cluster.time.after(m_cluster.time.between(6s, 15s), [this, id, daemon] {
        if (m_cluster.daemons.at(id) != daemon)
            return;
        // A stop that cannot end, since the object API is out, is ended by the operator.
        daemon->kill();
        startDaemon(id);
    });
}

SimDaemon &World::anyDaemon()
{
    std::vector<SimDaemon *> alive;
    for (const auto &[id, daemon] : m_cluster.daemons)
        if (daemon->isAccepting())
            alive.push_back(daemon.get());
    if (alive.empty())
        return *m_cluster.daemons.begin()->second;
    return *alive[static_cast<std::size_t>(
        m_cluster.time.number(0, static_cast<std::int64_t>(alive.size()) - 1))];
}

core::AdapterVersion World::adapter(std::int64_t index) const
{
    return {core::AdapterId("a" + std::to_string(index % adapterCount)), "1"};
}

void World::nextAdapterRequest()
{
    if (!isWorking())
        return;
    m_cluster.time.after(m_cluster.time.between(100ms, 900ms), [this] { nextAdapterRequest(); });
    const bool isHot = m_cluster.time.chance(50);
    sendAdapterRequest(adapter(isHot ? m_hottest : m_cluster.time.number(0, adapterCount - 1)),
                       false);
}

void World::sendAdapterRequest(const core::AdapterVersion &adapter, bool isCrashing)
{
    SimDaemon &daemon = anyDaemon();
    CallerRequest request;
    request.id = core::RequestId("r" + std::to_string(++m_requests));
    request.adapter = adapter;
    request.deadline = m_cluster.time.now() + m_cluster.time.between(1s, 10s);
    request.isCrashing = isCrashing;
    request.answered = [](const Answer &) {};
    if (!daemon.isAccepting())
        return;
    m_cluster.checker.accepted(request.id, adapter, request.deadline);
    daemon.accept(std::move(request));
}

void World::nextServiceRequest()
{
    if (!isWorking())
        return;
    m_cluster.time.after(m_cluster.time.between(500ms, 2s), [this] { nextServiceRequest(); });
    const std::string key = "k" + std::to_string(++m_keys);
    sendServiceRequest(key, maxResends);
    // The caller lost patience, or pressed the button twice.
    if (m_cluster.time.chance(25))
        m_cluster.time.after(m_cluster.time.between(0s, 700ms),
                             [this, key] { sendServiceRequest(key, maxResends); });
}

void World::sendServiceRequest(const std::string &key, int resends)
{
    SimDaemon &daemon = anyDaemon();
    if (!daemon.isAccepting())
        return;
    CallerRequest request;
    request.id = core::RequestId("s" + std::to_string(++m_requests));
    request.key = key;
    request.deadline = m_cluster.time.now() + 20s;
    request.answered = [this, key, resends](const Answer &answer) {
        if (answer.outcome != core::Outcome::Completed && resends > 0)
            m_cluster.time.after(m_cluster.time.between(200ms, 4s),
                                 [this, key, resends] { sendServiceRequest(key, resends - 1); });
    };
    m_cluster.checker.accepted(request.id, {}, request.deadline);
    daemon.accept(std::move(request));
}

void World::scheduleLeaving()
{
    const core::EndpointId endpoint(m_cluster.time.chance(50) ? "e1" : "e2");
    m_cluster.checker.leaving(endpoint, m_cluster.time.now());
    passes(Step::Leave, anyDaemon(), m_cluster.engines.at(endpoint).get());
    m_cluster.time.after(m_hostListLag, [this, endpoint] { m_cluster.leaving.insert(endpoint); });
    m_cluster.time.after(m_cluster.time.between(12s, 18s), [this, endpoint] {
        m_cluster.leaving.erase(endpoint);
        m_cluster.checker.leaving(endpoint, std::nullopt);
    });
}

void World::commitRegularly()
{
    if (!isWorking())
        return;
    m_cluster.time.after(m_cluster.time.between(4s, 9s), [this] { commitRegularly(); });
    passes(Step::Submit, anyDaemon(), nullptr);
    commit();
}

void World::commit()
{
    m_cluster.api.read("root", true, [this](const ApiReply &read) {
        if (!read.isOk())
            return;
        Stored root = read.object;
        root.generation = root.generation.next();
        passes(Step::Commit, anyDaemon(), nullptr);
        m_cluster.api.update("root", root, true, [](const ApiReply &) {});
    });
}

void World::checkConfiguration()
{
    // All operators are done; the root is the accepted generation, older than the limit.
    static_assert(rest > 2 * configLimit);
    const core::Generation accepted = m_cluster.api.at("root").generation;
    for (const auto &[id, daemon] : m_cluster.daemons)
        if (daemon->isAlive())
            m_cluster.checker.wantsInForce(id, accepted, daemon->inForce());
}

void World::passes(Step step, SimDaemon &daemon, SimEngine *engine)
{
    if (m_isStriking || !isWorking())
        return;
    for (std::size_t index = 0; index < m_plan.injections.size(); ++index) {
        const Injection &injection = m_plan.injections[index];
        // Steps that a schedule passes a few times only are not left to chance.
        const bool isRare = step == Step::TakeOver || step == Step::Release || step == Step::Join
            || step == Step::Acquire || step == Step::Drain || step == Step::Leave;
        if (injection.step != step || m_strikesLeft[index] == 0
            || !(isRare || m_cluster.time.chance(25)))
            continue;
        --m_strikesLeft[index];
        ++m_strikes;
        m_isStriking = true;
        SimEngine &target = engine ? *engine
                                   : *m_cluster.engines.at(core::EndpointId(
                                       "e" + std::to_string(m_cluster.time.number(1, 3))));
        strike(injection.fault, daemon, target);
        m_isStriking = false;
    }
}

void World::strike(Fault fault, SimDaemon &daemon, SimEngine &engine)
{
    VirtualTime &time = m_cluster.time;
    const core::TimePoint now = time.now();
    const auto budget = [&time] { return static_cast<int>(time.number(1, 4)); };
    switch (fault) {
    case Fault::DaemonKilled:
        // After the step, so that the step's own effect still takes place.
        time.after(time.between(0s, 3ms), [this, id = daemon.id()] { killDaemon(id); });
        return;
    case Fault::DaemonPaused:
        daemon.pause(time.chance(50) ? time.between(18s, 30s) : time.between(1s, 18s));
        return;
    case Fault::ConnectionCut:
        m_cluster.hopsToCut += budget();
        m_cluster.serviceCallsToCut += budget();
        engine.callsToCut += budget();
        return;
    case Fault::ApiOut:
        m_cluster.api.outUntil = now + time.between(1s, 30s);
        return;
    case Fault::ApiSlow:
        m_cluster.api.slowUntil = now + time.between(1s, 20s);
        return;
    case Fault::AnswerLost:
        m_cluster.api.answersToLose += 2 * budget();
        return;
    case Fault::WatchGaps:
        m_cluster.watchGapUntil = now + time.between(1s, 20s);
        return;
    case Fault::HostListLate:
        m_hostListLag = 4s;
        return;
    case Fault::OperatorsRace:
        commit();
        commit();
        return;
    case Fault::CrashingRequest:
        time.after(1ms, [this] { sendAdapterRequest(adapter(m_hottest), true); });
        return;
    case Fault::RegionLinkOut:
        m_cluster.linkOutUntil = now + time.between(1s, 30s);
        return;
    case Fault::PopularityShift:
        m_hottest += 1;
        for (std::int64_t count = 0; count < 12; ++count)
            time.after(time.between(0s, 1s), [this, count] {
                sendAdapterRequest(adapter(m_hottest + count / 4), false);
            });
        return;
    default:
        strikeEngine(fault, engine);
    }
}

void World::strikeEngine(Fault fault, SimEngine &engine)
{
    VirtualTime &time = m_cluster.time;
    const int budget = static_cast<int>(time.number(1, 4));
    switch (fault) {
    case Fault::ConnectionSilent:
        engine.callsToSilence += budget;
        return;
    case Fault::EngineRestarted:
        time.after(time.between(0s, 10ms), [&engine] { engine.restart(); });
        return;
    case Fault::LoadFails:
        engine.loadsFailUntil = time.now() + time.between(1s, 10s);
        return;
    case Fault::StoreSlow:
        for (const auto &[id, other] : m_cluster.engines)
            other->storeSlowUntil = time.now() + time.between(1s, 20s);
        return;
    case Fault::TokensIgnored:
        for (const auto &[id, other] : m_cluster.engines)
            other->ignoresTokens = true;
        anyDaemon().pause(time.between(1s, 30s));
        return;
    case Fault::AnswersLate:
        engine.answersToDelay += budget;
        return;
    case Fault::AnswersCrossed:
        engine.answersToCross += budget;
        return;
    default:
        return;
    }
}

} // namespace

Result runSchedule(const Plan &plan)
{
    return World(plan).run();
}

} // namespace jackdawlead::faults
