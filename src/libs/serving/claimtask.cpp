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

bool mayHaveTakenEffect(const absl::Status &status)
{
    return core::outcomeOf(status) != core::Outcome::NotRun;
}

} // namespace

ClaimTask::ClaimTask(Context &context)
    : m_context(context)
{ }

void ClaimTask::begin(const std::string &name, const std::string &bodyDigest, Handler handler)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->name = name;
    attempt->claim.attempt = core::AttemptId(randomId());
    attempt->claim.holder = m_context.settings.host;
    attempt->claim.bodyDigest = bodyDigest;
    attempt->handler = std::move(handler);
    create(attempt);
}

void ClaimTask::create(const AttemptPtr &attempt)
{
    m_context.objects.create(
        platform::kinds::claims, attempt->name, claimToJson(attempt->claim),
        [this, attempt](const auto &result) {
            if (result.ok())
                granted(attempt, *result);
            else if (result.status().code() == absl::StatusCode::kAlreadyExists)
                readBack(attempt, false);
            else if (mayHaveTakenEffect(result.status()))
                readBack(attempt, true);
            else
                fail(attempt, absl::StatusCode::kUnavailable, "object API cannot record the claim",
                     core::Outcome::NotRun);
        });
}

void ClaimTask::readBack(const AttemptPtr &attempt, bool mayHaveWritten)
{
    m_context.objects.read(platform::kinds::claims, attempt->name,
                           [this, attempt, mayHaveWritten](const auto &result) {
                               if (result.ok()) {
                                   checkHolder(attempt, *result);
                                   return;
                               }
                               // This attempt dispatched nothing, so it was not run even if its
                               // claim was stored.
                               fail(attempt, absl::StatusCode::kUnavailable,
                                    mayHaveWritten
                                        ? "the claim could not be settled by reading it back"
                                        : "the claim could not be read",
                                    core::Outcome::NotRun);
                           });
}

void ClaimTask::checkHolder(const AttemptPtr &attempt, const platform::Object &object)
{
    const decisions::Claim existing = claimFromJson(object.spec);
    const bool isOwn = existing.attempt == attempt->claim.attempt;
    if (existing.state != decisions::ClaimState::Claimed || isOwn) {
        decide(attempt, object, true);
        return;
    }
    m_context.objects.read(platform::kinds::hostLeases, existing.holder.value(),
                           [this, attempt, object](const auto &lease) {
                               const bool isGone = !lease.ok()
                                   && lease.status().code() == absl::StatusCode::kNotFound;
                               decide(attempt, object, !isGone);
                           });
}

void ClaimTask::decide(const AttemptPtr &attempt, const platform::Object &object,
                       bool isHolderAlive)
{
    decisions::Claim existing = claimFromJson(object.spec);
    switch (decisions::decideClaim(existing, attempt->claim.attempt, attempt->claim.bodyDigest,
                                   isHolderAlive)) {
    case decisions::ClaimAction::Run:
        granted(attempt, object);
        return;
    case decisions::ClaimAction::ReplayAnswer:
        attempt->handler(
            Result {std::nullopt, StoredAnswer {existing.answerStatus, existing.answerBody}});
        return;
    case decisions::ClaimAction::TakeReleased:
        replace(attempt, object, attempt->claim);
        return;
    case decisions::ClaimAction::MarkUnknown:
        existing.state = decisions::ClaimState::Unknown;
        replace(attempt, object, existing);
        return;
    case decisions::ClaimAction::RefuseRunning:
        fail(attempt, absl::StatusCode::kAborted,
             "another attempt with this idempotency key is running", core::Outcome::NotRun);
        return;
    case decisions::ClaimAction::RefuseOtherBody:
        fail(attempt, absl::StatusCode::kAlreadyExists,
             "Idempotency-Key was used with another body", core::Outcome::NotRun);
        return;
    case decisions::ClaimAction::RefuseUnknown:
        break;
    }
    fail(attempt, absl::StatusCode::kDataLoss,
         "outcome of the earlier attempt is unknown; it is not run again", core::Outcome::Unknown);
}

void ClaimTask::replace(const AttemptPtr &attempt, const platform::Object &object,
                        const decisions::Claim &claim)
{
    const platform::Object replacement {object.name, object.resourceVersion, claimToJson(claim)};
    m_context.objects.update(
        platform::kinds::claims, replacement, [this, attempt](const auto &result) {
            if (result.ok() || mayHaveTakenEffect(result.status())
                || result.status().code() == absl::StatusCode::kAborted)
                readBack(attempt, true);
            else
                fail(attempt, absl::StatusCode::kUnavailable, "object API cannot record the claim",
                     core::Outcome::NotRun);
        });
}

void ClaimTask::granted(const AttemptPtr &attempt, const platform::Object &object)
{
    attempt->handler(Result {ClaimGrant {object, attempt->claim}, std::nullopt});
}

void ClaimTask::fail(const AttemptPtr &attempt, absl::StatusCode code, std::string_view message,
                     core::Outcome outcome)
{
    absl::Status status
        = core::withOutcome(core::makeError(code, "claim", "object API", message), outcome);
    if (outcome == core::Outcome::NotRun && code != absl::StatusCode::kAlreadyExists)
        status = core::withRetryAfter(status, std::chrono::seconds(1));
    attempt->handler(status);
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
    m_context.objects.update(platform::kinds::claims, grant.object,
                             [done = std::move(done)](const auto &) { done(); });
}

} // namespace jackdawlead::serving
