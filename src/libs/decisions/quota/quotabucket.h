#pragma once

#include "decisions/quota/quotatypes.h"

#include <cstdint>
#include <deque>
#include <map>

namespace jackdawlead::decisions::quota {

/// The token bucket of one customer on the coordinator, and the allowances that daemons may still
/// spend. The bucket and these allowances together never exceed the capacity, so that the spends of
/// any window are at most rate * window + capacity + refunds. Thread safety: one thread at a time.
class QuotaBucket
{
public:
    struct Limits
    {
        double rate = 0;          ///< Tokens per second that fill the bucket.
        double capacity = 0;      ///< Of the bucket and the outstanding allowances together.
        double maxRefund = 0;     ///< Tokens in each window.
        core::Duration window {}; ///< For `maxRefund`.
    };
    /// The exchange of messages with a daemon in which tokens are issued.
    struct Exchange
    {
        core::HostId daemon;
        std::uint64_t lastAnswer = 0;   ///< The last answer that the daemon has received.
        std::uint64_t answerNumber = 0; ///< Of the answer that carries the grant.
        bool areTotalsKnown = false;
    };

    /// The bucket is empty at first.
    QuotaBucket(const Limits &limits, core::TimePoint now)
        : m_limits(limits)
        , m_filledAt(now)
    { }

    /// Fills the bucket at the former rate, then cuts it to the new capacity.
    void setLimits(const Limits &limits, core::TimePoint now);
    /// Fills the bucket, and counts allowances that have expired as spent.
    void update(core::TimePoint now);
    QuotaGrant issue(const Exchange &exchange, const QuotaUse &use, core::TimePoint now);
    double outstanding() const { return m_outstanding; }
    double available() const { return m_level; }

private:
    struct Lot
    {
        std::uint64_t answerNumber = 0;
        double tokens = 0;
        core::TimePoint issuedAt;
        bool isOrphan = false; ///< Of an earlier incarnation; no report accounts for it.
    };
    struct Account
    {
        std::deque<Lot> lots; ///< The earliest first.
        std::uint64_t lastAnswer = 0;
        double spentTotal = 0;
        double returnedTotal = 0;
        double refundedTotal = 0;
        double expiredSinceReport = 0;
        double demandPerSecond = 0;
        double part = 0;   ///< Of the demand of all daemons.
        double credit = 0; ///< Part of the refill while demand exceeds the rate.
        core::TimePoint reportedAt;
    };

    Account &accountOf(const Exchange &exchange, const QuotaUse &use, core::TimePoint now);
    void settle(Account &account, const Exchange &exchange, const QuotaUse &use,
                core::TimePoint now);
    void refund(double tokens, core::TimePoint now);
    void fill(core::TimePoint until);
    void addToLevel(double tokens);
    void accrueCredit(Account &account, double demandPerSecond, core::TimePoint now);
    void countDemand(core::TimePoint now);
    /// Returns when the first allowance expires.
    core::TimePoint countOutstanding();
    double grantForWaiting(const Account &account, double missing, double smallest) const;
    double reserved(double meanCost) const;
    bool isScarce() const;
    /// Until the bucket, and the daemon's part of it, suffice for the tokens.
    core::Duration fillTime(const Account &account, double tokens) const;
    bool canIssueSoon(const Account &account, const QuotaUse &use) const;
    double grantInAdvance(const Account &account, const QuotaUse &use, double usable) const;

    Limits m_limits;
    double m_level = 0;
    double m_outstanding = 0;     ///< Tokens of all lots.
    double m_demandPerSecond = 0; ///< Of all daemons.
    core::TimePoint m_filledAt;
    std::map<core::HostId, Account> m_accounts;
    struct Refund
    {
        core::TimePoint at;
        double tokens = 0;
    };
    std::deque<Refund> m_refunds; ///< Of the last window.
};

} // namespace jackdawlead::decisions::quota
