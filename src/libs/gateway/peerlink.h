#pragma once

#include "gateway/coordinator.h"
#include "gateway/requestcontext.h"
#include "gateway/storetransport.h"
#include "gateway/watchrelay.h"
#include "http/controlclient.h"
#include "http/server.h"
#include "rpc/rpccodec.h"

#include <functional>
#include <memory>
#include <optional>

namespace jackdawlead::gateway {

/// Carries reports to the coordinator and views back, as JSON-RPC over HTTP between the
/// daemons. Thread safety: the loop's thread only.
class PeerLink
{
public:
    PeerLink(RequestContext &context, http::ControlClient &controlClient,
             StoreTransport &storeTransport, WatchRelay &relay, CoordinatorElection &election,
             std::function<void()> onView);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Errors: no internal port can be listened on.
    absl::Status start(Coordinator &coordinator);
    static net::Address addressOf(const fleet::HostSettings &settings);
    /// Reports within some milliseconds, so that new demand need not wait for the next turn.
    void scheduleDemandReport();
    /// Whether the coordinator answered lately.
    bool isCoordinatorReachable() const;
    /// Whether loads are possible or, shortly after the start, may be as soon as the first
    /// coordinator is heard. Precondition: start() was called.
    bool isLoadingPossibleSoon() const;
    /// A daemon that is in touch with this one; none if there is none.
    std::optional<net::Address> reachablePeer() const;
    /// How long it takes until a successor of the coordinator may give its first order.
    core::Duration remainingFailoverTime() const;
    /// Sends a view to another daemon.
    void sendView(const net::Address &peer, const PeerView &view);

private:
    /// Whether the daemon started lately and has heard no coordinator yet.
    bool isAwaitingFirstCoordinator() const;
    /// Adds demand that no coordinator took to the next report, since adapters without demand are
    /// not loaded. Only until the first coordinator is due, which bounds what is collected.
    void restoreDemand(const std::unordered_map<fleet::AdapterKey, int> &demand);
    void serveWatch(const std::shared_ptr<http::ServerExchange> &exchange);
    void serveLeaseRecord(http::ServerExchange &exchange) const;
    /// Reads the record of the lease at the relay if there is one that has it, else at the store.
    void readLeaseRecord(CoordinatorElection::RecordHandler handler);
    void applyContents(const PeerView &view);
    void applyLoads(const PeerView &view);
    void applyRelays(const PeerView &view);
    void serveForwardedCall(const std::shared_ptr<http::ServerExchange> &exchange);
    void bindMethods(Coordinator &coordinator);
    /// What this daemon has to tell; what is told once is taken from the context.
    PeerReport makeReport(bool isViewRequested);
    void sendReport(bool isViewRequested);
    /// Takes the view of a reply; returns false if no coordinator took the report.
    bool applyReply(const std::string &body);
    void sendDueReports();
    /// Adds what a report that no coordinator took has told to the next one.
    void restoreReport(const PeerReport &report);
    void scheduleReport();
    void applyView(const PeerView &view);

    RequestContext &m_context;
    http::ControlClient &m_controlClient;
    StoreTransport &m_storeTransport;
    WatchRelay &m_relay;
    CoordinatorElection &m_election;
    std::function<void()> m_onView;
    Coordinator *m_coordinator = nullptr;
    std::unique_ptr<http::Server> m_server;
    rpc::RpcDispatcher m_dispatcher;
    bool m_isReporting = false;
    bool m_acceptsDemandReports
        = false;                     ///< The coordinator tells reports of demand from regular ones.
    bool m_isViewDue = false;        ///< A regular report waits for the answer to another one.
    bool m_isDemandDue = false;      ///< The same for one of new demand.
    core::TimePoint m_lastReportAt;  ///< When the last report was sent.
    core::Duration m_demandPause {}; ///< The least time until one of new demand.
    core::TimePoint m_startedAt;
    core::TimePoint m_lastViewAt; ///< The clock's epoch until one was heard.
    std::uint64_t m_knownRevision = 0;
    core::FencingToken m_coordinatorToken;
    net::TimerService::Subscription m_reportTimer;
    net::TimerService::Subscription m_demandTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
