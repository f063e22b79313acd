#include "serving/quarantinetask.h"

#include "core/error.h"
#include "observability/log.h"
#include "serving/randomid.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace jackdawlead::serving {

namespace {

// A suspect waits for its other run; how long that takes is not known.
constexpr core::Duration suspectRetryAfter = std::chrono::seconds(1);

} // namespace

decisions::Fingerprint requestFingerprint(const core::CustomerId &customer,
                                          const core::AdapterVersion &adapter,
                                          const std::string &body)
{
    auto content = nlohmann::json::parse(body, nullptr, false);
    if (!content.is_object())
        return decisions::fingerprintOf(customer, adapter, body);
    for (const char *field : {"stream", "stream_options"})
        content.erase(field);
    const std::string text = content.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return decisions::fingerprintOf(customer, adapter, text);
}

QuarantineTask::QuarantineTask(Context &context, Announce announce)
    : m_context(context)
    , m_announce(std::move(announce))
    , m_state({})
{ }

void QuarantineTask::endpointDied(const core::EndpointId &endpoint,
                                  const std::vector<decisions::Fingerprint> &inFlight)
{
    const decisions::CrashId death(endpoint.value() + "-" + randomId());
    const std::string message
        = "endpoint died with " + std::to_string(inFlight.size()) + " requests in flight";
    observability::log({.level = observability::LogLevel::Warn,
                        .step = quarantineStep,
                        .message = message,
                        .peer = endpoint.value()});
    for (const decisions::Fingerprint &fingerprint : inFlight)
        if (m_state.recordCrash(fingerprint, death, m_context.timers.now()))
            m_announce(decisions::Quarantine::toFact(fingerprint, death));
}

void QuarantineTask::mergeFact(const decisions::Fact &fact)
{
    m_state.mergeFact(fact, m_context.timers.now());
}

absl::Status QuarantineTask::checkStart(const decisions::Fingerprint &fingerprint) const
{
    const core::TimePoint now = m_context.timers.now();
    if (m_state.mayStart(fingerprint, now))
        return absl::OkStatus();
    const bool isStopped = isQuarantined(fingerprint);
    const char *message = isStopped
        ? "the request was in flight when two endpoints died"
        : "the request was in flight when an endpoint died, and runs only alone";
    return core::withRetryAfter(
        core::withOutcome(core::makeError(absl::StatusCode::kUnavailable, quarantineStep,
                                          m_context.settings.host.value(), message),
                          core::Outcome::NotRun),
        isStopped ? m_state.remaining(fingerprint, now) : suspectRetryAfter);
}

bool QuarantineTask::isClear(const decisions::Fingerprint &fingerprint) const
{
    return m_state.state(fingerprint, m_context.timers.now()) == decisions::QuarantineState::Clear;
}

bool QuarantineTask::isQuarantined(const decisions::Fingerprint &fingerprint) const
{
    return m_state.state(fingerprint, m_context.timers.now())
        == decisions::QuarantineState::Quarantined;
}

} // namespace jackdawlead::serving
