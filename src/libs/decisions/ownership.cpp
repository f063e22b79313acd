#include "decisions/ownership.h"

namespace jackdawlead::decisions {

std::optional<core::FencingToken> tokenToClaim(const OwnershipView &view)
{
    const bool isPreferred = view.preferred == view.self;
    if (!view.record)
        return isPreferred ? std::optional(core::FencingToken(1)) : std::nullopt;
    const core::FencingToken next = view.record->token.next();
    // A record of an earlier process, or from before the lease expired, must be claimed again.
    if (view.record->holder == view.self)
        return view.isClaimedHere ? std::nullopt : std::optional(next);
    const bool isFree = view.record->holder.isEmpty() || view.hasHolderLeaseExpired;
    return isPreferred && isFree ? std::optional(next) : std::nullopt;
}

} // namespace jackdawlead::decisions
