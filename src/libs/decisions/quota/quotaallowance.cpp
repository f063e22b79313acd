#include "decisions/quota/quotaallowance.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jackdawlead::decisions::quota {

namespace {

// Of what may be used beyond the quota; the rest is for allowances and refunds.
constexpr double sharePart = 0.25;
// A refused caller comes back after no less than this.
constexpr core::Duration minRetryAfter = std::chrono::milliseconds(500);
// Refusing for longer than it takes to fill the bucket leaves tokens unused; asking each time that
// a request comes would cost the coordinator a call for each.
constexpr core::Duration minExhaustion = std::chrono::milliseconds(300);
constexpr core::Duration minReportInterval = std::chrono::milliseconds(250);
constexpr core::Duration maxReportInterval = std::chrono::milliseconds(750);
constexpr double intervalWeight = 0.3;
// The answer to the next report needs a round trip, up to 60 ms between regions.
constexpr core::Duration answerMargin = std::chrono::milliseconds(100);
// Tokens beyond this multiple of the need are of use to other daemons.
constexpr double excessFactor = 1.5;
// Few requests cost less than this part of the mean.
constexpr double minUsefulPart = 0.5;
constexpr double roundingTokens = 1e-6;

} // namespace

void QuotaAllowance::setQuotas(const std::map<core::CustomerId, fleet::Quota> &quotas,
                               core::TimePoint now)
{
    for (const auto &[id, customer] : m_customers) {
        if (!quotas.contains(id))
            m_formerTotals[id] = customer.totals;
    }
    std::erase_if(m_customers,
                  [&quotas](const auto &entry) { return !quotas.contains(entry.first); });
    for (const auto &[id, quota] : quotas) {
        const auto [found, isNew] = m_customers.try_emplace(id);
        found->second.quota = quota;
        if (!isNew)
            continue;
        found->second.shareFilledAt = now;
        if (const auto former = m_formerTotals.extract(id))
            found->second.totals = former.mapped();
    }
}

bool QuotaAllowance::isLimited(const core::CustomerId &customer) const
{
    return m_customers.contains(customer);
}

bool QuotaAllowance::hasQuotas() const
{
    return !m_customers.empty();
}

bool QuotaAllowance::isInContact(core::TimePoint now) const
{
    return m_answeredAt && now - *m_answeredAt < contactTimeout;
}

core::Duration QuotaAllowance::spread(core::Duration duration)
{
    // Multiples of the golden ratio spread evenly over the unit interval; daemons begin at
    // different points.
    constexpr double goldenRatio = 0.6180339887498949;
    constexpr int modulus = 1009;
    const double phase
        = static_cast<double>(m_incarnation.count() % modulus) / static_cast<double>(modulus);
    const double position = phase + goldenRatio * m_spreadCount++;
    return core::scaled(std::max(duration, minRetryAfter), 1 + position - std::floor(position));
}

double QuotaAllowance::unexpired(Customer &customer, core::TimePoint now)
{
    double sum = 0;
    for (const Lot &lot : customer.lots) {
        if (lot.expiresAt > now)
            sum += lot.tokens;
        else
            customer.totals.returnedTotal += lot.tokens;
    }
    std::erase_if(customer.lots, [now](const Lot &lot) { return lot.expiresAt <= now; });
    return sum;
}

void QuotaAllowance::spend(Customer &customer, double tokens)
{
    customer.totals.spentTotal += tokens;
    while (tokens > 0 && !customer.lots.empty()) {
        Lot &lot = customer.lots.front();
        const double part = std::min(tokens, lot.tokens);
        lot.tokens -= part;
        tokens -= part;
        if (lot.tokens <= 0)
            customer.lots.pop_front();
    }
}

void QuotaAllowance::giveUp(Customer &customer, double tokens)
{
    const double spentBefore = customer.totals.spentTotal;
    spend(customer, tokens);
    customer.totals.spentTotal = spentBefore;
    customer.totals.returnedTotal += tokens;
}

