#pragma once

#include "core/ids.h"
#include "core/storeposition.h"
#include "core/time.h"
#include "net/httpmessage.h"

#include <cstdint>
#include <optional>

namespace jackdawlead::decisions {

struct OrderLeaseLimits
{
    /// Two renewals per second, so that one lost response does not end the lease.
    core::Duration renewPeriod = std::chrono::milliseconds(500);
    /// The lease is valid for this long after its last successful renewal was sent.
    core::Duration validity = std::chrono::milliseconds(1300);
    /// Minimum time between orders of two holders; the platform's lease time.
    core::Duration takeoverDelay = std::chrono::milliseconds(3000);
    /// Added to takeoverDelay for an order that is in flight when the validity ends.
    core::Duration inFlightMargin = std::chrono::milliseconds(300);
    /// How long a daemon waits before it tries to acquire an expired lease.
    core::Duration candidacyDelay {};
    /// The whole system starts for the first time, so that a missing record had no holder.
    bool isFirstStart = true;
};

/// Returns the candidacy delay of a daemon with the given number of cores. The holder's work takes
/// a third of a core on a deployment of 67 daemons; holders with 0.12 of a core issued hardly any
/// order in time. The delays of small and large daemons differ by more than the interval of reads,
/// 400 ms. Thread safety: any thread.
core::Duration candidacyDelay(double availableCores);

/// The record in the store that names the one daemon which may issue orders.
struct OrderLeaseRecord
{
    core::HostId holder;
    core::FencingToken token;
    net::Address address; ///< Where the holder receives the other daemons' reports.
    bool isReleased = false;
    /// Whether the orders of all earlier holders were older than the platform's lease time when the
    /// record was written, so that another process of the holder's host needn't wait for them.
    bool hasWaited = false;
    core::StorePosition position; ///< Of the stored record; changes with each write.
    /// Era in which the holder wrote the record; an earlier one than that of the position if the
    /// record came back with a copy.
    core::StoreEra writtenIn;
};

/// Determines whether this daemon may issue orders. A successor replaces the record by conditional
/// update and issues no orders until the predecessor's last possible order is older than the
/// platform's lease time. After a restore of the store the last holder is unknown, so that the next
/// one waits like a successor, also if it is the same daemon. Tokens are unique over restores. All
/// times are of a clock that includes suspension. Thread safety: one thread at a time.
class OrderLease
{
public:
    OrderLease(core::HostId self, OrderLeaseLimits limits);

    /// Records the era of the store; to be called before its record or the lack of one is observed.
    void enterEra(core::StoreEra era, core::TimePoint now);
    /// Records a read of the record that was answered at `answeredAt`; `record` is empty if there
    /// is none. A holder ignores a record from before its own last write.
    void observe(const std::optional<OrderLeaseRecord> &record, core::TimePoint answeredAt);
    /// Whether to write the record now, to renew the lease or to take it over.
    bool shouldWrite(core::TimePoint now) const;
    /// The record to write; its position is that of the record to replace, or has no revision to
    /// create it.
    OrderLeaseRecord proposal(const net::Address &address, core::TimePoint now) const;
    /// The proposal sent at `sentAt` was stored at `position`. Precondition: it is in the era of
    /// the proposal.
    void proposalAccepted(const OrderLeaseRecord &proposal, const core::StorePosition &position,
                          core::TimePoint sentAt);
    /// Whether an order may be sent. Must be called directly before each one.
    bool canIssueOrders(core::TimePoint now) const;
    bool isHolder(core::TimePoint now) const;
    /// Ends the validity at once, before the record is released.
    void release();
    /// A daemon that is not eligible does not acquire the lease. If it holds it, the validity ends
    /// at once, before the record is released.
    void setEligible(bool isEligible);
    bool isEligible() const { return m_isEligible; }

    const std::optional<OrderLeaseRecord> &record() const { return m_record; }

private:
    /// Whether this daemon, or an earlier process of its host, wrote the record in this era.
    bool isOwn() const
    {
        return m_record && m_record->holder == m_self && m_record->writtenIn == m_era;
    }
    /// When the orders of a holder that was valid until `end` are older than the lease time.
    core::TimePoint ordersAllowedAfter(core::TimePoint end) const
    {
        return end + m_limits.takeoverDelay + m_limits.inFlightMargin;
    }
    bool hasExpired(core::TimePoint now) const;
    /// Whether this daemon gives the lease up and does not acquire it.
    bool isWithdrawn() const { return m_isReleased || !m_isEligible; }
    /// When this daemon may issue orders if a proposal that is sent at `sentAt` is accepted.
    core::TimePoint ordersAllowedFrom(core::TimePoint sentAt) const;

    core::HostId m_self;
    OrderLeaseLimits m_limits;
    core::StoreEra m_era;
    bool m_isEraKnown = false;
    bool m_hasSeenRestore = false; ///< By this process, so that its orders wait.
    std::optional<OrderLeaseRecord> m_record;
    std::optional<core::FencingToken> m_acceptedToken; ///< Of this process's last proposal.
    std::optional<core::TimePoint> m_unchangedSince;
    std::optional<core::TimePoint> m_lastReadAt;
    std::optional<core::TimePoint> m_expiredSince; ///< First read at which the lease had expired.
    std::optional<core::TimePoint> m_validUntil;
    core::TimePoint m_lastRenewalAt;
    core::TimePoint m_ordersAllowedAt;
    bool m_isReleased = false;
    bool m_isEligible = true;
};

} // namespace jackdawlead::decisions
