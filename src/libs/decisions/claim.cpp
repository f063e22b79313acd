#include "decisions/claim.h"

namespace jackdawlead::decisions {

ClaimAction decideClaim(const Claim &existing, const core::AttemptId &attempt,
                        const std::string &bodyDigest, bool isHolderAlive)
{
    if (existing.bodyDigest != bodyDigest)
        return ClaimAction::RefuseKeyReused;
    switch (existing.state) {
    case ClaimState::Claimed:
        if (existing.attempt == attempt)
            return ClaimAction::Run;
        return isHolderAlive ? ClaimAction::RefuseAlreadyRunning : ClaimAction::MarkUnknown;
    case ClaimState::Completed:
        return ClaimAction::ReplayResponse;
    case ClaimState::Released:
        return ClaimAction::ReclaimReleased;
    case ClaimState::Unknown:
        break;
    }
    return ClaimAction::RefuseUnknown;
}

const char *toString(ClaimState state)
{
    switch (state) {
    case ClaimState::Claimed:
        return "claimed";
    case ClaimState::Completed:
        return "completed";
    case ClaimState::Released:
        return "released";
    case ClaimState::Unknown:
        break;
    }
    return "unknown";
}

std::optional<ClaimState> claimStateFromString(const std::string &text)
{
    for (const ClaimState state :
         {ClaimState::Claimed, ClaimState::Completed, ClaimState::Released, ClaimState::Unknown})
        if (text == toString(state))
            return state;
    return std::nullopt;
}

} // namespace jackdawlead::decisions
