#include "serving/servicecall.h"

#include "config/release.h"
#include "core/error.h"
#include "observability/log.h"
#include "serving/callerreply.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::serving {

void ServiceCall::start(CallerTask &owner, ResolvedServiceCall call,
                        std::shared_ptr<net::ServerExchange> exchange)
{
    auto self = std::make_shared<ServiceCall>(owner, std::move(call), std::move(exchange));
    if (self->m_call.isRepeatable)
        self->dispatch();
    else
        self->claim();
}

ServiceCall::ServiceCall(CallerTask &owner, ResolvedServiceCall call,
                         std::shared_ptr<net::ServerExchange> exchange)
    : m_owner(owner)
    , m_call(std::move(call))
    , m_exchange(std::move(exchange))
    , m_attempts({}, m_call.isRepeatable)
{
    ++m_owner.m_running;
}

ServiceCall::~ServiceCall()
{
    --m_owner.m_running;
}

void ServiceCall::claim()
{
    const std::string name
        = config::sha256Hex(m_call.call.customer.value() + "\n" + m_call.service.value() + "\n"
                            + m_call.idempotencyKey);
    const std::string digest
        = config::sha256Hex(m_call.call.call.request.method + "\n" + m_call.path + "\n"
                            + m_call.call.call.request.body);
    const core::TimePoint now = m_owner.m_context.timers.now();
    m_claimLimit = m_owner.m_context.timers.once(
        std::max(m_call.call.deadline - now, core::Duration::zero()), [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->giveUpClaim();
        });
    m_owner.m_claims.begin(
        name, digest, [self = shared_from_this()](const auto &result) { self->claimed(result); });
}

// Nothing was dispatched, so the answer does not wait for the object API.
void ServiceCall::giveUpClaim()
{
    m_isGivenUp = true;
    refuse(core::withRetryAfter(
        core::withOutcome(core::makeError(absl::StatusCode::kDeadlineExceeded, "claim",
                                          "object API", "deadline passed before the claim"),
                          core::Outcome::NotRun),
        std::chrono::seconds(1)));
}

void ServiceCall::claimed(const absl::StatusOr<ClaimTask::Result> &result)
{
    m_claimLimit.cancel();
    if (m_isGivenUp) {
        if (result.ok())
            m_grant = result->grant;
        settleClaim(decisions::ClaimState::Released, {}, [] {});
        return;
    }
    if (!result.ok()) {
        refuse(result.status());
        return;
    }
    if (result->answer) {
        respond({.status = result->answer->status,
                 .headers = {{"X-Replayed", "true"}},
                 .body = result->answer->body});
        return;
    }
    m_grant = result->grant;
    dispatch();
}

void ServiceCall::dispatch()
{
    std::vector<decisions::PlacementCandidate> candidates = m_owner.candidates(m_call.pool);
    std::ranges::sort(candidates, [](const auto &left, const auto &right) {
        if (left.isHomeRegion != right.isHomeRegion)
            return left.isHomeRegion;
        return left.outstanding < right.outstanding;
    });
    if (candidates.size() <= m_next) {
        const absl::Status status = core::withRetryAfter(
            core::withOutcome(core::makeError(absl::StatusCode::kUnavailable, "place",
                                              m_call.pool.value(), "no usable endpoint"),
                              core::Outcome::NotRun),
            std::chrono::seconds(1));
        refuse(status);
        settleClaim(decisions::ClaimState::Released, {}, [] {});
        return;
    }
    m_endpoint = candidates[m_next++].endpoint;
    net::Address address;
    for (const objectapi::HostEntry &entry : m_owner.m_dispatcher.usableEndpoints(m_call.pool))
        if (entry.name == m_endpoint.value())
            address = entry.address;
    const net::HttpRequest &original = m_call.call.call.request;
    net::HttpRequest request {original.method, m_call.path, {}, original.body};
    request.headers.add("Content-Type", original.headers.value("Content-Type"));
    request.headers.add("X-Request-Id", m_call.call.call.id.value());
    request.headers.add("X-Customer", m_call.call.customer.value());
    if (!m_call.idempotencyKey.empty())
        request.headers.add("Idempotency-Key", m_call.idempotencyKey);
    ++m_owner.m_outstanding[m_endpoint];
    const config::Settings &settings = m_owner.m_context.settings;
    m_owner.m_context.http.send(
        address, request, {settings.firstByteTimeout, settings.byteGapTimeout},
        [self = shared_from_this()](const auto &reply) { self->answered(reply); });
}

void ServiceCall::answered(const absl::StatusOr<net::HttpResponse> &reply)
{
    --m_owner.m_outstanding[m_endpoint];
    if (reply.ok()) {
        net::HttpResponse response = *reply;
        response.headers = {{"Content-Type", reply->headers.value("Content-Type")}};
        settleClaim(decisions::ClaimState::Completed, {response.status, response.body},
                    [self = shared_from_this(), response] { self->respond(response); });
        return;
    }
    const absl::Status status
        = core::withOutcome(core::makeError(reply.status().code(), "dispatch", m_endpoint.value(),
                                            std::string(reply.status().message())),
                            core::outcomeOf(reply.status()));
    if (m_attempts.recordFailedAttempt({.outcome = core::outcomeOf(status)}, m_call.call.deadline,
                                       m_owner.m_context.timers.now())) {
        dispatch();
        return;
    }
    const bool isNotRun = core::outcomeOf(status) == core::Outcome::NotRun;
    refuse(status);
    settleClaim(isNotRun ? decisions::ClaimState::Released : decisions::ClaimState::Unknown, {},
                [] {});
}

void ServiceCall::settleClaim(decisions::ClaimState state, const StoredAnswer &answer,
                              const std::function<void()> &done)
{
    if (!m_grant) {
        done();
        return;
    }
    m_owner.m_claims.settle(*std::exchange(m_grant, std::nullopt), state, answer, done);
}

void ServiceCall::respond(const net::HttpResponse &response)
{
    net::HttpResponse reply = response;
    reply.headers.add("X-Request-Id", m_call.call.call.id.value());
    reply.headers.add("X-Outcome", "completed");
    m_exchange->respond(reply);
    m_owner.settled(core::Outcome::Completed, m_call.call.call.acceptedAt);
}

void ServiceCall::refuse(const absl::Status &last)
{
    const absl::Status status
        = core::withOutcome(last, m_attempts.finalOutcome(core::outcomeOf(last)));
    observability::logError(observability::LogLevel::Warn, status, m_call.call.call.id.value());
    m_exchange->respond(refusalResponse(status, m_call.call.call.id));
    m_owner.settled(core::outcomeOf(status), m_call.call.call.acceptedAt);
}

} // namespace jackdawlead::serving
