#pragma once

#include "core/time.h"
#include "decisions/factstore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace jackdawlead::decisions {

/// Ordered by precedence: a later state overrides an earlier one of the same incarnation.
enum class MemberState : std::uint8_t { Alive, Suspect, Leaving, Dead };

using Incarnation = core::SequenceNumber<struct IncarnationTag>;
using ProbeNumber = core::SequenceNumber<struct ProbeNumberTag>;

/// The version of a Member fact: increases with the incarnation, and within it with the state.
FactVersion memberVersion(Incarnation incarnation, MemberState state);
MemberState stateOfVersion(FactVersion version);
Incarnation incarnationOfVersion(FactVersion version);

struct MembershipLimits
{
    core::Duration probePeriod = std::chrono::seconds(1);
    /// After this time without a reply, other daemons receive requests to probe the same daemon.
    core::Duration directTimeout = std::chrono::milliseconds(400);
    std::size_t indirectProbes = 2;
    /// A suspect is considered dead after this many probe periods times log2 of the number of
    /// daemons without a refutation: the time in which a fact reaches all daemons.
    double suspicionFactor = 1.0;
    /// Each nth probe targets a listed daemon that is considered dead, so that both sides detect a
    /// healed partition.
    std::uint64_t deadProbeInterval = 5;
    std::size_t pushFanout = 3;
    /// Bounds the traffic of urgent facts when many occur together.
    core::Duration pushPeriod = std::chrono::milliseconds(500);
};

/// Probe `target`; call probeAnswered() when it replies.
struct SendProbe
{
    core::HostId target;
    ProbeNumber number;
};

/// Request a probe of `target` from `via`; call probeAnswered() when `via` reports a reply.
struct SendIndirectProbe
{
    core::HostId via;
    core::HostId target;
    ProbeNumber number;
};

/// Send the facts of takeOutgoingFacts() to `target` at once.
struct PushFacts
{
    core::HostId target;
};

using MembershipCommand = std::variant<SendProbe, SendIndirectProbe, PushFacts>;
using MembershipCommands = std::vector<MembershipCommand>;

/// One daemon's view of the other daemons, and the facts that it disseminates (SWIM). Only daemons
/// of the host list are members; probes detect failed ones before the host list does. Thread
/// safety: one thread at a time.
class Membership
{
public:
    /// `incarnation` must be higher than that of an earlier process on the same host.
    Membership(core::HostId self, Incarnation incarnation, MembershipLimits limits,
               FactLimits factLimits, std::uint64_t seed);

    /// Sets the daemons of the host list; this daemon's own entry is ignored.
    void setHosts(std::set<core::HostId> listed);
    /// Must be called several times in a probe period.
    MembershipCommands tick(core::TimePoint now);
    /// The target of the probe replied, to this daemon or to one that probed it on request.
    void probeAnswered(ProbeNumber number);
    /// Returns the facts for a message to `peer`, this daemon's own state first.
    std::vector<Fact> takeOutgoingFacts(const core::HostId &peer);
    /// Merges the facts of a message; returns those that were new.
    std::vector<Fact> mergeFacts(const std::vector<Fact> &facts, core::TimePoint now);
    /// Disseminates a fact of this daemon; urgent facts are pushed at the next tick. Returns
    /// whether it is newer than the known version.
    bool announce(const Fact &fact, bool isUrgent);
    /// Announces that this daemon is leaving.
    void leave();

    /// Returns Alive for a listed daemon without a known state.
    MemberState stateOf(const core::HostId &host) const;
    /// Whether the daemon may receive requests or ownership: listed, and neither leaving nor dead.
    bool isUsable(const core::HostId &host) const;
    const FactStore &facts() const { return m_facts; }

private:
    struct Probe
    {
        ProbeNumber number;
        core::HostId target;
        core::TimePoint sentAt;
        bool isRetry = false;
        bool isIndirect = false;
        bool isAnswered = false;
    };

    static bool isUrgentKind(const Fact &fact);
    Fact ownFact() const;
    Fact memberFact(const core::HostId &host, Incarnation incarnation, MemberState state) const;
    Incarnation incarnationOf(const core::HostId &host) const;
    void updateSuspicion(const Fact &fact, core::TimePoint now);
    void refute(FactVersion version);
    void handleProcessPause(core::TimePoint now);
    void sendIndirectProbes(MembershipCommands &commands);
    void evaluateProbe(core::TimePoint now);
    void startProbe(MembershipCommands &commands, core::TimePoint now);
    void expireSuspects(core::TimePoint now);
    void pushUrgentFacts(MembershipCommands &commands, core::TimePoint now);
    std::optional<core::HostId> nextTarget();
    std::vector<core::HostId> randomUsable(std::size_t count, const core::HostId &except);
    std::size_t daemonCount() const { return m_listed.size() + 1; }

    core::HostId m_self;
    Incarnation m_incarnation;
    MemberState m_ownState = MemberState::Alive;
    bool m_hasRefuted = false;
    MembershipLimits m_limits;
    FactStore m_facts;
    std::mt19937_64 m_random;
    std::set<core::HostId> m_listed;
    std::vector<core::HostId> m_roundTargets; ///< Targets that were not probed in this round yet.
    std::map<core::HostId, core::TimePoint> m_suspects; ///< When each is considered dead.
    std::optional<Probe> m_probe;
    std::optional<core::HostId> m_retryTarget; ///< Did not reply to its last probe.
    ProbeNumber m_lastNumber;
    std::optional<core::TimePoint> m_lastTick;
    core::TimePoint m_nextProbe;
    core::TimePoint m_nextPush;
    bool m_hasUrgent = false;
};

} // namespace jackdawlead::decisions
