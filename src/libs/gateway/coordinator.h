#pragma once

#include "decisions/adapterplanner.h"
#include "decisions/contentshistory.h"
#include "decisions/relayselector.h"
#include "decisions/reportpace.h"
#include "decisions/requestcostestimator.h"
#include "fleet/hostsettings.h"
#include "gateway/coordinatorelection.h"
#include "gateway/fleetwatch.h"
#include "gateway/peermessages.h"
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

/// The duties of the one daemon that gives orders: takes the daemons' reports, has models and
/// adapters loaded, and tells the daemons what endpoints hold. Idle on all others.
/// Thread safety: the loop's thread only.
class Coordinator
{
public:
    /// Sends a view to a daemon that waits for it.
    using ViewSender = std::function<void(const net::Address &, const PeerView &)>;

    Coordinator(const fleet::HostSettings &settings, net::TimerService &timers,
                http::ControlClient &controlClient, FleetWatch &watch,
                CoordinatorElection &election, observability::GatewayMetrics &metrics,
                observability::EventLoopProfiler &profiler,
                const decisions::RequestCostEstimator &requestCost, ViewSender sendView);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    void start();
    /// Takes a report and returns what its sender does not know yet.
    PeerView handleReport(const PeerReport &report);
    /// Reading and answering the last report took this long.
    void recordReportDuration(core::Duration time)
    {
        m_pace.recordReportDuration(m_lastReportKind, time);
    }
    /// The address of a daemon that reported lately; none if there is none but this one.
    std::optional<net::Address> anyLiveDaemon() const;
    void updateEndpoint(const fleet::Endpoint &endpoint);
    void removeEndpoint(const core::EndpointId &id);
    void setAnnouncedVersion(const fleet::AnnouncedVersion &version);
    void applyConfiguration();

private:
    struct Daemon
    {
        net::Address address;
        core::FailureDomainId domain;
        core::RegionId region;
        double availableCores = 1;
        bool isStoreReachable = true; ///< With the store.
        core::TimePoint reportedAt;
        std::map<core::EndpointId, double> load; ///< What it occupies there, in slots.
        std::map<core::EndpointId, std::vector<fleet::AdapterKey>> inUse;
        /// Loads of these adapters are told at once.
        std::unordered_map<fleet::AdapterKey, decisions::WaitingCount> waiting;
        std::uint64_t knownRevision = 0;
        EndpointsDigest endpoints {};                     ///< Of those that it knows.
        std::vector<core::EndpointId> endpointsInBackoff; ///< Want nothing from it now.
        bool isViewDue = false; ///< An adapter is being loaded that it waits for.
    };

    struct LeavingEndpoint
    {
        fleet::StartTime startTime {}; ///< The life of the endpoint that leaves.
        core::TimePoint reportedAt;
    };

    void tick();
    void writeSummary();
    void becomeHolder();
    void updateLoads();
    void mergeAdaptersInUse();
    void schedulePlanning();
    void issueOrders();
    decisions::WaitingCounts waitingRequests() const;
    void sendOrder(const decisions::PlannedOrder &planned, int sends);
    void handleOrderResponse(const decisions::PlannedOrder &planned,
                             decisions::OrderOutcome outcome, int status, core::TimePoint sentAt,
                             int sends);
    void requestReports();
    void scheduleViewsForLoad(const decisions::PlannedOrder &planned);
    void updateRelays();
    void detectLeaving(const core::EndpointId &id, const http::Response &response);
    void recordLeavingEndpoint(const core::EndpointId &id, fleet::StartTime startTime);
    std::string addressOf(const core::HostId *relay) const;
    void sendDueViews();
    /// Who gives orders, who reports how often, and what endpoints and requests did lately.
    PeerView baseViewFor(const Daemon &daemon) const;
    /// What changed since the daemon was told last, without loads.
    PeerView contentsViewFor(Daemon &daemon);
    /// The same with loads.
    PeerView fullViewFor(Daemon &daemon);
    void updateContentsHistory();
    decisions::EndpointContents contentsOf(const core::EndpointId &id) const;

    const fleet::HostSettings &m_settings;
    net::TimerService &m_timers;
    http::ControlClient &m_controlClient;
    FleetWatch &m_watch;
    CoordinatorElection &m_election;
    observability::GatewayMetrics &m_metrics;
    observability::EventLoopProfiler &m_profiler;
    const decisions::RequestCostEstimator &m_requestCost; ///< As this daemon's own requests tell.
    ViewSender m_sendView;
    decisions::AdapterPlanner m_planner;
    std::map<core::HostId, Daemon> m_daemons;
    decisions::CrashTracker m_crashes; ///< Collects what daemons tell, to tell it to all.
    std::map<core::EndpointId, double> m_totalLoad;
    std::map<core::EndpointId, LeavingEndpoint>
        m_leavingEndpoints; ///< Heard lately, to tell it to all.
    decisions::RelaySelector m_relays;
    decisions::ReportPace m_pace;
    decisions::ReportPace::Kind m_lastReportKind = decisions::ReportPace::Kind::Regular;
    decisions::ContentsHistory m_contents;
    std::uint64_t m_contentsRevision = 0; ///< Up to which m_contents follows the planner.
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
