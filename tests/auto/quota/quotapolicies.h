#pragma once

#include "auto/quota/quotascenario.h"
#include "decisions/quota/quotaallowance.h"
#include "decisions/quota/quotaholders.h"
#include "decisions/quota/quotaissuer.h"

#include <algorithm>
#include <concepts>
#include <map>

namespace jackdawlead::testsupport {

using decisions::quota::QuotaAllowance;
using decisions::quota::QuotaAnswer;
using decisions::quota::QuotaHolders;
using decisions::quota::QuotaIssuer;
using decisions::quota::QuotaReport;

inline const core::CustomerId simulatedCustomer {"customer"};

/// A coordinator as the product combines its modules.
template <typename Issuer = QuotaIssuer> class IssuingCoordinator
{
public:
    IssuingCoordinator(const QuotaScenario &scenario, const fleet::Quota &quota,
                       const QuotaHolders::Records &records, core::FencingToken token,
                       core::TimePoint now)
        : m_issuer(scenario.tolerance)
    {
        m_holders.reset(records, token, now);
        m_issuer.setWithheld(m_holders.withheld(now), now);
        setQuota(quota, now);
    }

    void setQuota(const fleet::Quota &quota, core::TimePoint now)
    {
        m_issuer.setQuotas({{simulatedCustomer, quota}}, now);
    }
    QuotaAnswer handle(const core::HostId &daemon, const QuotaReport &report, core::TimePoint now)
    {
        m_holders.removeExpired(now);
        const bool areTotalsKnown = m_holders.recordReport(daemon, report, now);
        m_issuer.setWithheld(m_holders.withheld(now), now);
        QuotaAnswer answer = m_holders.makeAnswer(daemon, now);
        answer.grants = m_issuer.issue(daemon, report, areTotalsKnown, answer.number, now);
        return answer;
    }
    QuotaHolders::Records records() const { return m_holders.records(); }
    double available() const { return m_issuer.available(simulatedCustomer); }

private:
    QuotaHolders m_holders;
    Issuer m_issuer;
};

/// The policy of the product.
struct IssuedAllowances
{
    using Coordinator = IssuingCoordinator<>;
    using Daemon = QuotaAllowance;
    static constexpr bool isClockPaused = false; ///< While the process is frozen.
};

/// A baseline: each daemon has a bucket with an equal share of rate and capacity; a request larger
/// than the capacity is admitted if the bucket is full.
class EqualShare
{
public:
    using Verdict = QuotaAllowance::Verdict;
    using Decision = QuotaAllowance::Decision;

    explicit EqualShare(fleet::StartTime) { }

    void setScenario(const QuotaScenario &scenario) { m_daemons = scenario.daemons; }
    void setTolerance(const decisions::quota::QuotaTolerance &tolerance)
    {
        m_tolerance = tolerance;
    }
    void setQuotas(const std::map<core::CustomerId, fleet::Quota> &quotas, core::TimePoint now)
    {
        const fleet::Quota &quota = quotas.begin()->second;
        m_rate = quota.tokensPerSecond / m_daemons;
        m_capacity = QuotaIssuer(m_tolerance).capacityOf(quota) / m_daemons;
        m_level = std::min(m_level, m_capacity);
        m_filledAt = now;
    }
    Decision trySpend(const core::CustomerId &, double tokens, bool, core::TimePoint now)
    {
        m_level = std::min(m_capacity, m_level + m_rate * core::toSeconds(now - m_filledAt));
        m_filledAt = now;
        if (m_level < std::min(tokens, m_capacity))
            return {Verdict::Exhausted, {}, {}, m_level};
        m_level -= tokens;
        return {};
    }
    double held(const core::CustomerId &, core::TimePoint) const { return 0; }
    void addWaiting(const core::CustomerId &, double) { }
    void removeWaiting(const core::CustomerId &, double) { }
    void refund(const core::CustomerId &, double tokens) { m_level += tokens; }
    bool isReportDue() const { return false; }
    void recordLostReport() { }
    QuotaReport takeReport(bool, core::TimePoint) { return {}; }
    void apply(const QuotaAnswer &, core::TimePoint, core::TimePoint) { }

private:
    decisions::quota::QuotaTolerance m_tolerance;
    int m_daemons = 1;
    double m_rate = 0;
    double m_capacity = 0;
    double m_level = 0;
    core::TimePoint m_filledAt;
};

struct EqualShares
{
    using Coordinator = IssuingCoordinator<>;
    using Daemon = EqualShare;
    static constexpr bool isClockPaused = false;
};

/// A baseline: a bucket on the coordinator that issues what daemons ask for; tokens expire 1 s
/// after the answer and nothing limits how many are outstanding. Daemons without a coordinator
/// spend nothing.
class PermitBucket
{
public:
    explicit PermitBucket(const decisions::quota::QuotaTolerance &) { }

