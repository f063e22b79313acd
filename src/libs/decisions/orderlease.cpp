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

namespace {

// The smallest token of a holder that replaces the record at `position`. Within an era revisions
// are unique, and an era's tokens are above those of all earlier ones, whichever of them the copy
// lacks. The numbers stay below 2^53, which JSON parsers represent exactly, for 8,000 restores.
core::FencingToken minToken(const core::StorePosition &position)
{
    constexpr int revisionBits = 40;
    return core::FencingToken((position.era.value() << revisionBits) + position.revision);
}

} // namespace

OrderLease::OrderLease(core::HostId self, OrderLeaseLimits limits)
    : m_self(std::move(self))
    , m_limits(limits)
{ }

void OrderLease::enterEra(core::StoreEra era, core::TimePoint now)
{
    if (m_isEraKnown && era == m_era)
        return;
    const bool isRestore = std::exchange(m_isEraKnown, true);
    m_era = era;
    if (!isRestore)
        return;
    // Any daemon may have acquired the lost or the restored record, and a late write of this one
    // may have replaced its record.
    m_hasSeenRestore = true;
    m_validUntil.reset();
    m_unchangedSince.reset();
    m_ordersAllowedAt = std::max(m_ordersAllowedAt, ordersAllowedAfter(now + m_limits.validity));
}

void OrderLease::observe(const std::optional<OrderLeaseRecord> &record, core::TimePoint answeredAt)
{
    // After a failed renewal another daemon may answer with its copy from before the takeover.
    const bool isOutdated = isHolder(answeredAt) && m_record && record
        && m_record->position.isAfter(record->position);
    if (isOutdated)
        return;
    const bool isUnchanged = m_record && record && m_record->position == record->position;
    if (!isUnchanged || !m_unchangedSince)
        m_unchangedSince = answeredAt;
    m_record = record;
    if (!isUnchanged && !isOwn())
        m_validUntil.reset();
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
    // Whoever the last holder was, a daemon that saw the restore issues no orders for long enough.
    const bool isOwnOfCopy = m_record && m_record->holder == m_self && m_hasSeenRestore;
    if (!m_record || m_record->isReleased || isOwn() || isOwnOfCopy)
        return true;
    // Only times of reads count, because the holder may have renewed in between.
    return *m_lastReadAt - *m_unchangedSince >= m_limits.validity
        && now - *m_lastReadAt < m_limits.validity;
}

bool OrderLease::shouldWrite(core::TimePoint now) const
{
    if (isWithdrawn())
        return false;
    if (m_validUntil)
        return now - m_lastRenewalAt >= m_limits.renewPeriod;
    if (!hasExpired(now))
        return false;
    const bool isSelfNamed = m_record && m_record->holder == m_self;
    return isSelfNamed || (m_expiredSince && now - *m_expiredSince >= m_limits.candidacyDelay);
}

OrderLeaseRecord OrderLease::proposal(const net::Address &address, core::TimePoint now) const
{
    OrderLeaseRecord proposal;
    proposal.holder = m_self;
    proposal.address = address;
    proposal.isReleased = isWithdrawn();
    proposal.writtenIn = m_era;
    proposal.position.era = m_era;
    proposal.hasWaited = now >= ordersAllowedFrom(now);
    if (!m_record) {
        proposal.token = std::max(core::FencingToken(1), minToken(proposal.position));
        return proposal;
    }
    proposal.position = m_record->position;
    const bool isRenewal = m_validUntil && now < *m_validUntil;
    proposal.token = isRenewal ? m_record->token
                               : std::max(m_record->token.next(), minToken(proposal.position));
    return proposal;
}

core::TimePoint OrderLease::ordersAllowedFrom(core::TimePoint sentAt) const
{
    if (!m_record) {
        // The copy of a restored store may lack the record of the holder.
        return m_limits.isFirstStart
            ? m_ordersAllowedAt
            : std::max(m_ordersAllowedAt, ordersAllowedAfter(sentAt + m_limits.validity));
    }
    const core::TimePoint observedAt = m_unchangedSince.value_or(sentAt);
    if (isOwn()) {
        // The answer to the write was lost, or an earlier process wrote it: the wait for the holder
        // before that may not be over.
        const bool isWaitKnown = m_acceptedToken == m_record->token || m_record->hasWaited;
        return isWaitKnown ? m_ordersAllowedAt
                           : std::max(m_ordersAllowedAt, ordersAllowedAfter(observedAt));
    }
    // The predecessor sent its last renewal before this revision was first read. If it released the
    // lease, it issued no order after that, but a release that came back with a copy may have had
    // successors.
    const bool isReleaseCurrent = m_record->isReleased && m_record->writtenIn == m_era;
    const core::Duration remainingValidity
        = isReleaseCurrent ? core::Duration::zero() : m_limits.validity;
    return std::max(m_ordersAllowedAt, ordersAllowedAfter(observedAt + remainingValidity));
}

void OrderLease::proposalAccepted(const OrderLeaseRecord &proposal,
                                  const core::StorePosition &position, core::TimePoint sentAt)
{
    m_ordersAllowedAt = ordersAllowedFrom(sentAt);
    m_acceptedToken = proposal.token;
    m_record = proposal;
    m_record->position = position;
    m_unchangedSince = sentAt;
    m_lastReadAt = sentAt;
    m_lastRenewalAt = sentAt;
    if (!isWithdrawn() && !proposal.isReleased)
        m_validUntil = sentAt + m_limits.validity;
}

bool OrderLease::isHolder(core::TimePoint now) const
{
    return m_validUntil && now < *m_validUntil && !isWithdrawn();
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

void OrderLease::setEligible(bool isEligible)
{
    m_isEligible = isEligible;
    if (!isEligible)
        m_validUntil.reset();
}

} // namespace jackdawlead::decisions
