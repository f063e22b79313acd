#include "gateway/coordinator.h"

#include "decisions/forwarderselection.h"

#include <utility>

namespace jackdawlead::gateway {

namespace {

// Added to the report interval for reports that are still in flight.
constexpr core::Duration daemonCountMargin = std::chrono::milliseconds(250);
// Combines loads that are accepted together: most daemons have requests that wait for a popular
// adapter, and tens of copies of it are loaded at the same time.
constexpr core::Duration viewDelay = std::chrono::milliseconds(20);
// An endpoint refuses a request that arrives before its adapter is loaded, so requests are held
// back for this time after the expected end of the load.
constexpr core::Duration loadMargin = std::chrono::milliseconds(30);
// Enough that some of them reach the endpoints when most daemons have lost their links at once.
constexpr std::size_t forwardersPerDaemon = 6;

} // namespace

std::string Coordinator::addressOf(const core::HostId *relay) const
{
    const auto found = relay == nullptr ? m_daemons.end() : m_daemons.find(*relay);
    return found == m_daemons.end() ? std::string() : found->second.address.toString();
}

std::set<core::HostId> Coordinator::hostsAfter(core::Duration time) const
{
    std::set<core::HostId> hosts;
    if (!m_wasHolder || m_timers.now() - m_holderSince < time)
        return hosts;
    hosts.insert(m_settings.host);
    for (const auto &[host, daemon] : m_daemons)
        hosts.insert(host);
    return hosts;
}

PeerView Coordinator::fullViewFor(const core::HostId &host, Daemon &daemon)
{
    PeerView view = contentsViewFor(daemon);
    view.hasLoad = true;
    const auto &endpoints = m_watch.endpoints();
    const EndpointsDigest known = digestOf(endpoints);
    if (daemon.endpoints != known) {
        view.load = m_totalLoad;
        return view;
    }
    view.endpoints = known;
    // The parts of endpoints would be too large while some daemons have not reported yet; what the
    // previous coordinator stated stays in use until then.
    if (view.isCounted)
        view.streams = m_streams.viewFor(host, endpoints);
    view.loadsInIdOrder.reserve(endpoints.size());
    for (const auto &[id, endpoint] : endpoints) {
        const auto load = m_totalLoad.find(id);
        view.loadsInIdOrder.push_back(load == m_totalLoad.end() ? 0 : load->second);
    }
    return view;
}

void Coordinator::updateForwarders()
{
    if (!std::exchange(m_areForwardersOutdated, false))
        return;
    std::vector<decisions::ForwarderCandidate> candidates;
    for (const auto &[host, daemon] : m_daemons) {
        if (daemon.sendsForOthers)
            candidates.push_back({host, daemon.domain});
    }
    for (auto &[host, daemon] : m_daemons) {
        daemon.forwarders.clear();
        for (const core::HostId &forwarder : decisions::selectForwarders(
                 {host, daemon.domain}, candidates, m_settings.regions, forwardersPerDaemon))
            daemon.forwarders.push_back(m_daemons.at(forwarder).address.toString());
    }
}

PeerView Coordinator::baseViewFor(const Daemon &daemon) const
{
    PeerView view;
    view.hasLoad = false;
    view.relayAddress = addressOf(m_relays.relayOf(daemon.domain));
    view.spareRelayAddress = addressOf(m_relays.spareRelayOf(daemon.domain, m_settings.regions));
    view.isCoordinator = true;
    view.token = m_token;
    view.since = daemon.knownRevision;
    view.revision = daemon.knownRevision;
    view.daemonCount = static_cast<int>(m_daemons.size());
    view.isCounted
        = m_timers.now() - m_holderSince > decisions::ReportPace::maxPeriod + daemonCountMargin;
    view.reportPeriod = m_pace.period(view.daemonCount);
    view.demandPause = m_pace.demandPause(view.daemonCount);
    view.forwarders = daemon.forwarders;
    view.crashes = m_crashes.news(m_timers.now());
    for (const auto &[id, leavingEndpoint] : m_leavingEndpoints)
        view.leaving[id] = leavingEndpoint.startTime;
    view.limits = m_limits.known().all();
    view.areIssuingPermits = true;
    return view;
}

/// Assumes that the daemon receives the view; a daemon that missed it states its older revision in
/// its next report.
PeerView Coordinator::contentsViewFor(Daemon &daemon)
{
    daemon.isViewDue = false;
    PeerView view = baseViewFor(daemon);
    view.revision = m_planner.revision();
    updateContentsHistory();
    view.contents = m_contents.changesSince(daemon.knownRevision);
    daemon.knownRevision = view.revision;
    return view;
}

void Coordinator::updateContentsHistory()
{
    // Reports arrive several times as often as contents change.
    if (std::exchange(m_contentsRevision, m_planner.revision()) == m_planner.revision())
        return;
    for (const auto &[id, state] : m_planner.endpoints()) {
        // Until the first report the daemons use the endpoint's own record.
        const bool isKnown = state.lastReportAt != core::TimePoint();
        const std::uint64_t revision = m_planner.contentRevision(id);
        if (isKnown && revision > m_contents.revisionOf(id))
            m_contents.update(id, contentsOf(id), revision);
    }
}

decisions::EndpointContents Coordinator::contentsOf(const core::EndpointId &id) const
{
    const decisions::EndpointState &state = m_planner.endpoints().at(id);
    decisions::EndpointContents contents;
    contents.startTime = state.endpoint.startTime;
    contents.models = state.models;
    for (const auto &[key, placed] : state.adapters) {
        if (!placed.isUnloading && !placed.isUnconfirmed)
            contents.adapters[key] = {placed.version, placed.usableAt + loadMargin};
    }
    return contents;
}

// Daemons with requests that wait for the adapter receive a view immediately, the others with the
// answer to their next report.
void Coordinator::scheduleViewsForLoad(const decisions::PlannedOrder &planned)
{
    for (auto &[host, daemon] : m_daemons) {
        if (daemon.waiting.contains({planned.model, planned.adapter}))
            daemon.isViewDue = true;
    }
    if (!m_viewTimer.isActive())
        m_viewTimer = m_timers.once(viewDelay, [this] { sendDueViews(); });
}

void Coordinator::scheduleViewsForAll()
{
    for (auto &[host, daemon] : m_daemons)
        daemon.isViewDue = true;
    if (!m_viewTimer.isActive())
        m_viewTimer = m_timers.once(viewDelay, [this] { sendDueViews(); });
}

void Coordinator::sendDueViews()
{
    const observability::EventLoopProfiler::Scope scope(m_profiler, "immediate views");
    for (auto &[host, daemon] : m_daemons) {
        if (daemon.isViewDue)
            m_sendView(daemon.address, contentsViewFor(daemon));
    }
}

} // namespace jackdawlead::gateway
