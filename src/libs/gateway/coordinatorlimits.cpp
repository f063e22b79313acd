#include "gateway/coordinator.h"

#include "observability/log.h"

#include <set>

namespace jackdawlead::gateway {

namespace {

// Each response of an endpoint in use confirms its limit. An endpoint without requests would
// otherwise stay avoided after its need has ended.
constexpr core::Duration limitConfirmationTime = std::chrono::seconds(10);

} // namespace

// Permits of a limit that no response has confirmed for some time are issued as before, but the
// planner may use the endpoint again: requests to it show whether the limit still holds.
void Coordinator::updateRequestLimits()
{
    const core::TimePoint now = m_timers.now();
    std::set<core::EndpointId> limited;
    for (const auto &[id, endpoint] : m_watch.endpoints()) {
        const decisions::EndpointLimit *limit = m_limits.known().find(id, endpoint.startTime);
        if (limit == nullptr)
            continue;
        limited.insert(id);
        m_permitIssuer.setLimit(id, limit->incarnation, *limit->rate, now);
    }
    m_permitIssuer.retain(limited);
    for (const auto &[id, state] : m_planner.endpoints())
        updatePlannerLimit(id);
}

void Coordinator::updateReadiness()
{
    std::set<core::HostId> lacking;
    if (m_watch.hasCustomers()) {
        for (const auto &[host, daemon] : m_daemons) {
            if (!daemon.understandsCustomers)
                lacking.insert(host);
        }
    }
    m_metrics.setDaemonsWithoutKeys(static_cast<double>(lacking.size()));
    if (const auto warning = m_readiness.update(lacking, m_timers.now()))
        observability::log(
            {.level = observability::LogLevel::Warn, .step = "customers", .message = *warning});
}

void Coordinator::updatePlannerLimit(const core::EndpointId &id)
{
    const auto state = m_planner.endpoints().find(id);
    if (state == m_planner.endpoints().end())
        return;
    const core::TimePoint now = m_timers.now();
    const decisions::EndpointLimit *limit
        = m_limits.known().find(id, state->second.endpoint.startTime);
    const bool isConfirmed = limit != nullptr && now - limit->statedAt < limitConfirmationTime;
    m_planner.setRateLimited(id, isConfirmed, m_permitIssuer.canCharge(id, now));
}

void Coordinator::takePermit(const core::EndpointId &id)
{
    m_permitIssuer.charge(id);
    updatePlannerLimit(id);
}

std::map<core::EndpointId, decisions::PermitGrant>
Coordinator::issuePermits(const PeerReport &report)
{
    std::map<core::EndpointId, decisions::PermitGrant> grants;
    for (const auto &[id, demand] : report.permitDemand) {
        const fleet::Endpoint *endpoint = m_watch.endpoint(id);
        const auto limit = endpoint == nullptr ? std::nullopt : m_limits.limitOf(*endpoint);
        if (!limit)
            continue;
        m_permitIssuer.setLimit(id, endpoint->startTime, *limit, m_timers.now());
        grants[id] = m_permitIssuer.issue(id, report.host, demand, m_timers.now());
        updatePlannerLimit(id);
    }
    return grants;
}

} // namespace jackdawlead::gateway
