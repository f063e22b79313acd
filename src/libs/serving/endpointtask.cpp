#include "serving/endpointtask.h"

#include "core/error.h"
#include "observability/log.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace jackdawlead::serving {

namespace {

using nlohmann::json;

constexpr core::Duration pollPeriod = std::chrono::seconds(1);
constexpr core::Duration tickPeriod = std::chrono::milliseconds(100);
// Engines report their load with a lag; a report shows the state of at most this long ago.
constexpr core::Duration reportLag = std::chrono::seconds(2);
constexpr std::size_t maxErrorBodyBytes = 4096;

absl::Status endpointError(absl::StatusCode code, const char *step,
                           const core::EndpointId &endpoint, std::string_view message,
                           core::Outcome outcome)
{
    return core::withOutcome(core::makeError(code, step, endpoint.value(), message), outcome);
}

decisions::SchedulerLimits schedulerLimits(const EndpointTask::Target &target,
                                           const config::Settings &settings)
{
    decisions::SchedulerLimits limits = decisions::schedulerLimitsFor(target.stallWeight);
    // A caller that gives a request time is served within it; a shorter limit refused 138 of 200
    // requests of one burst that all could be served before their deadlines.
    limits.maxLoadWait.reset();
    limits.slots = target.slots;
    limits.maxRunning = static_cast<std::size_t>(settings.maxRunningPerEndpoint);
    limits.maxQueued = static_cast<std::size_t>(settings.maxQueuedPerEndpoint);
    return limits;
}

} // namespace

EndpointTask::EndpointTask(Context &context, LeaseTask &lease, OutageTask &outage,
                           QuarantineTask &quarantine, LoadBudgetTask &budget, Target target)
    : m_context(context)
    , m_lease(lease)
    , m_outage(outage)
    , m_quarantine(quarantine)
    , m_budget(budget)
    , m_target(std::move(target))
    , m_crashes(context, quarantine, m_target.endpoint, m_target.address)
    , m_scheduler(schedulerLimits(m_target, context.settings))
{ }

EndpointTask::~EndpointTask()
{
    for (const auto &[id, run] : m_runs)
        run->call.cancel();
    for (const LoadBudgetTask::Ticket ticket : m_tickets)
        m_budget.release(ticket);
}

void EndpointTask::start()
{
    m_startedAt = m_context.timers.now();
    m_tick = m_context.timers.every(tickPeriod,
                                    [this] { carryOut(m_scheduler.tick(m_context.timers.now())); });
    // An order of the previous owner can still be in progress for its time-out.
    const bool isFirstOwner = m_target.token == core::FencingToken(1);
    m_settle = m_context.timers.once(isFirstOwner ? core::Duration::zero()
                                                  : m_context.settings.orderTimeout,
                                     [this] { readAdapters(); });
}

net::Headers EndpointTask::orderHeaders() const
{
    net::Headers headers {{"Content-Type", "application/json"},
                          {"X-Fencing-Token", std::to_string(m_target.token.value())}};
    if (m_target.needsCredential)
        headers.add("Authorization", "Bearer " + m_context.settings.orderCredential);
    return headers;
}

void EndpointTask::readAdapters()
{
    const net::HttpTimeouts timeouts {m_context.settings.orderTimeout,
                                      m_context.settings.orderTimeout};
    m_context.http.send(
        m_target.address,
        {.method = "GET", .path = "/v1/models", .headers = orderHeaders(), .body = {}}, timeouts,
        [this, alive = std::weak_ptr<bool>(m_alive)](const auto &reply) {
            if (alive.expired())
                return;
            const json body = reply.ok() ? json::parse(reply->body, nullptr, false) : json();
            if (!body.is_object() || !body.contains("data")) {
                m_settle = m_context.timers.once(pollPeriod, [this] { readAdapters(); });
                return;
            }
            std::vector<core::AdapterVersion> resident;
            for (const json &model : body["data"]) {
                const auto adapter = parseAdapterVersion(model.value("id", std::string()));
                if (!adapter.adapter.isEmpty())
                    resident.push_back(adapter);
            }
            const core::TimePoint now = m_context.timers.now();
            m_pinned.clear();
            for (const core::AdapterVersion &adapter : resident)
                m_pinned[adapter] = now + reportLag;
            m_isReady = true;
            carryOut(m_scheduler.syncResidentAdapters(resident, resident, now));
            poll();
        });
}

void EndpointTask::poll()
{
    const net::HttpTimeouts timeouts {m_context.settings.orderTimeout,
                                      m_context.settings.orderTimeout};
    m_context.http.send(m_target.address,
                        {.method = "GET", .path = "/metrics", .headers = {}, .body = {}}, timeouts,
                        [this, alive = std::weak_ptr<bool>(m_alive)](const auto &reply) {
                            if (alive.expired())
                                return;
                            m_poll = m_context.timers.once(pollPeriod, [this] { poll(); });
                            if (reply.ok() && reply->status == 200)
                                reported(parseEngineReport(reply->body));
                        });
}

