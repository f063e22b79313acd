#pragma once

#include "decisions/promptparttracker.h"
#include "gateway/crashnews.h"
#include "gateway/endpointpool.h"
#include "gateway/endpointprobe.h"
#include "gateway/fleetwatch.h"
#include "net/timerservice.h"
#include "observability/gatewaymetrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace jackdawlead::gateway {

/// Keeps requests from endpoints that they would crash. Detects crashes of endpoints, records which
/// requests of this daemon were in progress there, and knows which requests and parts of prompts
/// must not reach endpoints, from its own observations and from the coordinator. Thread safety: the
/// event loop's thread only.
class CrashGuard
{
public:
    struct Handlers
    {
        std::function<void()> onReportDue; ///< The coordinator is to be told soon.
        std::function<bool()> isCoordinatorReachable;
        std::function<bool()> hasPeers; ///< Other daemons can be asked what they reach.
        /// An endpoint cannot be connected to. Calls `handler` once it is known whether another
        /// daemon reaches it.
        std::function<void(const core::EndpointId &,
                           std::function<void(bool isReachedByPeer)> handler)>
            confirmFailure;
    };

    CrashGuard(net::EventLoop &loop, net::TimerService &timers, FleetWatch &watch,
               EndpointPool &pool, observability::GatewayMetrics &metrics, Handlers handlers);
    ~CrashGuard();
    CrashGuard(const CrashGuard &) = delete;
    CrashGuard &operator=(const CrashGuard &) = delete;

    /// Why the request must not reach endpoints; empty if it may.
    std::optional<std::string_view> rejectionCause(const decisions::RequestIdentity &request);
    /// The blocked part of the request; nullptr if there is none.
    const core::PromptPartId *blockedPart(const decisions::RequestIdentity &request) const;
    /// Whether a part of the request may be blocked soon.
    bool hasSuspect(const decisions::RequestIdentity &request) const;
    /// Whether the request may be sent again after it may have run.
    bool mayRunAgain(const decisions::RequestIdentity &request) const;

    /// Records that no connection to the endpoint could be opened.
    void recordConnectFailure(const core::EndpointId &id, fleet::StartTime incarnation);
    /// Records that the endpoint sent no valid answer.
    void recordMalformedAnswer(const core::EndpointId &id, fleet::StartTime incarnation);
    /// Records that the connection ended while the endpoint may have run the request.
    void recordBrokenExchange(const core::EndpointId &id, fleet::StartTime incarnation,
                              const decisions::RequestIdentity &request);
    /// Records that the endpoint ran the request, or a part of it, and went on.
    void recordSound(const decisions::RequestIdentity &request);

    /// Returns the news for a report to the coordinator; some are returned only once.
    CrashNews takeNews();
    bool isReportDue() const { return !m_pendingEvidence.empty() || !m_pendingSoundParts.empty(); }
    /// Adds the news of a report that no coordinator processed to the next one.
    void restoreNews(const CrashNews &news);
    /// `isNewCoordinator` if the sender may not know what this daemon reported before.
    void applyFleetNews(const FleetCrashNews &news, bool isNewCoordinator);
    /// States of parts that outlive the daemons.
    std::vector<decisions::PartState> states() const { return m_parts.states(m_timers.now()); }
    void applyStates(const std::vector<decisions::PartState> &states, std::string_view source);

private:
    /// Asks the endpoint over a new connection whether it crashed: a daemon with one request
    /// there would otherwise notice it with its next request only, and connections also break with
    /// the path.
    void verify(const core::EndpointId &id, fleet::StartTime incarnation);
    void handleVerified(const core::EndpointId &id, fleet::StartTime incarnation,
                        EndpointProbe::Result result);
    /// Counts a failed exchange. Several in a row are a crash unless the path is interrupted.
    void recordFailedExchange(const core::EndpointId &id, fleet::StartTime incarnation);
    void recordCrash(const core::EndpointId &id, fleet::StartTime incarnation, bool isNew);
    bool isWarm() const;
    void reportEvidence();
    void handleStateChange();
    void handleDecisions();
    void decideAlone();

    net::EventLoop &m_loop;
    net::TimerService &m_timers;
    FleetWatch &m_watch;
    EndpointPool &m_pool;
    observability::GatewayMetrics &m_metrics;
    Handlers m_handlers;
    decisions::CrashTracker m_crashes;
    decisions::PromptPartTracker m_parts;
    std::set<core::PromptPartId> m_fleetSuspects; ///< Of all daemons, from the coordinator.
    std::vector<decisions::CrashEvidence> m_pendingEvidence;
    std::set<core::PromptPartId> m_pendingSoundParts;
    std::set<core::PromptPartId> m_pendingRequestedParts;
    struct Verification
    {
        std::unique_ptr<EndpointProbe> probe;
        core::TimePoint begunAt;
        net::TimerService::Subscription timeout;
        bool isCrash = false; ///< Several exchanges failed in a row, if the path works.
        bool isNew = false;   ///< The endpoint counted as reachable before.
    };
    std::map<core::EndpointId, Verification> m_verifications;
    core::TimePoint m_startedAt;
    net::TimerService::Subscription m_warmUpTimer;
    net::TimerService::Subscription m_decisionTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
