#include "decisions/membership.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace jackdawlead::decisions {

namespace {

constexpr std::uint64_t stateCount = 4;

// Marks the state of a daemon that has refuted a suspicion. Daemons without earlier contact to it
// retransmit that state with normal priority too, because others may consider the daemon dead.
constexpr char refutation[] = "refuted";

FactSubject subjectOf(const core::HostId &host)
{
    return FactSubject(host.value());
}

} // namespace

FactVersion memberVersion(Incarnation incarnation, MemberState state)
{
    return FactVersion(incarnation.value() * stateCount + static_cast<std::uint64_t>(state));
}

MemberState stateOfVersion(FactVersion version)
{
    return static_cast<MemberState>(version.value() % stateCount);
}

Incarnation incarnationOfVersion(FactVersion version)
{
    return Incarnation(version.value() / stateCount);
}

Membership::Membership(core::HostId self, Incarnation incarnation, MembershipLimits limits,
                       FactLimits factLimits, std::uint64_t seed)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_limits(limits)
    , m_facts(factLimits)
    , m_random(seed)
{ }

Fact Membership::memberFact(const core::HostId &host, Incarnation incarnation,
                            MemberState state) const
{
    return {FactKind::Member, subjectOf(host), memberVersion(incarnation, state), {}};
}

Fact Membership::ownFact() const
{
    Fact fact = memberFact(m_self, m_incarnation, m_ownState);
    if (m_hasRefuted)
        fact.value = refutation;
    return fact;
}

Incarnation Membership::incarnationOf(const core::HostId &host) const
{
    const Fact *known = m_facts.find(FactKind::Member, subjectOf(host));
    return known ? incarnationOfVersion(known->version) : Incarnation();
}

MemberState Membership::stateOf(const core::HostId &host) const
{
    if (host == m_self)
        return m_ownState;
    const Fact *known = m_facts.find(FactKind::Member, subjectOf(host));
    return known ? stateOfVersion(known->version) : MemberState::Alive;
}

bool Membership::isUsable(const core::HostId &host) const
{
    if (host != m_self && !m_listed.contains(host))
        return false;
    const MemberState state = stateOf(host);
    return state == MemberState::Alive || state == MemberState::Suspect;
}

void Membership::setHosts(std::set<core::HostId> listed)
{
    listed.erase(m_self);
    m_listed = std::move(listed);
    std::erase_if(m_roundTargets,
                  [this](const core::HostId &host) { return !m_listed.contains(host); });
    std::erase_if(m_suspects,
                  [this](const auto &entry) { return !m_listed.contains(entry.first); });
}

MembershipCommands Membership::tick(core::TimePoint now)
{
    MembershipCommands commands;
    handleProcessPause(now);
    if (m_probe && !m_probe->isAnswered && !m_probe->isIndirect
        && now >= m_probe->sentAt + m_limits.directTimeout)
        sendIndirectProbes(commands);
    if (now >= m_nextProbe) {
        evaluateProbe(now);
        startProbe(commands, now);
        m_nextProbe = now + m_limits.probePeriod;
    }
    expireSuspects(now);
    pushUrgentFacts(commands, now);
    return commands;
}

// After a pause of this process, missing replies do not indicate failures of other daemons.
void Membership::handleProcessPause(core::TimePoint now)
{
    const auto previous = std::exchange(m_lastTick, now);
    if (!previous || now - *previous < m_limits.probePeriod)
        return;
    m_probe.reset();
    m_retryTarget.reset();
    for (auto &[host, deadline] : m_suspects)
        deadline += now - *previous;
}

void Membership::sendIndirectProbes(MembershipCommands &commands)
{
    m_probe->isIndirect = true;
    for (core::HostId &via : randomUsable(m_limits.indirectProbes, m_probe->target))
        commands.emplace_back(SendIndirectProbe {std::move(via), m_probe->target, m_probe->number});
}

void Membership::evaluateProbe(core::TimePoint now)
{
    if (!m_probe)
        return;
    const Probe probe = *std::exchange(m_probe, std::nullopt);
    if (probe.isAnswered || !m_listed.contains(probe.target)
        || stateOf(probe.target) != MemberState::Alive)
        return;
    // One lost exchange is common on a lossy network, two in a row are not. Suspecting a healthy
    // daemon costs far more messages than a second probe.
    if (!probe.isRetry) {
        m_retryTarget = probe.target;
        return;
    }
    const Fact fact = memberFact(probe.target, incarnationOf(probe.target), MemberState::Suspect);
    if (m_facts.merge(fact))
        updateSuspicion(fact, now);
}

void Membership::startProbe(MembershipCommands &commands, core::TimePoint now)
{
    const auto retryTarget = std::exchange(m_retryTarget, std::nullopt);
    const auto target = retryTarget ? retryTarget : nextTarget();
    if (!target)
        return;
    m_lastNumber = m_lastNumber.next();
    m_probe = Probe {m_lastNumber, *target, now, retryTarget.has_value()};
    commands.emplace_back(SendProbe {*target, m_lastNumber});
}

