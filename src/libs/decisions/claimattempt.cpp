#include "decisions/claimattempt.h"

#include <utility>

namespace jackdawlead::decisions {

core::Outcome outcomeOf(ClaimRefusal refusal)
{
    // The refused attempt dispatched nothing, so only an earlier attempt can have run.
    return refusal == ClaimRefusal::OutcomeUnknown ? core::Outcome::Unknown : core::Outcome::NotRun;
}

ClaimAttempt::ClaimAttempt(Claim own)
    : m_own(std::move(own))
{ }

ClaimStep ClaimAttempt::start()
{
    m_written = m_own;
    return {.kind = ClaimStep::Kind::Create, .claim = m_own};
}

ClaimStep ClaimAttempt::writeFinished(ClaimWriteResult result)
{
    if (result == ClaimWriteResult::NotSent)
        return refuse(ClaimRefusal::ApiUnavailable);
    if (result != ClaimWriteResult::Stored)
        return {.kind = ClaimStep::Kind::Read, .claim = m_own};
    m_existing = m_written;
    return decide(true);
}

ClaimStep ClaimAttempt::readFinished(const std::optional<Claim> &existing)
{
    // This attempt dispatched nothing, so the request did not run even if its claim was stored.
    if (!existing)
        return refuse(ClaimRefusal::ApiUnavailable);
    m_existing = *existing;
    if (m_existing.state != ClaimState::Claimed || m_existing.attempt == m_own.attempt)
        return decide(true);
    return {.kind = ClaimStep::Kind::ReadHolderLease, .claim = m_existing};
}

ClaimStep ClaimAttempt::holderLeaseChecked(bool isHolderAlive)
{
    return decide(isHolderAlive);
}

ClaimStep ClaimAttempt::decide(bool isHolderAlive)
{
    Claim unknown = m_existing;
    unknown.state = ClaimState::Unknown;
    switch (decideClaim(m_existing, m_own.attempt, m_own.bodyDigest, isHolderAlive)) {
    case ClaimAction::Run:
        return {.kind = ClaimStep::Kind::Run, .claim = m_own};
    case ClaimAction::ReplayResponse:
        return {.kind = ClaimStep::Kind::ReplayResponse, .claim = m_existing};
    case ClaimAction::ReclaimReleased:
        return replace(m_own);
    case ClaimAction::MarkUnknown:
        return replace(unknown);
    case ClaimAction::RefuseAlreadyRunning:
        return refuse(ClaimRefusal::AlreadyRunning);
    case ClaimAction::RefuseKeyReused:
        return refuse(ClaimRefusal::KeyReused);
    case ClaimAction::RefuseUnknown:
        break;
    }
    return refuse(ClaimRefusal::OutcomeUnknown);
}

ClaimStep ClaimAttempt::replace(const Claim &claim)
{
    m_written = claim;
    return {.kind = ClaimStep::Kind::Replace, .claim = claim};
}

ClaimStep ClaimAttempt::refuse(ClaimRefusal refusal)
{
    return {.kind = ClaimStep::Kind::Refuse, .claim = {}, .refusal = refusal};
}

} // namespace jackdawlead::decisions
