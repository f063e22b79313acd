#include "serving/claimtask.h"

#include "core/error.h"
#include "serving/randomid.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace jackdawlead::serving {

namespace {

using nlohmann::json;

constexpr std::size_t maxStoredAnswerBytes = 64 * 1024;

json claimToJson(const decisions::Claim &claim)
{
    return {{"attempt", claim.attempt.value()},   {"holder", claim.holder.value()},
            {"bodyDigest", claim.bodyDigest},     {"state", decisions::toString(claim.state)},
            {"answerStatus", claim.answerStatus}, {"answerBody", claim.answerBody}};
}

decisions::Claim claimFromJson(const json &spec)
{
    decisions::Claim claim;
    claim.attempt = core::AttemptId(spec.value("attempt", std::string()));
    claim.holder = core::HostId(spec.value("holder", std::string()));
    claim.bodyDigest = spec.value("bodyDigest", std::string());
    claim.state = decisions::claimStateFromString(spec.value("state", std::string()))
                      .value_or(decisions::ClaimState::Unknown);
    claim.answerStatus = spec.value("answerStatus", 0);
    claim.answerBody = spec.value("answerBody", std::string());
    return claim;
}

decisions::ClaimWriteResult writeResult(const absl::Status &status)
{
    const absl::StatusCode code = status.code();
    if (status.ok())
        return decisions::ClaimWriteResult::Stored;
    if (code == absl::StatusCode::kAlreadyExists || code == absl::StatusCode::kAborted)
        return decisions::ClaimWriteResult::Conflict;
    return core::outcomeOf(status) == core::Outcome::NotRun
        ? decisions::ClaimWriteResult::NotSent
        : decisions::ClaimWriteResult::Unanswered;
}

absl::Status refusalStatus(decisions::ClaimRefusal refusal)
{
    struct Row
    {
        absl::StatusCode code;
        const char *message;
    };
    const auto row = [refusal]() -> Row {
        switch (refusal) {
        case decisions::ClaimRefusal::ApiUnavailable:
            return {absl::StatusCode::kUnavailable, "object API cannot record the claim"};
        case decisions::ClaimRefusal::AlreadyRunning:
            return {absl::StatusCode::kAborted,
                    "another attempt with this idempotency key is running"};
        case decisions::ClaimRefusal::KeyReused:
            return {absl::StatusCode::kAlreadyExists, "Idempotency-Key was used with another body"};
        case decisions::ClaimRefusal::OutcomeUnknown:
            break;
        }
        return {absl::StatusCode::kDataLoss,
                "outcome of the earlier attempt is unknown; it is not run again"};
    }();
    const absl::Status status
        = core::withOutcome(core::makeError(row.code, "claim", "object API", row.message),
                            decisions::outcomeOf(refusal));
    const bool mayComeBack = refusal == decisions::ClaimRefusal::ApiUnavailable
        || refusal == decisions::ClaimRefusal::AlreadyRunning;
    return mayComeBack ? core::withRetryAfter(status, std::chrono::seconds(1)) : status;
}

} // namespace

ClaimTask::ClaimTask(Context &context)
    : m_context(context)
{ }

void ClaimTask::begin(const std::string &name, const std::string &bodyDigest, Handler handler)
{
    decisions::Claim own;
    own.attempt = core::AttemptId(randomId());
    own.holder = m_context.settings.host;
    own.bodyDigest = bodyDigest;
    auto attempt = std::make_shared<Attempt>(
        Attempt {name, decisions::ClaimAttempt(std::move(own)), std::move(handler), {}});
    carryOut(attempt, attempt->decisions.start());
}

void ClaimTask::carryOut(const AttemptPtr &attempt, const decisions::ClaimStep &step)
{
    switch (step.kind) {
    case decisions::ClaimStep::Kind::Create:
        m_context.objects.create(objectapi::kinds::claims, attempt->name, claimToJson(step.claim),
                                 writeHandler(attempt));
        return;
    case decisions::ClaimStep::Kind::Read:
        read(attempt);
        return;
    case decisions::ClaimStep::Kind::ReadHolderLease:
        readHolderLease(attempt, step.claim.holder);
        return;
    case decisions::ClaimStep::Kind::Replace:
        m_context.objects.update(
            objectapi::kinds::claims,
            {attempt->name, attempt->object.resourceVersion, claimToJson(step.claim)},
            writeHandler(attempt));
        return;
    case decisions::ClaimStep::Kind::Run:
        attempt->handler(Result {ClaimGrant {attempt->object, step.claim}, std::nullopt});
        return;
    case decisions::ClaimStep::Kind::ReplayResponse:
        attempt->handler(
            Result {std::nullopt, StoredAnswer {step.claim.answerStatus, step.claim.answerBody}});
        return;
    case decisions::ClaimStep::Kind::Refuse:
        break;
    }
    attempt->handler(refusalStatus(step.refusal));
}

ClaimTask::WriteHandler ClaimTask::writeHandler(const AttemptPtr &attempt)
{
    return [this, attempt](const absl::StatusOr<objectapi::Object> &result) {
        if (result.ok())
            attempt->object = *result;
        carryOut(attempt, attempt->decisions.writeFinished(writeResult(result.status())));
    };
}

void ClaimTask::read(const AttemptPtr &attempt)
{
    m_context.objects.read(objectapi::kinds::claims, attempt->name,
                           [this, attempt](const auto &result) {
                               std::optional<decisions::Claim> existing;
                               if (result.ok()) {
                                   attempt->object = *result;
                                   existing = claimFromJson(result->spec);
                               }
                               carryOut(attempt, attempt->decisions.readFinished(existing));
                           });
}

void ClaimTask::readHolderLease(const AttemptPtr &attempt, const core::HostId &holder)
{
    m_context.objects.read(
        objectapi::kinds::hostLeases, holder.value(), [this, attempt](const auto &lease) {
            const bool isGone = !lease.ok() && lease.status().code() == absl::StatusCode::kNotFound;
            carryOut(attempt, attempt->decisions.holderLeaseChecked(!isGone));
        });
}

void ClaimTask::settle(ClaimGrant grant, decisions::ClaimState state, const StoredAnswer &answer,
                       std::function<void()> done)
{
    grant.claim.state = state;
    if (state == decisions::ClaimState::Completed) {
        grant.claim.answerStatus = answer.status;
        grant.claim.answerBody = answer.body.substr(0, maxStoredAnswerBytes);
    }
    grant.object.spec = claimToJson(grant.claim);
    m_context.objects.update(objectapi::kinds::claims, grant.object,
                             [done = std::move(done)](const auto &) { done(); });
}

} // namespace jackdawlead::serving
