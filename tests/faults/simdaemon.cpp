#include "simdaemon.h"

#include "decisions/placement.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::faults {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration renewPeriod = 5s;
constexpr core::Duration refreshPeriod = 400ms;
constexpr core::Duration reconcilePeriod = 1s;
constexpr core::Duration tickPeriod = 100ms;
constexpr decisions::LeaseLimits leaseLimits;

std::string leaseName(const core::HostId &host)
{
    return "lease/" + host.value();
}

std::string ownerName(const core::EndpointId &endpoint)
{
    return "owner/" + endpoint.value();
}

} // namespace

SimDaemon::SimDaemon(Cluster &cluster, core::HostId id, int incarnation)
    : m_cluster(cluster)
    , m_id(std::move(id))
    , m_process(m_id.value() + "#" + std::to_string(incarnation))
    , m_lease(leaseLimits)
{ }

std::function<void()> SimDaemon::inProcess(std::function<void()> event)
{
    return [weak = weak_from_this(), event = std::move(event)] {
        const auto self = weak.lock();
        if (!self || !self->m_isAlive)
            return;
        const core::TimePoint now = self->m_cluster.time.now();
        if (now < self->m_pausedUntil)
            self->m_cluster.time.after(self->m_pausedUntil - now, self->inProcess(event));
        else
            event();
    };
}

void SimDaemon::later(core::Duration delay, std::function<void()> event)
{
    m_cluster.time.after(delay, inProcess(std::move(event)));
}

SimApi::Handler SimDaemon::apiHandler(SimApi::Handler handler)
{
    return [this, weak = weak_from_this(), handler = std::move(handler)](const ApiReply &reply) {
        if (const auto self = weak.lock())
            inProcess([handler, reply] { handler(reply); })();
    };
}

void SimDaemon::start()
{
    passes(Step::Join);
    renew();
    refreshRecords();
    refreshConfig();
    later(m_cluster.time.between(0s, reconcilePeriod), [this] { reconcile(); });
    tick();
}

void SimDaemon::kill()
{
    if (!std::exchange(m_isAlive, false))
        return;
    for (const auto &[id, call] : std::exchange(m_calls, {})) {
        Answer cut;
        cut.isCut = true;
        m_cluster.checker.answered(call->request.id, cut, m_cluster.time.now());
        call->request.answered(cut);
    }
    for (const auto &[request, done] : std::exchange(m_foreign, {}))
        m_cluster.time.after(m_cluster.time.between(1ms, 20ms), [done = done] {
            WorkEnd cut;
            cut.step = "forward";
            done(cut);
        });
    for (const auto &[endpoint, owned] : m_owned)
        owned->connectionsClosed();
    for (const EndpointPtr &retiring : m_retiring)
        retiring->connectionsClosed();
}

void SimDaemon::pause(core::Duration duration)
{
    m_pausedUntil = std::max(m_pausedUntil, m_cluster.time.now() + duration);
    m_cluster.checker.excuseUntil(m_pausedUntil);
}

void SimDaemon::stop()
{
    if (!m_isAlive || m_isStopping)
        return;
    m_isStopping = true;
    m_cluster.leavingDaemons.insert(m_id);
    passes(Step::Drain);
    for (const auto &[endpoint, owned] : m_owned)
        owned->drain();
    waitForRuns();
}

void SimDaemon::waitForRuns()
{
    const bool isIdle = runningCount() == 0 && m_calls.empty() && m_foreign.empty();
    if (isIdle || m_cluster.mutation == Mutation::StopDoesNotWait)
        release();
    else
        later(tickPeriod, [this] { waitForRuns(); });
}

void SimDaemon::release()
{
    passes(Step::Release);
    m_lease.release();
    m_hadLease = false;
    const auto remaining = std::make_shared<int>(1);
    const auto answered = apiHandler([this, remaining](const ApiReply &) {
        if (--*remaining > 0)
            return;
        m_cluster.api.remove(leaseName(m_id), isReachable(),
                             apiHandler([this](const ApiReply &) { exited(); }));
    });
    for (const auto &[endpoint, record] : m_records) {
        if (record.holder != m_id)
            continue;
        ++*remaining;
        Stored released = record;
        released.holder = core::HostId();
        m_cluster.api.update(ownerName(endpoint), released, isReachable(), answered);
    }
    later(0s, [answered] { answered({}); });
}

void SimDaemon::exited()
{
    m_cluster.checker.stopped(m_id, runningCount() + m_calls.size());
    kill();
}

std::size_t SimDaemon::runningCount() const
{
    std::size_t count = 0;
    for (const auto &[endpoint, owned] : m_owned)
        count += owned->runningCount();
    for (const EndpointPtr &retiring : m_retiring)
        count += retiring->runningCount();
    return count;
}

