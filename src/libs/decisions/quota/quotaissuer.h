#pragma once

#include "decisions/quota/quotabucket.h"
#include "decisions/quota/quotatypes.h"

#include <cstdint>
#include <map>
#include <optional>

namespace jackdawlead::decisions::quota {

/// Issues allowances so that all daemons together keep the quota of each customer: a token bucket
/// for each customer, on the coordinator. What is in the bucket and what is issued and not yet
/// reported as spent never exceeds burst + tolerance / 2. A new coordinator begins with empty
/// buckets. Thread safety: one thread at a time.
class QuotaIssuer
{
public:
    explicit QuotaIssuer(const QuotaTolerance &tolerance = {})
        : m_tolerance(tolerance)
    { }

    /// Takes effect at the next setQuotas().
    void setTolerance(const QuotaTolerance &tolerance) { m_tolerance = tolerance; }
    /// Replaces the quotas. A lowered one takes effect at once; a removed one is remembered for one
    /// window, so that adding it again does not fill the bucket.
    void setQuotas(const std::map<core::CustomerId, fleet::Quota> &quotas, core::TimePoint now);
    /// Sets the part of each quota that daemons out of contact use by themselves, 0 to 1.
    void setWithheld(double fraction, core::TimePoint now);
    /// Forgets the state of an earlier term.
    void reset(core::TimePoint now);
    /// Applies a daemon's report and issues what it asks for. Totals of a report with
    /// `areTotalsKnown` false belong to another coordinator or incarnation and are not counted.
    /// `answerNumber` is that of the answer that carries the grants, of QuotaHolders::makeAnswer().
    std::map<core::CustomerId, QuotaGrant> issue(const core::HostId &daemon,
                                                 const QuotaReport &report, bool areTotalsKnown,
                                                 std::uint64_t answerNumber, core::TimePoint now);
    /// Tokens that are issued and neither reported as spent nor returned nor expired.
    double outstanding(const core::CustomerId &customer) const;
    double available(const core::CustomerId &customer) const;
    /// The most that the bucket and the outstanding allowances may hold together.
    double capacityOf(const fleet::Quota &quota) const;

private:
    struct Entry
    {
        fleet::Quota quota;
        QuotaBucket bucket;
        std::optional<core::TimePoint> removedAt;
    };

    QuotaBucket::Limits limitsOf(const fleet::Quota &quota) const;
    const Entry *find(const core::CustomerId &customer) const;

    QuotaTolerance m_tolerance;
    double m_withheld = 0;
    std::map<core::CustomerId, Entry> m_entries;
};

} // namespace jackdawlead::decisions::quota
