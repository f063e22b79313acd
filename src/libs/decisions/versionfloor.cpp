#include "decisions/versionfloor.h"

#include <algorithm>
#include <iterator>

namespace jackdawlead::decisions {

// The last tenth of the bound covers the way of the request.
VersionLimits versionLimits(core::Duration versionBound)
{
    constexpr double graceFraction = 0.45;
    constexpr double sendFraction = 0.7;
    constexpr double queueFraction = 0.9;
    return {core::scaled(versionBound, graceFraction), core::scaled(versionBound, sendFraction),
            core::scaled(versionBound, queueFraction)};
}

bool VersionFloor::announce(int version, core::TimePoint learnedAt, core::TimePoint madeAfter,
                            const VersionLimits &limits)
{
    if (version <= newest())
        return false;
    m_floor = lowestAllowed(learnedAt);
    std::erase_if(m_pending,
                  [learnedAt](const Pending &pending) { return pending.requiredAt <= learnedAt; });
    // After a long time without contact the announcement may be about as old.
    const core::TimePoint requiredAt
        = std::max(learnedAt, std::min(learnedAt + limits.grace, madeAfter + limits.bound));
    // Requiring a version later than a newer one would make no difference.
    for (Pending &pending : m_pending)
        pending.requiredAt = std::min(pending.requiredAt, requiredAt);
    if (requiredAt <= learnedAt) {
        m_floor = version;
        m_pending.clear();
    } else {
        m_pending.push_back({version, requiredAt});
    }
    return true;
}

int VersionFloor::lowestAllowed(core::TimePoint now) const
{
    const auto firstNotRequired = std::ranges::find_if(
        m_pending, [now](const Pending &pending) { return pending.requiredAt > now; });
    return firstNotRequired == m_pending.begin() ? m_floor : std::prev(firstNotRequired)->version;
}

} // namespace jackdawlead::decisions
