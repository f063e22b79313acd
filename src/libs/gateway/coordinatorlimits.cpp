#include "gateway/coordinator.h"

#include "observability/log.h"

#include <nlohmann/json.hpp>

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

void Coordinator::applyConfiguration()
{
    for (const auto &[id, endpoint] : m_watch.endpoints())
        updateEndpoint(endpoint);
    m_quotas.applyConfiguration(m_watch.routes()->configuration(), m_settings.bounds,
                                m_timers.now());
}

std::optional<decisions::quota::QuotaAnswer>
Coordinator::handleQuotaCall(const customers::QuotaCall &call)
{
    if (!m_election.isHolder())
        return std::nullopt;
    if (!m_wasHolder)
        becomeHolder();
    m_lastReportKind = decisions::ReportPace::Kind::Demand;
    return m_quotas.answer(call.host, call.report, m_timers.now());
}

CoordinatorElection::SharedState Coordinator::quotaHolders()
{
    return {.field = "quotaHolders",
            .encode =
                [this] {
                    const auto &record = m_election.lease().record();
                    return m_quotas.encodeHolders(record ? record->token : core::FencingToken());
                },
            .apply = [this](const nlohmann::json &value) { m_quotas.applyHolders(value); }};
}

} // namespace jackdawlead::gateway