QuotaAllowance::Decision QuotaAllowance::spendShare(Customer &customer, double tokens,
                                                    core::TimePoint now)
{
    Decision decision;
    decision.verdict = Verdict::Unavailable;
    decision.retryAfter = spread(minRetryAfter);
    if (!m_answeredAt || now >= m_shareUntil || m_share <= 0)
        return decision;
    const fleet::Quota &quota = customer.quota;
    const double excess = m_tolerance.slack
        + m_tolerance.overage
            * (quota.tokensPerSecond * core::toSeconds(m_tolerance.window) + quota.burst);
    const double capacity = m_share * (quota.burst + sharePart * excess);
    const core::TimePoint filledAt
        = std::max(customer.shareFilledAt, *m_answeredAt + contactTimeout);
    const double added = m_share * quota.tokensPerSecond * core::toSeconds(now - filledAt);
    customer.shareLevel = std::min(capacity, customer.shareLevel + std::max(0.0, added));
    customer.shareFilledAt = std::max(now, filledAt);
    decision.held = customer.shareLevel;
    if (customer.shareLevel + roundingTokens >= tokens) {
        customer.shareLevel -= tokens;
        decision.verdict = Verdict::Granted;
        decision.retryAfter = {};
    }
    return decision;
}

QuotaAllowance::Decision QuotaAllowance::trySpend(const core::CustomerId &customer, double tokens,
                                                  bool isFirst, core::TimePoint now)
{
    const auto found = m_customers.find(customer);
    if (found == m_customers.end())
        return {};
    Customer &entry = found->second;
    if (isFirst)
        entry.demand.add(tokens, now);
    Decision decision;
    decision.held = unexpired(entry, now);
    decision.answerAge = m_answeredAt ? now - *m_answeredAt : core::Duration(0);
    if (decision.held + roundingTokens >= tokens) {
        spend(entry, tokens);
        return decision;
    }
    if (!isInContact(now)) {
        const core::Duration answerAge = decision.answerAge;
        decision = spendShare(entry, tokens, now);
        decision.answerAge = answerAge;
        return decision;
    }
    if (isExhausted(entry, now)) {
        decision.verdict = Verdict::Exhausted;
        decision.retryAfter = spread(entry.fillTime);
        return decision;
    }
    decision.verdict = Verdict::Wait;
    // What was issued for this request has been spent by another one.
    m_isReportDue = m_isReportDue || (!isFirst && entry.isAnswered);
    return decision;
}

bool QuotaAllowance::isExhausted(const Customer &customer, core::TimePoint now)
{
    const core::Duration lifetime
        = std::clamp(customer.fillTime, minExhaustion, exhaustionLifetime);
    return customer.exhaustedAt && now - *customer.exhaustedAt < lifetime;
}

bool QuotaAllowance::isExhausted(const core::CustomerId &customer, double tokens,
                                 core::TimePoint now) const
{
    const auto found = m_customers.find(customer);
    return found != m_customers.end() && isInContact(now) && isExhausted(found->second, now)
        && held(customer, now) + roundingTokens < tokens;
}

void QuotaAllowance::addWaiting(const core::CustomerId &customer, double tokens)
{
    const auto found = m_customers.find(customer);
    if (found == m_customers.end())
        return;
    found->second.waiting.insert(tokens);
    m_isReportDue = true;
}

void QuotaAllowance::removeWaiting(const core::CustomerId &customer, double tokens)
{
    const auto found = m_customers.find(customer);
    if (found == m_customers.end())
        return;
    const auto entry = found->second.waiting.find(tokens);
    if (entry != found->second.waiting.end())
        found->second.waiting.erase(entry);
}

void QuotaAllowance::refund(const core::CustomerId &customer, double tokens)
{
    if (const auto found = m_customers.find(customer); found != m_customers.end())
        found->second.totals.refundedTotal += tokens;
}

bool QuotaAllowance::isReportDue() const
{
    return m_isReportDue;
}

void QuotaAllowance::recordLostReport()
{
    for (const auto &[id, customer] : m_customers)
        m_isReportDue = m_isReportDue || !customer.waiting.empty();
}

void QuotaAllowance::endContact(core::TimePoint sentAt, core::TimePoint now)
{
    // A later answer shows that there is a coordinator.
    if (m_answeredAt && *m_answeredAt <= sentAt && isInContact(now))
        m_answeredAt = now - contactTimeout;
}

