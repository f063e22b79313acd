#include "decisions/endpointlimits.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::decisions {

LimitChange EndpointLimits::recordAnnounced(const core::EndpointId &id,
                                            fleet::StartTime incarnation, fleet::RequestRate rate,
                                            core::TimePoint sentAt, core::TimePoint receivedAt)
{
    const auto known = m_limits.find(id);
    if (known != m_limits.end() && known->second.incarnation == incarnation) {
        const EndpointLimit &limit = known->second;
        const bool hasCrossed = sentAt < limit.statedAt;
        // The time of the statement stays as it is, so that a later request can raise the limit.
        if (hasCrossed && limit.rate && rate > *limit.rate)
            return LimitChange::None;
        receivedAt = std::max(receivedAt, limit.statedAt);
    }
    return applyUpdate(id, {incarnation, rate, receivedAt});
}

LimitChange EndpointLimits::recordUnlimited(const core::EndpointId &id,
                                            fleet::StartTime incarnation, core::TimePoint sentAt)
{
    if (find(id, incarnation) == nullptr)
        return LimitChange::None;
    return applyUpdate(id, {incarnation, std::nullopt, sentAt});
}

LimitChange EndpointLimits::applyUpdate(const core::EndpointId &id, const EndpointLimit &limit)
{
    const auto [known, isNew] = m_limits.try_emplace(id, limit);
    EndpointLimit &current = known->second;
    if (isNew)
        return limit.rate ? LimitChange::Announced : LimitChange::None;
    const bool isLaterIncarnation = current.incarnation < limit.incarnation;
    if (!isLaterIncarnation
        && (limit.incarnation < current.incarnation || limit.statedAt < current.statedAt))
        return LimitChange::None;
    const EndpointLimit before = std::exchange(current, limit);
    const bool wasLimited = before.rate && !isLaterIncarnation;
    if (wasLimited && limit.rate)
        return *before.rate == *limit.rate ? LimitChange::None : LimitChange::Changed;
    if (limit.rate)
        return LimitChange::Announced;
    return before.rate ? LimitChange::Lifted : LimitChange::None;
}

const EndpointLimit *EndpointLimits::find(const core::EndpointId &id,
                                          fleet::StartTime incarnation) const
{
    const auto found = m_limits.find(id);
    if (found == m_limits.end() || found->second.incarnation != incarnation || !found->second.rate)
        return nullptr;
    return &found->second;
}

void EndpointLimits::removeExpired(core::TimePoint now)
{
    std::erase_if(m_limits, [now](const auto &entry) {
        return !entry.second.rate && now - entry.second.statedAt > liftedRetention;
    });
}

} // namespace jackdawlead::decisions
