#include "decisions/quota/quotaissuer.h"

#include <algorithm>

namespace jackdawlead::decisions::quota {

namespace {

// Halves of what may be used beyond the quota: one for allowances, and a quarter each for refunds
// and for the shares of daemons that are out of contact.
constexpr double allowancePart = 0.5;
constexpr double refundPart = 0.25;

double excessOf(const QuotaTolerance &tolerance, const fleet::Quota &quota)
{
    return tolerance.overage
        * (quota.tokensPerSecond * core::toSeconds(tolerance.window) + quota.burst)
        + tolerance.slack;
}

} // namespace

double QuotaIssuer::capacityOf(const fleet::Quota &quota) const
{
    return quota.burst + allowancePart * excessOf(m_tolerance, quota);
}

QuotaBucket::Limits QuotaIssuer::limitsOf(const fleet::Quota &quota) const
{
    // Daemons out of contact use their part of the burst by themselves, too.
    const double used = 1 - m_withheld;
    return {quota.tokensPerSecond * used, capacityOf(quota) - quota.burst * m_withheld,
            refundPart * excessOf(m_tolerance, quota), m_tolerance.window};
}

const QuotaIssuer::Entry *QuotaIssuer::find(const core::CustomerId &customer) const
{
    const auto found = m_entries.find(customer);
    return found == m_entries.end() || found->second.removedAt ? nullptr : &found->second;
}

void QuotaIssuer::setQuotas(const std::map<core::CustomerId, fleet::Quota> &quotas,
                            core::TimePoint now)
{
    for (auto &[customer, entry] : m_entries) {
        if (!quotas.contains(customer) && !entry.removedAt) {
            entry.removedAt = now;
            // A removed customer's bucket isn't filled.
            entry.bucket.setLimits({0, capacityOf(entry.quota), 0, m_tolerance.window}, now);
        }
    }
    std::erase_if(m_entries, [this, now](const auto &entry) {
        return entry.second.removedAt && now - *entry.second.removedAt >= m_tolerance.window;
    });
    for (const auto &[customer, quota] : quotas) {
        const auto found = m_entries.find(customer);
        if (found == m_entries.end()) {
            m_entries.emplace(customer,
                              Entry {quota, QuotaBucket(limitsOf(quota), now), std::nullopt});
            continue;
        }
        found->second.quota = quota;
        found->second.removedAt.reset();
        found->second.bucket.setLimits(limitsOf(quota), now);
    }
}

void QuotaIssuer::setWithheld(double fraction, core::TimePoint now)
{
    fraction = std::clamp(fraction, 0.0, 1.0);
    if (fraction == m_withheld)
        return;
    m_withheld = fraction;
    for (auto &[customer, entry] : m_entries) {
        if (!entry.removedAt)
            entry.bucket.setLimits(limitsOf(entry.quota), now);
    }
}

void QuotaIssuer::reset(core::TimePoint now)
{
    for (auto &[customer, entry] : m_entries)
        entry.bucket = QuotaBucket(limitsOf(entry.quota), now);
}

std::map<core::CustomerId, QuotaGrant>
QuotaIssuer::issue(const core::HostId &daemon, const QuotaReport &report, bool areTotalsKnown,
                   std::uint64_t answerNumber, core::TimePoint now)
{
    // Another coordinator's numbers say nothing about answers of this one.
    const std::uint64_t lastAnswer = areTotalsKnown ? report.lastAnswer : 0;
    const QuotaBucket::Exchange exchange {daemon, lastAnswer, answerNumber, areTotalsKnown};
    std::map<core::CustomerId, QuotaGrant> grants;
    for (const auto &[customer, use] : report.uses) {
        const auto found = m_entries.find(customer);
        if (found != m_entries.end() && !found->second.removedAt)
            grants.emplace(customer, found->second.bucket.issue(exchange, use, now));
    }
    return grants;
}

double QuotaIssuer::outstanding(const core::CustomerId &customer) const
{
    const Entry *entry = find(customer);
    return entry ? entry->bucket.outstanding() : 0;
}

double QuotaIssuer::available(const core::CustomerId &customer) const
{
    const Entry *entry = find(customer);
    return entry ? entry->bucket.available() : 0;
}

} // namespace jackdawlead::decisions::quota