void QuotaAllowance::returnExcess(Customer &customer, core::TimePoint now) const
{
    // Tokens that expire before the answer to the next regular report are of no more use here.
    const core::TimePoint next = now + m_reportInterval + answerMargin;
    double expiring = 0;
    double held = 0;
    for (const Lot &lot : customer.lots) {
        held += lot.tokens;
        if (lot.expiresAt < next)
            expiring += lot.tokens;
    }
    const double need = customer.demand.need(m_reportInterval + answerMargin, now)
        + std::accumulate(customer.waiting.begin(), customer.waiting.end(), 0.0);
    const bool isUseful = held >= minUsefulPart * customer.demand.meanCost();
    giveUp(customer, isUseful ? std::max(expiring, held - excessFactor * need) : held);
}

QuotaReport QuotaAllowance::takeReport(bool isRegular, core::TimePoint now)
{
    if (isRegular) {
        if (m_regularReportAt) {
            const core::Duration last
                = std::clamp(now - *m_regularReportAt, minReportInterval, maxReportInterval);
            m_reportInterval += core::scaled(last - m_reportInterval, intervalWeight);
        }
        m_regularReportAt = now;
    }
    m_isReportDue = false;
    QuotaReport report {m_incarnation, m_token, m_lastAnswer, m_share, {}};
    for (auto &[id, customer] : m_customers) {
        unexpired(customer, now);
        customer.isAnswered = false;
        if (isRegular)
            returnExcess(customer, now);
        QuotaUse use = customer.totals;
        use.held = unexpired(customer, now);
        use.waiting = std::accumulate(customer.waiting.begin(), customer.waiting.end(), 0.0);
        use.smallestWaiting = customer.waiting.empty() ? 0 : *customer.waiting.begin();
        use.meanCost = customer.demand.meanCost();
        use.demandPerSecond = customer.demand.perSecond(now);
        const double need = customer.demand.need(m_reportInterval + answerMargin, now);
        use.wanted = std::max(0.0, need + use.waiting - use.held);
        if (use != QuotaUse())
            report.uses.emplace(id, use);
    }
    return report;
}

void QuotaAllowance::apply(const QuotaAnswer &answer, core::TimePoint sentAt, core::TimePoint now)
{
    if (answer.token < m_token)
        return;
    if (answer.token != m_token) {
        // Totals and allowances of another coordinator do not count. The new one counts the daemon
        // as in contact when it is told that this answer was received.
        for (auto &[id, customer] : m_customers) {
            customer.lots.clear();
            customer.totals = {};
            customer.exhaustedAt.reset();
        }
        m_formerTotals.clear();
        m_token = answer.token;
        m_lastAnswer = 0;
        m_isReportDue = true;
    }
    // The coordinator counts an answer that arrives after a later one as lost.
    if (answer.number <= m_lastAnswer)
        return;
    m_lastAnswer = answer.number;
    m_share = answer.share;
    m_answeredAt = now;
    m_shareUntil = sentAt + shareLifetime;
    for (auto &[id, customer] : m_customers) {
        customer.shareLevel = 0;
        const auto found = answer.grants.find(id);
        if (found == answer.grants.end())
            continue;
        const QuotaGrant &grant = found->second;
        if (grant.tokens > 0)
            customer.lots.push_back({grant.tokens, sentAt + allowanceLifetime});
        customer.exhaustedAt.reset();
        customer.isAnswered = !grant.isExhausted;
        if (grant.isExhausted) {
            customer.exhaustedAt = sentAt;
            customer.fillTime = grant.fillTime;
        }
    }
}

double QuotaAllowance::held(const core::CustomerId &customer, core::TimePoint now) const
{
    const auto found = m_customers.find(customer);
    if (found == m_customers.end())
        return 0;
    return std::accumulate(
        found->second.lots.begin(), found->second.lots.end(), 0.0,
        [now](double sum, const Lot &lot) { return lot.expiresAt > now ? sum + lot.tokens : sum; });
}

} // namespace jackdawlead::decisions::quota
