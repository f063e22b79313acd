#include "serving/adaptercall.h"

#include "core/error.h"
#include "observability/log.h"
#include "serving/callerreply.h"

#include <utility>

namespace jackdawlead::serving {

void AdapterCall::start(CallerTask &owner, ResolvedAdapterCall call,
                        std::shared_ptr<net::ServerExchange> exchange)
{
    auto self = std::make_shared<AdapterCall>(owner, std::move(call), std::move(exchange));
    self->m_keepAlive = self;
    self->m_exchange->onPeerGone([weak = std::weak_ptr<AdapterCall>(self)] {
        if (const auto call = weak.lock())
            call->callerGone();
    });
    self->place();
}

AdapterCall::AdapterCall(CallerTask &owner, ResolvedAdapterCall call,
                         std::shared_ptr<net::ServerExchange> exchange)
    : m_owner(owner)
    , m_call(std::move(call))
    , m_exchange(std::move(exchange))
{
    ++m_owner.m_running;
}

AdapterCall::~AdapterCall()
{
    --m_owner.m_running;
}

void AdapterCall::place()
{
    m_fingerprint
        = requestFingerprint(m_call.call.customer, m_call.adapter, m_call.call.call.request.body);
    if (m_owner.m_quarantine.isQuarantined(m_fingerprint)) {
        refuse(m_owner.m_quarantine.checkStart(m_fingerprint));
        return;
    }
    m_order = decisions::placementOrder(m_call.adapter, m_owner.candidates(m_call.pool), 1, {});
    if (!m_order.empty()) {
        sendNext();
        return;
    }
    refuse(core::withRetryAfter(
        core::withOutcome(core::makeError(absl::StatusCode::kUnavailable, "place",
                                          m_call.pool.value(), "no usable endpoint in the pool"),
                          core::Outcome::NotRun),
        std::chrono::seconds(1)));
}

void AdapterCall::sendNext()
{
    m_endpoint = m_order[m_next++];
    ++m_owner.m_outstanding[m_endpoint];
    EndpointRequest request;
    request.id = m_call.call.call.id;
    request.customer = m_call.call.customer;
    request.adapter = m_call.adapter;
    request.weightSource = m_call.weightSource;
    request.path = m_call.call.call.request.path;
    request.body = m_call.call.call.request.body;
    request.isStream = m_call.isStream;
    request.deadline = m_call.call.deadline;
    request.sink.onHead
        = [this](int status, const net::Headers &headers) { headReceived(status, headers); };
    request.sink.onData = [this](std::string_view data) { dataReceived(data); };
    request.sink.onEnd = [this](const absl::Status &status) { ended(status); };
    m_cancel = m_owner.m_dispatcher.send(m_endpoint, std::move(request));
}

void AdapterCall::headReceived(int status, const net::Headers &headers)
{
    const net::Headers reply {{"Content-Type", headers.value("Content-Type")},
                              {"X-Request-Id", m_call.call.call.id.value()},
                              {"X-Served-Model", headers.value("X-Served-Model")},
                              {"X-Endpoint", m_endpoint.value()}};
    m_exchange->startStream(status, reply);
    const core::TimePoint now = m_owner.m_context.timers.now();
    m_owner.m_context.metrics.recordFirstToken(now - m_call.call.call.acceptedAt);
}

void AdapterCall::dataReceived(std::string_view data)
{
    m_exchange->write(data);
}

void AdapterCall::ended(const absl::Status &status)
{
    endAttempt();
    if (status.ok()) {
        m_exchange->finishStream();
        m_owner.settled(core::Outcome::Completed, m_call.call.call.acceptedAt);
        m_keepAlive.reset();
        return;
    }
    observability::logError(observability::LogLevel::Warn, status, m_call.call.call.id.value());
    if (mayTryNext(status)) {
        sendNext();
        return;
    }
    refuse(status);
}

bool AdapterCall::mayTryNext(const absl::Status &status)
{
    const decisions::FailedAttempt end {.outcome = core::outcomeOf(status),
                                        .isResponseStarted = m_exchange->isReplied(),
                                        .isRequestInvalid
                                        = status.code() == absl::StatusCode::kInvalidArgument,
                                        .isCrashSuspect = core::stepOf(status) == quarantineStep
                                            || !m_owner.m_quarantine.isClear(m_fingerprint)};
    return m_attempts.recordFailedAttempt(end, m_call.call.deadline, m_owner.m_context.timers.now())
        && m_next < m_order.size();
}

void AdapterCall::refuse(const absl::Status &status)
{
    const core::Outcome outcome = m_attempts.finalOutcome(core::outcomeOf(status));
    const absl::Status told = core::withOutcome(status, outcome);
    if (m_exchange->isStreaming())
        m_exchange->cutStream("data: " + refusalResponse(told, m_call.call.call.id).body + "\n\n");
    else
        m_exchange->respond(refusalResponse(told, m_call.call.call.id));
    m_owner.settled(outcome, m_call.call.call.acceptedAt);
    m_keepAlive.reset();
}

void AdapterCall::endAttempt()
{
    --m_owner.m_outstanding[m_endpoint];
    m_cancel = {};
}

void AdapterCall::callerGone()
{
    if (!m_keepAlive)
        return;
    if (const auto cancel = std::exchange(m_cancel, {})) {
        cancel();
        --m_owner.m_outstanding[m_endpoint];
    }
    m_owner.settled(core::Outcome::Unknown, m_call.call.call.acceptedAt);
    m_keepAlive.reset();
}

} // namespace jackdawlead::serving