void EndpointTask::reported(const EngineReport &report)
{
    m_crashes.instanceSeen(report.instance, inFlight());
    if (!m_instance.empty() && report.instance != m_instance) {
        observability::log({.level = observability::LogLevel::Warn,
                            .step = "load",
                            .message = "engine restarted",
                            .peer = m_target.endpoint.value()});
        m_instance = report.instance;
        m_poll.cancel();
        readAdapters();
        return;
    }
    m_instance = report.instance;
    const core::TimePoint now = m_context.timers.now();
    std::erase_if(m_pinned, [&](const auto &entry) {
        const auto running = report.running.find(entry.first);
        const bool isUsed = running != report.running.end() && running->second > 0;
        if (isUsed || now < entry.second)
            return false;
        carryOut(m_scheduler.unpinned(entry.first, now));
        return true;
    });
}

void EndpointTask::submit(EndpointRequest request)
{
    auto run = std::make_shared<Run>();
    run->request = std::move(request);
    run->queuedAt = m_context.timers.now();
    const core::RequestId id = run->request.id;
    if (m_isLeaving || m_isDraining || !m_isReady) {
        refuse(run, m_isReady ? "endpoint takes no new work" : "owner is taking over",
               m_context.settings.orderTimeout);
        return;
    }
    run->fingerprint
        = requestFingerprint(run->request.customer, run->request.adapter, run->request.body);
    if (const absl::Status status = m_quarantine.checkStart(run->fingerprint); !status.ok()) {
        m_context.loop.post([run, status] { run->request.sink.onEnd(status); });
        return;
    }
    m_runs.emplace(id, run);
    m_scheduler.updateGrantWait(m_budget.predictedWait(), run->queuedAt);
    carryOut(m_scheduler.submit(id, run->request.adapter, run->request.deadline, run->queuedAt));
}

void EndpointTask::cancel(const core::RequestId &id)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    const RunPtr run = found->second;
    m_runs.erase(found);
    run->call.cancel();
    run->inFlight.reset();
    carryOut(m_scheduler.cancelled(id, m_context.timers.now()));
    cutRun(id, run->request.adapter);
}

void EndpointTask::setLeaving(bool isLeaving)
{
    if (isLeaving == std::exchange(m_isLeaving, isLeaving))
        return;
    if (m_isLeaving)
        carryOut(m_scheduler.drain(m_context.timers.now()));
    else if (!m_isDraining)
        m_scheduler.resume();
}

// The endpoint may still run the request until it sees that the connection was closed.
void EndpointTask::cutRun(const core::RequestId &id, const core::AdapterVersion &adapter)
{
    const core::TimePoint now = m_context.timers.now();
    m_pinned[adapter] = now + reportLag;
    carryOut(m_scheduler.aborted(id, now));
}

void EndpointTask::drain()
{
    m_isDraining = true;
    carryOut(m_scheduler.drain(m_context.timers.now()));
}

void EndpointTask::carryOut(const decisions::SchedulerCommands &commands)
{
    for (const decisions::SchedulerCommand &command : commands)
        std::visit([this](const auto &typed) { carryOut(typed); }, command);
}

std::string EndpointTask::weightSourceOf(const core::AdapterVersion &adapter) const
{
    for (const auto &[id, run] : m_runs)
        if (run->request.adapter == adapter)
            return run->request.weightSource;
    return {};
}

void EndpointTask::carryOut(const decisions::LoadAdapter &command)
{
    // The grant is delivered from the loop, after the ticket is known.
    const auto ticket = std::make_shared<LoadBudgetTask::Ticket>();
    *ticket = m_budget.request(
        m_target.endpoint, command.adapter, command.deadline,
        [this, ticket, adapter = command.adapter, alive = std::weak_ptr<bool>(m_alive)] {
            if (!alive.expired())
                loadGranted(*ticket, adapter);
        });
    m_tickets.insert(*ticket);
}

void EndpointTask::loadGranted(LoadBudgetTask::Ticket ticket, const core::AdapterVersion &adapter)
{
    if (!m_scheduler.hasQueuedRequest(adapter)) {
        releaseTicket(ticket);
        carryOut(m_scheduler.loadWithdrawn(adapter, m_context.timers.now()));
        return;
    }
    const json body {{"lora_name", adapter.toString()}, {"lora_path", weightSourceOf(adapter)}};
    order("/v1/load_lora_adapter", body, [this, ticket, adapter](const absl::Status &status) {
        releaseTicket(ticket);
        m_context.metrics.recordLoadOrder(status.ok());
        const core::TimePoint now = m_context.timers.now();
        if (status.ok()) {
            carryOut(m_scheduler.loaded(adapter, now));
            return;
        }
        observability::logError(observability::LogLevel::Warn, status);
        carryOut(m_scheduler.loadFailed(adapter, now));
        // The order may still take effect; the endpoint's own list shows whether it did.
        if (core::outcomeOf(status) != core::Outcome::NotRun)
            m_settle = m_context.timers.once(m_context.settings.orderTimeout,
                                             [this] { readAdapters(); });
    });
}

