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
                http::ControlClient &caller, FleetWatch &watch, CoordinatorElection &lease,
                observability::GatewayMetrics &metrics, observability::EventLoopProfiler &work,
                const decisions::RequestCostEstimator &cost, ViewSender sendView);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    void start();
    /// Takes a report and returns what its sender does not know yet.
    PeerView handleReport(const PeerReport &report);
    /// Reading and answering the last report took this long.
    void recordReportDuration(core::Duration time)
    {
        m_pace.recordReportDuration(m_lastReport, time);
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
        bool isInTouch = true; ///< With the store.
        core::TimePoint heardAt;
        std::map<core::EndpointId, double> load; ///< What it occupies there, in slots.
        std::map<core::EndpointId, std::vector<fleet::AdapterKey>> inUse;
        /// Loads of these adapters are told at once.
        std::unordered_map<fleet::AdapterKey, decisions::WaitingCount> waiting;
        std::uint64_t knownRevision = 0;
        EndpointsDigest endpoints {};          ///< Of those that it knows.
        std::vector<core::EndpointId> resting; ///< Want nothing from it now.
        bool isViewDue = false;                ///< An adapter is being loaded that it waits for.
    };

    struct LeavingNews
    {
        fleet::StartTime startTime {}; ///< The life of the endpoint that leaves.
        core::TimePoint heardAt;
    };

    void tick();
    void writeSummary();
    void becomeHolder();
    void sumLoads();
    void joinInUse();
    void planSoon();
    void giveOrders();
    decisions::WaitingCounts waitingRequests() const;
    void give(const decisions::PlannedOrder &planned, int sends);
    void orderAnswered(const decisions::PlannedOrder &planned, decisions::OrderOutcome end,
                       int status, core::TimePoint sentAt, int sends);
    void askReports();
    void tellLoad(const decisions::PlannedOrder &planned);
    void chooseRelays();
    void noteLeaving(const core::EndpointId &id, const http::Response &answer);
    void leavingTold(const core::EndpointId &id, fleet::StartTime startTime);
    std::string addressOf(const core::HostId *relay) const;
    void sendDueViews();
    /// Who gives orders, who reports how often, and what endpoints and requests did lately.
    PeerView noticesFor(const Daemon &daemon) const;
    /// What changed since the daemon was told last, without loads.
    PeerView changesFor(Daemon &daemon);
    /// The same with loads.
    PeerView viewFor(Daemon &daemon);
    void noteContents();
    decisions::EndpointContents contentsOf(const core::EndpointId &id) const;

    const fleet::HostSettings &m_settings;
    net::TimerService &m_timers;
    http::ControlClient &m_caller;
    FleetWatch &m_watch;
    CoordinatorElection &m_lease;
    observability::GatewayMetrics &m_metrics;
    observability::EventLoopProfiler &m_work;
    const decisions::RequestCostEstimator &m_cost; ///< As this daemon's own requests tell.
    ViewSender m_sendView;
    decisions::AdapterPlanner m_planner;
    std::map<core::HostId, Daemon> m_daemons;
    decisions::CrashTracker m_crashes; ///< Collects what daemons tell, to tell it to all.
    std::map<core::EndpointId, double> m_load;
    std::map<core::EndpointId, LeavingNews> m_leaving; ///< Heard lately, to tell it to all.
    decisions::RelaySelector m_relays;
    decisions::ReportPace m_pace;
    decisions::ReportPace::Kind m_lastReport = decisions::ReportPace::Kind::Regular;
    decisions::ContentsHistory m_contents;
    std::uint64_t m_notedRevision = 0; ///< Up to which m_contents follows the planner.
    std::set<core::EndpointId> m_reportsAsked;
    bool m_wasHolder = false;
    core::FencingToken m_token;
    core::TimePoint m_holderSince;
    net::TimerService::Subscription m_timer;
    net::TimerService::Subscription m_soon;
    net::TimerService::Subscription m_tell;
    core::TimePoint m_tickDueAt;
    core::TimePoint m_lastSummary;
    core::TimePoint m_lastPlanEnded;
    core::Duration m_lastPlanTook {};
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
