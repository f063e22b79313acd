#pragma once

#include "core/outcome.h"
#include "decisions/claim.h"

#include <optional>
#include <string>

namespace jackdawlead::decisions {

/// How a write of the claim ended.
enum class ClaimWriteResult {
    Stored,
    Conflict,   ///< Another claim exists, or the claim has changed since it was read.
    Unanswered, ///< It may have taken effect, now or later.
    NotSent,
};

enum class ClaimRefusal { ApiUnavailable, AlreadyRunning, KeyReused, OutcomeUnknown };

/// The outcome that is reported to the caller of a refused attempt. Thread safety: any thread.
core::Outcome outcomeOf(ClaimRefusal refusal);

/// The next step of an attempt.
struct ClaimStep
{
    enum class Kind {
        Create,
        Read,
        ReadHolderLease, ///< Of the holder of the claim read last.
        Replace,         ///< Conditional update of the claim read last by `claim`.
        Run,             ///< The attempt holds the claim and may dispatch.
        ReplayResponse,  ///< Return the response stored in `claim`.
        Refuse,
    };
    Kind kind = Kind::Refuse;
    Claim claim;
    ClaimRefusal refusal = ClaimRefusal::ApiUnavailable;
};

/// One attempt to claim a request, from the conditional create to permission to run or a refusal.
/// Each event returns the one step to carry out next. Thread safety: one thread at a time.
class ClaimAttempt
{
public:
    explicit ClaimAttempt(Claim own);

    ClaimStep start();
    /// The write of the last Create or Replace step has ended.
    ClaimStep writeFinished(ClaimWriteResult result);
    /// The last Read step has ended; `existing` is empty if the claim could not be read.
    ClaimStep readFinished(const std::optional<Claim> &existing);
    /// The last ReadHolderLease step has ended; an unreadable lease counts as held.
    ClaimStep holderLeaseChecked(bool isHolderAlive);

private:
    ClaimStep decide(bool isHolderAlive);
    ClaimStep replace(const Claim &claim);
    static ClaimStep refuse(ClaimRefusal refusal);

    Claim m_own;
    Claim m_existing;
    Claim m_written;
};

} // namespace jackdawlead::decisions