bool SimDaemon::hasLease() const
{
    if (m_cluster.mutation == Mutation::HolderNeverLapses)
        return m_hadLease;
    return m_lease.isValid(m_cluster.time.now());
}

void SimDaemon::renewAfter(core::Duration delay)
{
    later(delay, [this, renewal = ++m_renewals] {
        if (renewal == m_renewals)
            renew();
    });
}

void SimDaemon::renew()
{
    if (m_isStopping)
        return;
    passes(Step::Renew);
    Stored lease;
    lease.holder = m_id;
    lease.version = m_leaseVersion;
    const auto handler = apiHandler([this, sentAt = m_cluster.time.now()](const ApiReply &reply) {
        recordRenewal(reply, sentAt);
    });
    if (m_leaseVersion == 0)
        m_cluster.api.create(leaseName(m_id), lease, isReachable(), handler);
    else
        m_cluster.api.update(leaseName(m_id), lease, isReachable(), handler);
}

void SimDaemon::recordRenewal(const ApiReply &reply, core::TimePoint sentAt)
{
    renewAfter(renewPeriod);
    if (m_isStopping)
        return;
    if (reply.code == ApiReply::Code::Conflict) {
        m_cluster.api.read(leaseName(m_id), isReachable(), apiHandler([this](const ApiReply &read) {
                               m_leaseVersion = read.isOk() ? read.object.version : 0;
                               renewAfter(0s);
                           }));
        return;
    }
    if (!reply.isOk())
        return;
    m_leaseVersion = reply.object.version;
    const core::TimePoint now = m_cluster.time.now();
    const bool wasValid = m_lease.isValid(now);
    m_lease.recordRenewal(sentAt);
    if (wasValid || !m_lease.isValid(now))
        return;
    const bool isFirst = !std::exchange(m_hadLease, true);
    if (m_cluster.mutation == Mutation::HolderNeverLapses && !isFirst)
        return;
    m_claimed.clear();
    publish();
}

void SimDaemon::refreshRecords()
{
    later(refreshPeriod, [this] { refreshRecords(); });
    if (m_cluster.time.now() < m_cluster.watchGapUntil)
        return;
    for (const auto &[endpoint, engine] : m_cluster.engines)
        m_cluster.api.read(ownerName(endpoint), isReachable(),
                           apiHandler([this, endpoint = endpoint](const ApiReply &reply) {
                               const auto known = m_records.find(endpoint);
                               const bool isOld = known != m_records.end()
                                   && known->second.version > reply.object.version;
                               if (!reply.isOk() || isOld)
                                   return;
                               m_records[endpoint] = reply.object;
                               publish();
                           }));
}

std::vector<core::HostId> SimDaemon::preferredOwners(const core::EndpointId &endpoint) const
{
    std::vector<core::HostId> hosts;
    for (const auto &[host, daemon] : m_cluster.daemons)
        if (daemon->isInFirstRegion() == (endpoint.value() != "e3")
            && !m_cluster.leavingDaemons.contains(host))
            hosts.push_back(host);
    std::ranges::sort(hosts, std::greater(), [&endpoint](const core::HostId &host) {
        return decisions::rendezvousScore(endpoint.value(), host.value(), 1.0);
    });
    return hosts;
}

void SimDaemon::reconcile()
{
    later(reconcilePeriod, [this] { reconcile(); });
    if (m_isStopping || !hasLease())
        return;
    for (const auto &[endpoint, engine] : m_cluster.engines)
        if (!m_pending.contains(endpoint) && isInFirstRegion() == (endpoint.value() != "e3"))
            reconcile(endpoint);
}

void SimDaemon::reconcile(const core::EndpointId &endpoint)
{
    std::vector<core::HostId> preferred = preferredOwners(endpoint);
    decisions::OwnershipView view;
    view.self = m_id;
    view.isClaimedHere = m_claimed.contains(endpoint);
    if (const auto record = m_records.find(endpoint); record != m_records.end()) {
        const core::HostId holder = record->second.holder;
        view.record = {holder, record->second.token};
        std::erase(preferred, holder);
        if (!preferred.empty() && preferred.front() == m_id)
            view.hasHolderLeaseExpired = hasExpired(holder);
    }
    if (!preferred.empty())
        view.preferred = preferred.front();
    if (const auto token = decisions::tokenToClaim(view))
        claimEndpoint(endpoint, view, *token);
}