    void setQuotas(const std::map<core::CustomerId, fleet::Quota> &quotas, core::TimePoint now)
    {
        m_quota = quotas.begin()->second;
        m_filledAt = now;
    }
    void setWithheld(double, core::TimePoint) { }
    double available(const core::CustomerId &) const { return m_level; }
    std::map<core::CustomerId, decisions::quota::QuotaGrant>
    issue(const core::HostId &, const QuotaReport &report, bool, std::uint64_t, core::TimePoint now)
    {
        // As in PermitIssuer, tokens accumulate for the time that daemons need to report.
        const double capacity = std::max(m_quota.burst, 0.75 * m_quota.tokensPerSecond);
        const double added = m_quota.tokensPerSecond * core::toSeconds(now - m_filledAt);
        m_level = std::min(capacity, m_level + added);
        m_filledAt = now;
        std::map<core::CustomerId, decisions::quota::QuotaGrant> grants;
        for (const auto &[customer, use] : report.uses) {
            const double missing = std::max(0.0, use.waiting - use.held);
            const bool isEnough = m_level + use.held >= use.smallestWaiting;
            const double tokens = isEnough ? std::min(m_level, std::max(missing, use.wanted)) : 0.0;
            m_level -= tokens;
            grants[customer] = {tokens, missing > tokens, {}};
        }
        return grants;
    }

private:
    fleet::Quota m_quota;
    double m_level = 0;
    core::TimePoint m_filledAt;
};

/// Adjusts the expiry of allowances to 1 s after the answer, and returns nothing.
class PermitDaemon : private QuotaAllowance
{
public:
    using QuotaAllowance::addWaiting;
    using QuotaAllowance::Decision;
    using QuotaAllowance::held;
    using QuotaAllowance::isReportDue;
    using QuotaAllowance::QuotaAllowance;
    using QuotaAllowance::recordLostReport;
    using QuotaAllowance::removeWaiting;
    using QuotaAllowance::setQuotas;
    using QuotaAllowance::setTolerance;
    using QuotaAllowance::Verdict;

    Decision trySpend(const core::CustomerId &customer, double tokens, bool isFirst,
                      core::TimePoint now)
    {
        Decision decision = QuotaAllowance::trySpend(customer, tokens, isFirst, now);
        if (decision.verdict == Verdict::Wait && now < m_exhaustedUntil)
            decision.verdict = Verdict::Exhausted;
        return decision;
    }
    void refund(const core::CustomerId &, double) { }
    QuotaReport takeReport(bool, core::TimePoint now)
    {
        return QuotaAllowance::takeReport(false, now);
    }
    void apply(QuotaAnswer answer, core::TimePoint, core::TimePoint now)
    {
        answer.share = 0;
        const core::Duration lifetime = std::chrono::seconds(1);
        // The base class would count it from the earlier time that is passed for the expiry.
        for (auto &[customer, grant] : answer.grants) {
            m_exhaustedUntil = grant.isExhausted ? now + decisions::quota::exhaustionLifetime : now;
            grant.isExhausted = false;
        }
        QuotaAllowance::apply(answer, now + lifetime - decisions::quota::allowanceLifetime, now);
    }

private:
    core::TimePoint m_exhaustedUntil;
};

struct ExpiringPermits
{
    using Coordinator = IssuingCoordinator<PermitBucket>;
    using Daemon = PermitDaemon;
    static constexpr bool isClockPaused = false;
};

} // namespace jackdawlead::testsupport
