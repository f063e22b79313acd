#pragma once

#include "decisions/adapterplanner.h"
#include "decisions/contentshistory.h"
#include "decisions/permitissuer.h"
#include "decisions/relayselector.h"
#include "decisions/reportpace.h"
#include "decisions/requestcostestimator.h"
#include "fleet/hostsettings.h"
#include "gateway/coordinatorelection.h"
#include "gateway/crashcollector.h"
#include "gateway/customers/customerreadiness.h"
#include "gateway/customers/quotacoordinator.h"
#include "gateway/customers/quotamessages.h"
#include "gateway/fleetwatch.h"
#include "gateway/peermessages.h"
#include "gateway/ratelimits.h"
#include "gateway/streamcollector.h"
#include "http/controlclient.h"
#include "observability/eventloopprofiler.h"
#include "observability/gatewaymetrics.h"
#include "platform/endpointcodec.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace jackdawlead::gateway {

/// Collects the daemons' reports, orders endpoints to load and unload models and adapters, and
/// sends views of the endpoints' contents to the daemons. Active only on the daemon that holds the
/// lease for orders. Implemented in coordinator.cpp (reports, plans and orders),
/// coordinatorlimits.cpp (request limits, daemons that do not check keys) and coordinatorviews.cpp
/// (what the daemons receive). Thread safety: the event loop's thread only.
class Coordinator
{
public:
    /// Sends a view to a daemon without waiting for its next report.
    using ViewSender = std::function<void(const net::Address &, const PeerView &)>;

    Coordinator(const fleet::HostSettings &settings, net::TimerService &timers,
                http::ControlClient &controlClient, FleetWatch &watch, RateLimits &limits,
                CoordinatorElection &election, observability::GatewayMetrics &metrics,
                observability::EventLoopProfiler &profiler,
                const decisions::RequestCostEstimator &requestCost, ViewSender sendView);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    void start();
    /// Processes a report and returns the changes that its sender has not received yet.
    PeerView handleReport(const PeerReport &report);
    /// Answers a daemon's call for allowances; empty if this daemon is not the coordinator.
    std::optional<decisions::quota::QuotaAnswer> handleQuotaCall(const customers::QuotaCall &call);
    /// Records how long decoding and answering the last report took.
    void recordReportDuration(core::Duration time)
    {
        m_pace.recordReportDuration(m_lastReportKind, time);
    }
    /// Returns the address of another daemon that reported within the timeout, if there is one.
    std::optional<net::Address> anyLiveDaemon() const;
    /// The hosts of the daemons that report, this one included; empty until it has been the
    /// coordinator for `time`.
    std::set<core::HostId> hostsAfter(core::Duration time) const;
    void updateEndpoint(const fleet::Endpoint &endpoint);
    void removeEndpoint(const core::EndpointId &id);
    void setAnnouncedVersion(const fleet::AnnouncedVersion &version);
    void applyConfiguration();
    /// State that the lease's record keeps for a successor.
    CoordinatorElection::SharedState quotaHolders();

private:
    struct Daemon
    {
        net::Address address;
        core::FailureDomainId domain;
        core::RegionId region;
        double availableCores = 1;
        bool isStoreReachable = true;
        bool sendsForOthers = false;
        bool understandsCustomers = false;
        core::TimePoint reportedAt;
        std::map<core::EndpointId, double> load; ///< Slots that this daemon's requests occupy.
        std::map<core::EndpointId, std::vector<fleet::AdapterKey>> inUse;
        /// Requests that wait for an adapter; its load is reported to the daemon immediately.
        std::unordered_map<fleet::AdapterKey, decisions::WaitingCount> waiting;
        std::set<fleet::PinnedAdapter> pinned; ///< Needed at a certain software version.
        std::uint64_t knownRevision = 0;
        EndpointsDigest endpoints {};                     ///< Of the endpoints known to the daemon.
        std::vector<core::EndpointId> endpointsInBackoff; ///< Accept no requests from the daemon.
        std::vector<std::string> forwarders;
        bool isViewDue = false; ///< An adapter that its requests wait for is being loaded.
    };

    struct LeavingEndpoint
    {
        fleet::StartTime startTime {}; ///< Identifies the incarnation that is leaving.
        core::TimePoint reportedAt;
    };

