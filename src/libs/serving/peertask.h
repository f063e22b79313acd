#pragma once

#include "decisions/membership.h"
#include "serving/context.h"
#include "serving/fleettask.h"
#include "serving/fleetview.h"
#include "serving/peerclient.h"
#include "serving/peerserver.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace jackdawlead::serving {

/// Probes the other daemons, passes facts on, and publishes the host list without the daemons that
/// probes have removed; those that announced their stop are marked as leaving.
/// Thread safety: the loop's thread only.
class PeerTask
{
public:
    struct Subscribers
    {
        std::function<void(FleetTask::ViewPtr)> viewChanged;
        /// A fact that was not known before.
        std::function<void(const decisions::Fact &)> mergeFact;
        /// Another daemon has this generation in force.
        std::function<void(core::Generation, const core::HostId &)> generationSeen;
    };

    PeerTask(Context &context, Subscribers subscribers);

    void start();
    /// Ends the probes of this daemon; calls of others are still answered.
    void stop() { m_tick.cancel(); }
    /// A new host list, as the platform gave it.
    void fleetChanged(FleetTask::ViewPtr listed);
    /// Tells the others of the generation that is in force here.
    void announceGeneration(core::Generation generation);
    /// Spreads a fact of this daemon; urgent facts are pushed at once.
    void announce(const decisions::Fact &fact, bool isUrgent);
    /// Tells the others that this daemon is stopping.
    void announceLeaving();

    /// The peer address of a listed daemon.
    std::optional<net::Address> addressOf(const core::HostId &host) const;
    /// The other usable daemons of this region.
    std::vector<core::HostId> usableInRegion() const;
    PeerClient &client() { return m_client; }
    PeerServer &server() { return m_server; }
    const decisions::Membership &membership() const { return m_membership; }

private:
    void bindMethods();
    void tick();
    void carryOut(const decisions::SendProbe &command);
    void carryOut(const decisions::SendIndirectProbe &command);
    void carryOut(const decisions::PushFacts &command);
    void exchange(const core::HostId &peer, std::function<void()> answered);
    nlohmann::json message(const core::HostId &peer);
    absl::Status messageReceived(const nlohmann::json &message, const core::HostId &from);
    absl::StatusOr<nlohmann::json> answerExchange(const nlohmann::json &params);
    absl::StatusOr<nlohmann::json> answerProbeFor(const nlohmann::json &params);
    void publish();

    Context &m_context;
    Subscribers m_subscribers;
    PeerClient m_client;
    PeerServer m_server;
    decisions::Membership m_membership;
    core::Generation m_generation;
    FleetTask::ViewPtr m_listed;
    FleetTask::ViewPtr m_publishedFrom;
    std::map<core::HostId, decisions::MemberState> m_departed; ///< Of the published view.
    net::TimerService::Subscription m_tick;
};

} // namespace jackdawlead::serving