bool SimDaemon::hasExpired(const core::HostId &holder)
{
    if (holder.isEmpty() || holder == m_id)
        return false;
    const core::TimePoint now = m_cluster.time.now();
    decisions::LeaseObserver &observer = m_observers.try_emplace(holder, leaseLimits).first->second;
    m_cluster.api.read(leaseName(holder), isReachable(),
                       apiHandler([this, holder, &observer, sentAt = now](const ApiReply &reply) {
                           m_gone.erase(holder);
                           if (reply.isOk()) {
                               const std::uint64_t version = reply.object.version;
                               observer.observe(std::to_string(version), sentAt,
                                                m_cluster.time.now());
                               auto &[seen, since] = m_firstSeen[holder];
                               if (std::exchange(seen, version) != version)
                                   since = m_cluster.time.now();
                           } else if (reply.code == ApiReply::Code::NotFound) {
                               m_gone.insert(holder);
                           } else {
                               observer.resetObservation();
                           }
                       }));
    if (m_cluster.mutation == Mutation::ObserverIgnoresGaps)
        return m_firstSeen.contains(holder) && now >= m_firstSeen[holder].second + 16s;
    return m_gone.contains(holder) || observer.hasExpired(now);
}

void SimDaemon::claimEndpoint(const core::EndpointId &endpoint,
                              const decisions::OwnershipView &view, core::FencingToken token)
{
    passes(view.hasHolderLeaseExpired ? Step::TakeOver : Step::Acquire,
           m_cluster.engines.at(endpoint).get());
    m_pending.insert(endpoint);
    Stored record;
    record.holder = m_id;
    record.token = token;
    const auto handler = apiHandler([this, endpoint](const ApiReply &reply) {
        m_pending.erase(endpoint);
        if (!reply.isOk())
            return;
        m_claimed.insert(endpoint);
        m_records[endpoint] = reply.object;
        publish();
    });
    if (view.record) {
        record.version = m_records[endpoint].version;
        m_cluster.api.update(ownerName(endpoint), record, isReachable(), handler);
    } else {
        m_cluster.api.create(ownerName(endpoint), record, isReachable(), handler);
    }
}

OwnerProcess SimDaemon::ownerProcess()
{
    return {m_cluster.time, m_cluster.mutation,
            [this](Step step, SimEngine &engine) { passes(step, &engine); },
            [this] { return hasLease(); },
            [this](std::function<void()> event) { return inProcess(std::move(event)); }};
}

void SimDaemon::publish()
{
    for (const auto &[endpoint, record] : m_records) {
        if (record.holder != m_id)
            m_claimed.erase(endpoint);
        const bool isOwn = m_claimed.contains(endpoint);
        const auto owned = m_owned.find(endpoint);
        if (owned != m_owned.end() && (!isOwn || owned->second->token() != record.token)) {
            owned->second->drain();
            m_retiring.push_back(owned->second);
            m_owned.erase(owned);
        }
        if (!isOwn || m_owned.contains(endpoint))
            continue;
        m_owned[endpoint] = std::make_shared<SimEndpoint>(
            ownerProcess(), *m_cluster.engines.at(endpoint), record.token);
        m_owned[endpoint]->start();
    }
}

void SimDaemon::tick()
{
    later(tickPeriod, [this] { tick(); });
    for (const auto &[endpoint, owned] : m_owned) {
        owned->setLeaving(m_cluster.leaving.contains(endpoint));
        owned->tick();
    }
    std::erase_if(m_retiring, [](const EndpointPtr &task) { return task->runningCount() == 0; });
}

void SimDaemon::refreshConfig()
{
    later(m_cluster.time.between(refreshPeriod, 2 * refreshPeriod), [this] { refreshConfig(); });
    if (m_cluster.time.now() >= m_cluster.watchGapUntil)
        m_cluster.api.read("root", isReachable(), apiHandler([this](const ApiReply &reply) {
                               if (reply.isOk())
                                   generationSeen(reply.object.generation);
                           }));
    passes(Step::Distribute);
    for (const auto &[host, peer] : m_cluster.daemons)
        if (host != m_id && (m_cluster.isLinked() || peer->isInFirstRegion() == isInFirstRegion()))
            m_cluster.time.after(m_cluster.time.between(1ms, 900ms),
                                 peer->inProcess([peer = peer, generation = m_inForce] {
                                     peer->generationSeen(generation);
                                 }));
}

void SimDaemon::generationSeen(core::Generation generation)
{
    if (!m_gate.advanceTarget(generation) && m_cluster.mutation != Mutation::GenerationMayFall)
        return;
    passes(Step::Apply);
    // The parts come from the object API or from a peer, in any order.
    later(m_cluster.time.between(1ms, 800ms), [this, generation] {
        if (!m_gate.apply(generation) && m_cluster.mutation != Mutation::GenerationMayFall)
            return;
        m_inForce = generation;
        m_cluster.checker.inForce(m_process, generation);
    });
}

} // namespace jackdawlead::faults
