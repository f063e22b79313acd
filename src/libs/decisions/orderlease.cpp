#include "decisions/orderlease.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::decisions {

core::Duration candidacyDelay(double availableCores)
{
    constexpr std::chrono::duration<double, std::milli> delayAtOneCore(100);
    constexpr core::Duration maxDelay = std::chrono::milliseconds(1000);
    if (availableCores <= 0)
        return maxDelay;
    return std::min(maxDelay,
                    std::chrono::duration_cast<core::Duration>(delayAtOneCore / availableCores));
}

OrderLease::OrderLease(core::HostId self, OrderLeaseLimits limits)
    : m_self(std::move(self))
    , m_limits(limits)
{ }

void OrderLease::observe(const std::optional<OrderLeaseRecord> &record, core::TimePoint answeredAt)
{
    const bool isUnchanged = m_record && record && m_record->revision == record->revision;
    if (!isUnchanged || !m_unchangedSince)
        m_unchangedSince = answeredAt;
    if (!isUnchanged && !(record && record->holder == m_self))
        m_validUntil.reset();
    m_record = record;
    m_lastReadAt = answeredAt;
    if (!hasExpired(answeredAt))
        m_expiredSince.reset();
    else if (!m_expiredSince)
        m_expiredSince = answeredAt;
}

bool OrderLease::hasExpired(core::TimePoint now) const
{
    if (!m_lastReadAt)
        return false;
    if (!m_record || m_record->isReleased || isOwn())
        return true;
    // Only times of reads count, because the holder may have renewed in between.
    return *m_lastReadAt - *m_unchangedSince >= m_limits.validity
        && now - *m_lastReadAt < m_limits.validity;
}

bool OrderLease::shouldWrite(core::TimePoint now) const
{
    if (m_isReleased)
        return false;
    if (m_validUntil)
        return now - m_lastRenewalAt >= m_limits.renewPeriod;
    if (!hasExpired(now))
        return false;
    return isOwn() || (m_expiredSince && now - *m_expiredSince >= m_limits.candidacyDelay);
}

OrderLeaseRecord OrderLease::proposal(const net::Address &address, core::TimePoint now) const
{
    OrderLeaseRecord proposal;
    proposal.holder = m_self;
    proposal.address = address;
    proposal.isReleased = m_isReleased;
    if (!m_record) {
        proposal.token = core::FencingToken(1);
        return proposal;
    }
    proposal.revision = m_record->revision;
    const bool isRenewal = m_validUntil && now < *m_validUntil;
    proposal.token = isRenewal ? m_record->token : m_record->token.next();
    return proposal;
}

void OrderLease::proposalAccepted(const OrderLeaseRecord &proposal, std::uint64_t revision,
                                  core::TimePoint sentAt)
{
    const bool isTakeover = m_record && m_record->holder != m_self;
    if (isTakeover) {
        // The predecessor sent its last renewal before this revision was first read. If it released
        // the lease, it issued no order after that.
        const core::Duration remainingValidity
            = m_record->isReleased ? core::Duration::zero() : m_limits.validity;
        const core::TimePoint lastPossibleOrderAt
            = m_unchangedSince.value_or(sentAt) + remainingValidity;
        m_ordersAllowedAt
            = std::max(m_ordersAllowedAt,
                       lastPossibleOrderAt + m_limits.takeoverDelay + m_limits.inFlightMargin);
    }
    m_record = proposal;
    m_record->revision = revision;
    m_unchangedSince = sentAt;
    m_lastReadAt = sentAt;
    m_lastRenewalAt = sentAt;
    if (!m_isReleased)
        m_validUntil = sentAt + m_limits.validity;
}

bool OrderLease::isHolder(core::TimePoint now) const
{
    return m_validUntil && now < *m_validUntil && !m_isReleased;
}

bool OrderLease::canIssueOrders(core::TimePoint now) const
{
    return isHolder(now) && now >= m_ordersAllowedAt;
}

void OrderLease::release()
{
    m_isReleased = true;
    m_validUntil.reset();
}

} // namespace jackdawlead::decisions