    void tick();
    void writeSummary();
    void becomeHolder();
    void updateLoads();
    /// Warns of daemons that do not check keys although the configuration lists customers.
    void updateReadiness();
    void mergeAdaptersInUse();
    void schedulePlanning();
    void issueOrders();
    decisions::WaitingCounts waitingRequests() const;
    std::set<fleet::PinnedAdapter> pinnedAdapters() const;
    void sendOrder(const decisions::PlannedOrder &planned, int sends);
    void handleOrderResponse(const decisions::PlannedOrder &planned,
                             decisions::OrderOutcome outcome, int status, core::TimePoint sentAt,
                             int sends);
    void requestReports();
    void scheduleViewsForLoad(const decisions::PlannedOrder &planned);
    void scheduleViewsForAll();
    void updateRelays();
    /// Applies what a response says about the endpoint itself.
    void applyEndpointState(const core::EndpointId &id, const http::Response &response,
                            core::TimePoint sentAt);
    void updateRequestLimits();
    void updatePlannerLimit(const core::EndpointId &id);
    /// Counts a message of the coordinator itself. The planner learns of it at once, because it may
    /// plan several times between two ticks.
    void takePermit(const core::EndpointId &id);
    std::map<core::EndpointId, decisions::PermitGrant> issuePermits(const PeerReport &report);
    void recordLeavingEndpoint(const core::EndpointId &id, fleet::StartTime startTime);
    std::string addressOf(const core::HostId *relay) const;
    /// Selects for each daemon those that can send requests for it, after a change of the daemons
    /// or of what they reach.
    void updateForwarders();
    void sendDueViews();
    /// Returns a view without contents and loads: coordinator, relays, report intervals, recent
    /// crashes and leaving endpoints.
    PeerView baseViewFor(const Daemon &daemon) const;
    /// Returns the base view with the contents that changed since the daemon's known revision.
    PeerView contentsViewFor(Daemon &daemon);
    /// Returns the contents view with the loads of all endpoints.
    PeerView fullViewFor(const core::HostId &host, Daemon &daemon);
    void updateContentsHistory();
    decisions::EndpointContents contentsOf(const core::EndpointId &id) const;

    const fleet::HostSettings &m_settings;
    net::TimerService &m_timers;
    http::ControlClient &m_controlClient;
    FleetWatch &m_watch;
    RateLimits &m_limits; ///< Known to this daemon from any source.
    decisions::PermitIssuer m_permitIssuer;
    CoordinatorElection &m_election;
    observability::GatewayMetrics &m_metrics;
    observability::EventLoopProfiler &m_profiler;
    const decisions::RequestCostEstimator &m_requestCost; ///< From this daemon's own requests.
    ViewSender m_sendView;
    decisions::AdapterPlanner m_planner;
    std::map<core::HostId, Daemon> m_daemons;
    customers::CustomerReadiness m_readiness;
    CrashCollector m_crashes;
    customers::QuotaCoordinator m_quotas;
    StreamCollector m_streams;
    std::map<core::EndpointId, double> m_totalLoad;
    /// Recently reported by any daemon, sent to all daemons.
    std::map<core::EndpointId, LeavingEndpoint> m_leavingEndpoints;
    decisions::RelaySelector m_relays;
    bool m_areForwardersOutdated = false;
    decisions::ReportPace m_pace;
    decisions::ReportPace::Kind m_lastReportKind = decisions::ReportPace::Kind::Regular;
    decisions::ContentsHistory m_contents;
    std::uint64_t m_contentsRevision = 0; ///< The planner's revision that m_contents reflects.
    std::set<core::EndpointId> m_pendingReports;
    bool m_wasHolder = false;
    core::FencingToken m_token;
    core::TimePoint m_holderSince;
    net::TimerService::Subscription m_tickTimer;
    net::TimerService::Subscription m_planTimer;
    net::TimerService::Subscription m_viewTimer;
    core::TimePoint m_tickDueAt;
    core::TimePoint m_lastSummaryAt;
    core::TimePoint m_lastPlanEndedAt;
    core::Duration m_lastPlanDuration {};
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
