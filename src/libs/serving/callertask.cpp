#include "serving/callertask.h"

#include "core/error.h"
#include "observability/log.h"
#include "serving/adaptercall.h"
#include "serving/callerreply.h"
#include "serving/randomid.h"
#include "serving/servicecall.h"

namespace jackdawlead::serving {

namespace {

// Another daemon can serve the caller at once.
constexpr core::Duration stoppingRetryDelay = std::chrono::seconds(1);

absl::Status stoppingError(const core::HostId &host)
{
    const absl::Status status = core::makeError(absl::StatusCode::kUnavailable, "accept",
                                                host.value(), "daemon is stopping");
    return core::withRetryAfter(core::withOutcome(status, core::Outcome::NotRun),
                                stoppingRetryDelay);
}

} // namespace

CallerTask::CallerTask(Context &context, Dispatcher &dispatcher, ClaimTask &claims,
                       QuarantineTask &quarantine)
    : m_context(context)
    , m_dispatcher(dispatcher)
    , m_claims(claims)
    , m_quarantine(quarantine)
{ }

CallerTask::~CallerTask() = default;

void CallerTask::catalogChanged(std::shared_ptr<const config::Catalog> catalog)
{
    m_catalog = std::move(catalog);
}

void CallerTask::accept(std::shared_ptr<net::ServerExchange> exchange)
{
    const core::TimePoint now = m_context.timers.now();
    const core::RequestId id(randomId());
    const auto refuse = [&](const absl::Status &status) {
        observability::logError(observability::LogLevel::Info, status, id.value());
        m_context.metrics.recordRequest(core::Outcome::NotRun, m_context.timers.now() - now);
        exchange->respond(refusalResponse(status, id));
    };
    if (m_isDraining) {
        refuse(stoppingError(m_context.settings.host));
        return;
    }
    auto authenticated = authenticate({id, exchange->request(), now}, m_catalog,
                                      m_context.settings.defaultDeadline);
    if (!authenticated.ok()) {
        refuse(authenticated.status());
        return;
    }
    const std::string &path = exchange->request().path;
    if (path == "/v1/chat/completions" || path == "/v1/completions") {
        auto resolved = resolveAdapterCall(*std::move(authenticated));
        if (!resolved.ok())
            refuse(resolved.status());
        else
            AdapterCall::start(*this, *std::move(resolved), std::move(exchange));
        return;
    }
    if (path.starts_with("/services/")) {
        auto resolved = resolveServiceCall(*std::move(authenticated));
        if (!resolved.ok())
            refuse(resolved.status());
        else
            ServiceCall::start(*this, *std::move(resolved), std::move(exchange));
        return;
    }
    refuse(core::withOutcome(
        core::makeError(absl::StatusCode::kNotFound, "accept", "caller", "no such path: " + path),
        core::Outcome::NotRun));
}

std::vector<decisions::PlacementCandidate> CallerTask::candidates(const core::PoolId &pool) const
{
    std::vector<decisions::PlacementCandidate> result;
    for (const objectapi::HostEntry &entry : m_dispatcher.usableEndpoints(pool)) {
        const core::EndpointId endpoint(entry.name);
        const auto outstanding = m_outstanding.find(endpoint);
        result.push_back(
            {.endpoint = endpoint,
             .weight = 1.0,
             .outstanding = outstanding == m_outstanding.end() ? 0 : outstanding->second,
             .isHomeRegion = entry.region == m_context.settings.region});
    }
    return result;
}

void CallerTask::settled(core::Outcome outcome, core::TimePoint acceptedAt)
{
    m_context.metrics.recordRequest(outcome, m_context.timers.now() - acceptedAt);
}

} // namespace jackdawlead::serving
