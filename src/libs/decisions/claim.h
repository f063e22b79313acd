#pragma once

#include "core/ids.h"

#include <optional>
#include <string>

namespace jackdawlead::decisions {

enum class ClaimState { Claimed, Completed, Released, Unknown };

/// The record that determines which attempt may run a request that must not run twice.
struct Claim
{
    core::AttemptId attempt;
    core::HostId holder;
    std::string bodyDigest;
    ClaimState state = ClaimState::Claimed;
    int answerStatus = 0;   ///< Of a completed claim.
    std::string answerBody; ///< Of a completed claim.
};

enum class ClaimAction {
    Run,             ///< This attempt holds the claim and may dispatch.
    ReplayResponse,  ///< Another attempt completed; its stored response is returned.
    ReclaimReleased, ///< The earlier attempt did not run; claim the record by conditional update.
    MarkUnknown,     ///< The holder lost its lease; record that the outcome is unknown.
    RefuseAlreadyRunning, ///< Another attempt is running.
    RefuseUnknown,   ///< The outcome of an earlier attempt is unknown; the request is never run
                     ///< again.
    RefuseKeyReused, ///< The idempotency key was used for another request.
};

/// Decides what an attempt does after it has read the claim, either because the conditional create
/// conflicted with an existing claim or because the response to its own write was lost.
/// `isHolderAlive` is whether the holder of the claim still holds its host lease.
/// Thread safety: any thread.
ClaimAction decideClaim(const Claim &existing, const core::AttemptId &attempt,
                        const std::string &bodyDigest, bool isHolderAlive);

const char *toString(ClaimState state);
std::optional<ClaimState> claimStateFromString(const std::string &text);

} // namespace jackdawlead::decisions
