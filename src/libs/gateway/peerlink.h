#pragma once

#include "gateway/coordinator.h"
#include "gateway/forwardedrequests.h"
#include "gateway/peerdirectory.h"
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

/// Sends reports to the coordinator and receives its views, as JSON-RPC over HTTP between the
/// daemons. Implemented in peerlink.cpp and peerleaserecord.cpp (the lease's record from relays).
/// Thread safety: the event loop's thread only.
class PeerLink
{
public:
    PeerLink(RequestContext &context, http::ControlClient &controlClient,
             StoreTransport &storeTransport, WatchRelay &relay, CoordinatorElection &election,
             PeerDirectory &directory, std::function<void()> onView);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Errors: cannot listen on the internal port.
    absl::Status start(Coordinator &coordinator, ForwardedRequests &forwardedRequests);
    static net::Address addressOf(const fleet::HostSettings &settings);
    /// Schedules a report within some milliseconds, so that new demand doesn't wait for the next
    /// regular one.
    void scheduleDemandReport();
    /// Whether a view of the coordinator was received within the timeout.
    bool isCoordinatorReachable() const;
    /// Whether loads are possible or, shortly after the start, may become possible with the first
    /// view of a coordinator. Precondition: start() was called.
    bool isLoadingPossibleSoon() const;
    /// Returns the address of a daemon that communicates with this one, if there is one.
    std::optional<net::Address> reachablePeer() const;
    /// Estimates the time until a successor of the coordinator may issue its first order.
    core::Duration remainingFailoverTime() const;
    /// Sends a view to another daemon.
    void sendView(const net::Address &peer, const PeerView &view);

    /// Whether the daemon started recently and has received no view of a coordinator yet.
    bool isAwaitingFirstCoordinator() const;
    /// The address of the coordinator; empty if none is known or if it is this daemon.
    std::optional<net::Address> coordinatorElsewhere() const;

private:
    static constexpr char leaseRecordPath[] = "/lease-record";

    /// Adds demand that no coordinator received to the next report, because adapters without demand
    /// are not loaded. Only while the first coordinator is awaited, which bounds the collected
    /// demand.
    void restoreDemand(const std::unordered_map<fleet::AdapterKey, int> &demand);
    void serveWatch(const std::shared_ptr<http::ServerExchange> &exchange);
    void serveLeaseRecord(http::ServerExchange &exchange) const;
    /// Reads the record of the lease from a relay that has it, otherwise from the store.
    void readLeaseRecord(CoordinatorElection::RecordHandler handler);
    void applyContents(const PeerView &view);
    void applyLoads(const PeerView &view);
    void applyRelays(const PeerView &view);
    void applyForwarders(const PeerView &view);
    void serveForwardedCall(const std::shared_ptr<http::ServerExchange> &exchange);
    void bindMethods(Coordinator &coordinator);
    /// Builds a report; removes from the context what is reported only once.
    PeerReport makeReport(bool isViewRequested);
    void sendReport(bool isViewRequested);
    /// Applies the view of a reply; returns false if no coordinator processed the report.
    bool applyReply(const std::string &body);
    void sendDueReports();
    /// Adds the content of a report that no coordinator processed to the next one.
    void restoreReport(const PeerReport &report);
    void scheduleReport();
    void applyView(const PeerView &view);

    RequestContext &m_context;
    http::ControlClient &m_controlClient;
    StoreTransport &m_storeTransport;
    WatchRelay &m_relay;
    CoordinatorElection &m_election;
    PeerDirectory &m_directory;
    std::function<void()> m_onView;
    Coordinator *m_coordinator = nullptr;
    std::unique_ptr<http::Server> m_server;
    rpc::RpcDispatcher m_dispatcher;
    bool m_isReporting = false;
    bool m_acceptsDemandReports = false; ///< The coordinator supports reports of demand only.
    bool m_isViewDue = false;        ///< A regular report waits for the response to another report.
    bool m_isDemandDue = false;      ///< A demand report waits for the response to another report.
    core::TimePoint m_lastReportAt;  ///< When the last report was sent.
    core::Duration m_demandPause {}; ///< Minimum time from the last report to a demand report.
    core::TimePoint m_startedAt;
    core::TimePoint m_lastViewAt; ///< The clock's epoch until a coordinator's view was received.
    std::uint64_t m_knownRevision = 0;
    core::FencingToken m_coordinatorToken;
    net::TimerService::Subscription m_reportTimer;
    net::TimerService::Subscription m_demandTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