void EndpointTask::releaseTicket(LoadBudgetTask::Ticket ticket)
{
    m_tickets.erase(ticket);
    m_budget.release(ticket);
}

void EndpointTask::carryOut(const decisions::EvictAdapter &command)
{
    const json body {{"lora_name", command.adapter.toString()}};
    order("/v1/unload_lora_adapter", body, [this, command](const absl::Status &status) {
        m_context.metrics.recordEvictionOrder(status.ok());
        const core::TimePoint now = m_context.timers.now();
        if (status.ok()) {
            carryOut(m_scheduler.evicted(command.adapter, now));
            return;
        }
        observability::logError(observability::LogLevel::Warn, status);
        if (core::outcomeOf(status) == core::Outcome::NotRun)
            carryOut(m_scheduler.evictionFailed(command.adapter, now));
        else
            carryOut(m_scheduler.evictionUnanswered(command.adapter, now));
    });
}

void EndpointTask::order(const std::string &path, const json &body,
                         std::function<void(const absl::Status &)> done)
{
    // Answered from the loop, so that the scheduler is never called inside its own commands.
    if (!m_lease.isValid()) {
        m_context.loop.post([this, done = std::move(done), alive = std::weak_ptr<bool>(m_alive)] {
            if (!alive.expired())
                done(endpointError(absl::StatusCode::kFailedPrecondition, "order",
                                   m_target.endpoint, "host lease is not valid",
                                   core::Outcome::NotRun));
        });
        return;
    }
    const net::HttpTimeouts timeouts {m_context.settings.orderTimeout,
                                      m_context.settings.orderTimeout};
    m_context.http.send(
        m_target.address,
        {.method = "POST", .path = path, .headers = orderHeaders(), .body = body.dump()}, timeouts,
        [this, path, done = std::move(done),
         alive = std::weak_ptr<bool>(m_alive)](const auto &reply) {
            if (alive.expired())
                return;
            if (!reply.ok())
                done(reply.status());
            else if (reply->status >= 300)
                done(endpointError(absl::StatusCode::kUnavailable, "order", m_target.endpoint,
                                   path + ": status " + std::to_string(reply->status) + " "
                                       + reply->body.substr(0, 200),
                                   core::Outcome::NotRun));
            else
                done(absl::OkStatus());
        });
}

void EndpointTask::carryOut(const decisions::RefuseRequest &command)
{
    const auto found = m_runs.find(command.request);
    if (found == m_runs.end())
        return;
    const RunPtr run = found->second;
    m_runs.erase(found);
    refuse(run, command.reason, command.retryAfter);
}

void EndpointTask::refuse(const RunPtr &run, std::string_view reason, core::Duration retryAfter)
{
    const absl::Status status
        = core::withRetryAfter(endpointError(absl::StatusCode::kUnavailable, "wait-for-adapter",
                                             m_target.endpoint, reason, core::Outcome::NotRun),
                               retryAfter);
    m_context.loop.post([run, status] { run->request.sink.onEnd(status); });
}

void EndpointTask::carryOut(const decisions::DispatchRequest &command)
{
    const auto found = m_runs.find(command.request);
    if (found == m_runs.end())
        return;
    const RunPtr run = found->second;
    m_context.metrics.recordLoadStall(m_context.timers.now() - run->queuedAt);
    // Asked again, since another run of the request may have started or crashed since its submit.
    absl::Status status = m_quarantine.checkStart(run->fingerprint);
    if (!m_outage.mayDispatch())
        status = endpointError(absl::StatusCode::kUnavailable, "dispatch", m_target.endpoint,
                               "host lease is not valid", core::Outcome::NotRun);
    if (!status.ok()) {
        m_context.loop.post([this, run, status, alive = std::weak_ptr<bool>(m_alive)] {
            if (!alive.expired())
                fail(run, status);
        });
        return;
    }
    m_quarantine.recordStart(run->fingerprint);
    run->inFlight = std::shared_ptr<void>(
        nullptr, [&quarantine = m_quarantine, fingerprint = run->fingerprint](void *) {
            quarantine.recordEnd(fingerprint);
        });
    run->check.emplace(run->request.adapter, run->request.isStream);
    net::Headers headers = orderHeaders();
    headers.add("X-Request-Id", run->request.id.value());
    const net::HttpTimeouts timeouts {m_context.settings.firstByteTimeout,
                                      m_context.settings.byteGapTimeout};
    net::HttpReplyHandlers handlers;
    handlers.onHead = [this, run](int status, const net::Headers &fields) {
        headReceived(run, status, fields);
    };
    handlers.onData = [this, run](std::string_view data) { dataReceived(run, data); };
    handlers.onEnd = [this, run](const absl::Status &status) { ended(run, status); };
    run->call = m_context.http.stream(m_target.address,
                                      {.method = "POST",
                                       .path = run->request.path,
                                       .headers = std::move(headers),
                                       .body = run->request.body},
                                      timeouts, std::move(handlers));
}