std::optional<core::HostId> Membership::nextTarget()
{
    if (m_lastNumber.value() % m_limits.deadProbeInterval == m_limits.deadProbeInterval - 1) {
        std::vector<core::HostId> dead;
        std::ranges::copy_if(m_listed, std::back_inserter(dead), [this](const core::HostId &host) {
            return stateOf(host) == MemberState::Dead;
        });
        if (!dead.empty())
            return dead[m_random() % dead.size()];
    }
    for (int round = 0; round < 2; ++round) {
        while (!m_roundTargets.empty()) {
            core::HostId host = std::move(m_roundTargets.back());
            m_roundTargets.pop_back();
            if (stateOf(host) != MemberState::Dead)
                return host;
        }
        m_roundTargets.assign(m_listed.begin(), m_listed.end());
        std::ranges::shuffle(m_roundTargets, m_random);
    }
    // All listed daemons are considered dead: probe a random one in each period.
    m_roundTargets.clear();
    if (m_listed.empty())
        return std::nullopt;
    auto chosen = m_listed.begin();
    std::advance(chosen, m_random() % m_listed.size());
    return *chosen;
}

std::vector<core::HostId> Membership::randomUsable(std::size_t count, const core::HostId &except)
{
    std::vector<core::HostId> usable;
    std::ranges::copy_if(m_listed, std::back_inserter(usable), [&](const core::HostId &host) {
        return host != except && isUsable(host);
    });
    std::vector<core::HostId> chosen;
    std::ranges::sample(usable, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count),
                        m_random);
    return chosen;
}

void Membership::expireSuspects(core::TimePoint now)
{
    std::vector<core::HostId> expired;
    for (const auto &[host, deadline] : m_suspects)
        if (now >= deadline)
            expired.push_back(host);
    for (const core::HostId &host : expired) {
        m_suspects.erase(host);
        announce(memberFact(host, incarnationOf(host), MemberState::Dead), true);
    }
}

void Membership::pushUrgentFacts(MembershipCommands &commands, core::TimePoint now)
{
    if (!m_hasUrgent || now < m_nextPush)
        return;
    m_hasUrgent = false;
    m_nextPush = now + m_limits.pushPeriod;
    for (core::HostId &target : randomUsable(m_limits.pushFanout, {}))
        commands.emplace_back(PushFacts {std::move(target)});
}

void Membership::probeAnswered(ProbeNumber number)
{
    if (m_probe && m_probe->number == number)
        m_probe->isAnswered = true;
}

std::vector<Fact> Membership::takeOutgoingFacts(const core::HostId &peer)
{
    std::vector<Fact> facts {ownFact()};
    // A daemon that is not alive in this view must receive that state to be able to refute it.
    const Fact *known = m_facts.find(FactKind::Member, subjectOf(peer));
    if (known && stateOfVersion(known->version) != MemberState::Alive)
        facts.push_back(*known);
    const std::size_t maxCount = m_facts.limits().maxPerMessage - facts.size();
    for (Fact &fact : m_facts.take(maxCount, daemonCount()))
        facts.push_back(std::move(fact));
    return facts;
}

bool Membership::isUrgentKind(const Fact &fact)
{
    switch (fact.kind) {
    case FactKind::Member:
        return stateOfVersion(fact.version) >= MemberState::Leaving;
    case FactKind::Generation:
    case FactKind::Quarantine:
    case FactKind::EndpointFailure:
        return true;
    case FactKind::ObjectApi:
        break;
    }
    return false;
}

std::vector<Fact> Membership::mergeFacts(const std::vector<Fact> &facts, core::TimePoint now)
{
    std::vector<Fact> merged;
    for (const Fact &fact : facts) {
        if (fact.kind == FactKind::Member && fact.subject == subjectOf(m_self)) {
            refute(fact.version);
            continue;
        }
        // Every message carries its sender's state, so first contacts are retransmitted only in
        // unused capacity; at the start of a fleet they would otherwise delay other facts.
        const bool isFirstContact = fact.kind == FactKind::Member
            && stateOfVersion(fact.version) == MemberState::Alive && fact.value != refutation
            && !m_facts.find(fact.kind, fact.subject);
        if (!m_facts.merge(fact, isFirstContact ? FactPriority::BestEffort : FactPriority::Normal))
            continue;
        if (fact.kind == FactKind::Member)
            updateSuspicion(fact, now);
        m_hasUrgent = m_hasUrgent || isUrgentKind(fact);
        merged.push_back(fact);
    }
    return merged;
}

void Membership::updateSuspicion(const Fact &fact, core::TimePoint now)
{
    const core::HostId host(fact.subject.value());
    if (stateOfVersion(fact.version) != MemberState::Suspect) {
        m_suspects.erase(host);
        return;
    }
    const auto rounds = static_cast<double>(std::bit_width(daemonCount()));
    const auto time = core::scaled(m_limits.probePeriod, rounds * m_limits.suspicionFactor);
    m_suspects[host] = now + time;
}

void Membership::refute(FactVersion version)
{
    const FactVersion own = memberVersion(m_incarnation, m_ownState);
    if (version > own) {
        m_incarnation = incarnationOfVersion(version).next();
    } else {
        // A suspicion of an older incarnation comes from a daemon that has not received the current
        // one; it is refuted too.
        if (stateOfVersion(version) == MemberState::Alive || version == own)
            return;
        if (!m_hasRefuted)
            m_incarnation = m_incarnation.next();
    }
    m_hasRefuted = true;
    if (!m_facts.merge(ownFact()))
        m_facts.retransmit(FactKind::Member, subjectOf(m_self));
}

bool Membership::announce(const Fact &fact, bool isUrgent)
{
    if (!m_facts.merge(fact))
        return false;
    m_hasUrgent = m_hasUrgent || isUrgent;
    return true;
}

void Membership::leave()
{
    m_ownState = MemberState::Leaving;
    announce(ownFact(), true);
}

} // namespace jackdawlead::decisions
