#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "net/httpmessage.h"

#include <cstdint>
#include <optional>

namespace jackdawlead::decisions {

struct OrderLeaseLimits
{
    /// Two writes a second keep the lease, so that one lost answer does not end it.
    core::Duration renewPeriod = std::chrono::milliseconds(500);
    /// The holder's right ends this long after its last successful renewal was sent.
    core::Duration validity = std::chrono::milliseconds(1300);
    /// Orders of two holders are at least this far apart; the platform's lease time.
    core::Duration takeoverDelay = std::chrono::milliseconds(3000);
    /// Added to the silence for an order that is on its way when the right ends.
    core::Duration inFlightMargin = std::chrono::milliseconds(300);
    /// How long a daemon leaves a lease that has lapsed to others.
    core::Duration candidacyDelay {};
};

/// The delay of a daemon with this part of a processor. The duties of the holder take a third of a
/// core on a deployment of 67 daemons; daemons with 0.12 of one that won the lease gave hardly an
/// order in time. The delays of the small and the large ones differ by more than the period of
/// readings, 400 ms.
core::Duration candidacyDelay(double availableCores);

/// The record in the store that names the one daemon that gives orders.
struct OrderLeaseRecord
{
    core::HostId holder;
    core::FencingToken token;
    net::Address address; ///< Where the holder takes the other daemons' reports.
    bool isReleased = false;
    std::uint64_t revision = 0; ///< Of the stored record; changes with each write.
};

/// Decides who may give orders. A successor writes the record on the condition that it is
/// unchanged, and stays silent until the predecessor's last possible order is older than the
/// platform's lease time. All times are of a clock that counts suspension.
/// Thread safety: one thread at a time.
class OrderLease
{
public:
    OrderLease(core::HostId self, OrderLeaseLimits limits);

    /// A reading of the record that was answered at `answeredAt`; empty if there is none.
    void observe(const std::optional<OrderLeaseRecord> &record, core::TimePoint answeredAt);
    /// Whether to write the record now, to keep it or to take it over.
    bool shouldWrite(core::TimePoint now) const;
    /// What to write; the revision is that of the record to replace, zero to create it.
    OrderLeaseRecord proposal(const net::Address &address, core::TimePoint now) const;
    /// The proposal sent at `sentAt` took effect and has `revision` now.
    void proposalAccepted(const OrderLeaseRecord &proposal, std::uint64_t revision,
                          core::TimePoint sentAt);
    /// Whether an order may be sent; to be asked directly before each one.
    bool canIssueOrders(core::TimePoint now) const;
    bool isHolder(core::TimePoint now) const;
    /// Gives up the right at once, before the record says so.
    void release();

    const std::optional<OrderLeaseRecord> &record() const { return m_record; }

private:
    bool isOwn() const { return m_record && m_record->holder == m_self; }
    bool hasExpired(core::TimePoint now) const;

    core::HostId m_self;
    OrderLeaseLimits m_limits;
    std::optional<OrderLeaseRecord> m_record;
    std::optional<core::TimePoint> m_unchangedSince;
    std::optional<core::TimePoint> m_lastReading;
    std::optional<core::TimePoint> m_lapsedSince; ///< First reading that showed no holder.
    std::optional<core::TimePoint> m_validUntil;
    core::TimePoint m_lastRenewal;
    core::TimePoint m_silentUntil;
    bool m_isReleased = false;
};

} // namespace jackdawlead::decisions
