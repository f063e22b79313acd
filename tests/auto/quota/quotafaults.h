#pragma once

#include "auto/quota/quotapolicies.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace jackdawlead::testsupport {

/// A fault for tests of the simulation: allowances of answers that were not confirmed before they
/// expired are issued again.
class ReissuingIssuer : public QuotaIssuer
{
public:
    using QuotaIssuer::QuotaIssuer;

    std::map<core::CustomerId, decisions::quota::QuotaGrant>
    issue(const core::HostId &daemon, const QuotaReport &report, bool areTotalsKnown,
          std::uint64_t answerNumber, core::TimePoint now)
    {
        auto grants = QuotaIssuer::issue(daemon, report, areTotalsKnown, answerNumber, now);
        const auto grant = grants.find(simulatedCustomer);
        if (grant == grants.end())
            return grants;
        const double issued = grant->second.tokens;
        std::deque<Issued> &unconfirmed = m_unconfirmed[daemon];
        std::erase_if(unconfirmed, [&](const Issued &entry) {
            if (entry.number <= report.lastAnswer)
                return true;
            if (now - entry.at < decisions::quota::allowanceLifetime)
                return false;
            grant->second.tokens += entry.tokens;
            return true;
        });
        if (issued > 0 || grant->second.tokens > 0)
            unconfirmed.push_back({answerNumber, grant->second.tokens, now});
        return grants;
    }

private:
    struct Issued
    {
        std::uint64_t number = 0;
        double tokens = 0;
        core::TimePoint at;
    };

    std::map<core::HostId, std::deque<Issued>> m_unconfirmed;
};

struct ReissuedAllowances
{
    using Coordinator = IssuingCoordinator<ReissuingIssuer>;
    using Daemon = QuotaAllowance;
    static constexpr bool isClockPaused = false;
};

/// A fault: the daemons' clock stands still while they are frozen, so that they spend allowances
/// after they have woken up.
struct AllowancesOfFrozenDaemons
{
    using Coordinator = IssuingCoordinator<>;
    using Daemon = QuotaAllowance;
    static constexpr bool isClockPaused = true;
};

/// A fault: refunds are issued again without a bound.
class RefundingIssuer : public QuotaIssuer
{
public:
    using QuotaIssuer::QuotaIssuer;

    std::map<core::CustomerId, decisions::quota::QuotaGrant>
    issue(const core::HostId &daemon, const QuotaReport &report, bool areTotalsKnown,
          std::uint64_t answerNumber, core::TimePoint now)
    {
        double refunded = 0;
        QuotaReport without = report;
        for (auto &[customer, use] : without.uses) {
            double &known = m_refunded[daemon];
            refunded = areTotalsKnown ? std::max(0.0, use.refundedTotal - known) : 0;
            known = areTotalsKnown ? use.refundedTotal : 0;
            use.refundedTotal = 0;
        }
        auto grants = QuotaIssuer::issue(daemon, without, areTotalsKnown, answerNumber, now);
        for (auto &[customer, grant] : grants)
            grant.tokens += refunded;
        return grants;
    }

private:
    std::map<core::HostId, double> m_refunded;
};

struct UnboundedRefunds
{
    using Coordinator = IssuingCoordinator<RefundingIssuer>;
    using Daemon = QuotaAllowance;
    static constexpr bool isClockPaused = false;
};

/// A fault: the coordinator issues the full rate beside the shares of daemons out of contact.
class UnwithheldIssuer : public QuotaIssuer
{
public:
    using QuotaIssuer::QuotaIssuer;

    void setWithheld(double, core::TimePoint) { }
};

struct UnwithheldShares
{
    using Coordinator = IssuingCoordinator<UnwithheldIssuer>;
    using Daemon = QuotaAllowance;
    static constexpr bool isClockPaused = false;
};

} // namespace jackdawlead::testsupport