void EndpointTask::headReceived(const RunPtr &run, int status, const net::Headers &headers)
{
    run->status = status;
    run->headers.add("Content-Type", headers.value("Content-Type"));
    run->headers.add("X-Served-Model", run->request.adapter.toString());
    run->headers.add("X-Endpoint", m_target.endpoint.value());
}

void EndpointTask::sendHead(const RunPtr &run)
{
    if (!std::exchange(run->isHeadSent, true))
        run->request.sink.onHead(run->status, run->headers);
}

void EndpointTask::dataReceived(const RunPtr &run, std::string_view data)
{
    if (run->status != 200) {
        if (run->errorBody.size() < maxErrorBodyBytes)
            run->errorBody += data;
        return;
    }
    const auto released = run->check->accept(data);
    if (!released.ok()) {
        fail(run, core::withOutcome(released.status(), core::Outcome::Unknown));
        return;
    }
    if (released->empty())
        return;
    sendHead(run);
    run->request.sink.onData(*released);
}

void EndpointTask::ended(const RunPtr &run, const absl::Status &status)
{
    if (!status.ok()) {
        connectionLost(run,
                       endpointError(status.code(), "dispatch", m_target.endpoint,
                                     std::string(status.message()), core::outcomeOf(status)));
        return;
    }
    if (run->status != 200) {
        // An engine answers 404 when it does not hold the adapter, and runs nothing.
        const bool isNotRun = run->status < 500;
        if (run->status == 404)
            carryOut(m_scheduler.adapterMissing(run->request.adapter, m_context.timers.now()));
        fail(run,
             endpointError(run->status == 400 ? absl::StatusCode::kInvalidArgument
                                              : absl::StatusCode::kUnavailable,
                           "dispatch", m_target.endpoint,
                           "status " + std::to_string(run->status) + ": " + run->errorBody,
                           isNotRun ? core::Outcome::NotRun : core::Outcome::Unknown));
        return;
    }
    const auto rest = run->check->finish();
    if (!rest.ok()) {
        fail(run, core::withOutcome(rest.status(), core::Outcome::Unknown));
        return;
    }
    sendHead(run);
    if (!rest->empty())
        run->request.sink.onData(*rest);
    release(run);
    run->request.sink.onEnd(absl::OkStatus());
}

std::vector<decisions::Fingerprint> EndpointTask::inFlight() const
{
    std::vector<decisions::Fingerprint> fingerprints;
    for (const auto &[id, run] : m_runs)
        // The pointer is null although it is held, so its count tells whether it is.
        if (run->inFlight.use_count() > 0)
            fingerprints.push_back(run->fingerprint);
    return fingerprints;
}

void EndpointTask::connectionLost(const RunPtr &run, const absl::Status &status)
{
    if (core::outcomeOf(status) == core::Outcome::NotRun) {
        fail(run, status);
        return;
    }
    const std::vector<decisions::Fingerprint> affected = inFlight();
    if (run->isHeadSent) {
        fail(run, status);
        m_crashes.connectionLost(affected, [] {});
        return;
    }
    // The entry daemon may repeat the request only if it did not crash the endpoint, so it is told
    // after the probe.
    m_crashes.connectionLost(affected, [this, run, status] {
        if (!m_runs.contains(run->request.id))
            return;
        if (m_quarantine.isClear(run->fingerprint))
            fail(run, status);
        else
            fail(run,
                 endpointError(status.code(), quarantineStep, m_target.endpoint,
                               std::string(status.message()), core::Outcome::Unknown));
    });
}

void EndpointTask::fail(const RunPtr &run, const absl::Status &status)
{
    run->call.cancel();
    run->inFlight.reset();
    if (core::outcomeOf(status) == core::Outcome::NotRun)
        release(run);
    else if (m_runs.erase(run->request.id) > 0)
        cutRun(run->request.id, run->request.adapter);
    run->request.sink.onEnd(status);
}

void EndpointTask::release(const RunPtr &run)
{
    run->inFlight.reset();
    if (m_runs.erase(run->request.id) > 0)
        carryOut(m_scheduler.finished(run->request.id, m_context.timers.now()));
}

} // namespace jackdawlead::serving
