#include "decisions/quota/quotabucket.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jackdawlead::decisions::quota {

namespace {

// What is kept in the bucket for requests that wait, at any daemon; what exceeds it is issued in
// advance. At least this part of the capacity.
constexpr double minReservedPart = 0.3;
// The capacity also holds what was spent and not reported yet, at full load about as much as is
// filled in this time. But some is always issued in advance, since each call costs a round trip.
constexpr core::Duration reservedTime = std::chrono::milliseconds(350);
constexpr double maxReservedPart = 0.7;
// At least the most expensive requests, even if nothing is issued in advance.
constexpr double reservedRequests = 8;
// A bucket counts as full if allowances leave no room, but not if they are most of the capacity.
constexpr double minFullPart = 0.5;
// Below this part of the capacity, daemons get no more than their part of the refill.
constexpr double scarcePart = 0.1;
// The demand of a daemon that has not reported for three of the slowest reports is unknown.
constexpr core::Duration demandRetention = contactTimeout;
// As in QuotaDemand: reports of immediate calls are made when the demand is highest.
constexpr core::Duration demandDecay = std::chrono::milliseconds(1000);
// Accounts are kept for longer than any window, because their totals go on counting.
constexpr core::Duration accountRetention = std::chrono::seconds(70);
// An answer that was not confirmed after the longest round trip between regions is taken as lost.
constexpr core::Duration maxRoundTrip = std::chrono::milliseconds(100);
// A daemon's unused part of the refill accumulates for the time of its slowest report.
constexpr core::Duration creditAccumulation = std::chrono::milliseconds(750);
constexpr double maxFillSeconds = 60;
constexpr double roundingTokens = 1e-6;

} // namespace

void QuotaBucket::addToLevel(double tokens)
{
    const double room = m_limits.capacity - m_outstanding - m_level;
    m_level += std::clamp(tokens, 0.0, std::max(0.0, room));
}

void QuotaBucket::fill(core::TimePoint until)
{
    if (until <= m_filledAt)
        return;
    addToLevel(m_limits.rate * core::toSeconds(until - m_filledAt));
    m_filledAt = until;
}

core::TimePoint QuotaBucket::countOutstanding()
{
    core::TimePoint earliest = core::TimePoint::max();
    m_outstanding = 0;
    for (const auto &[daemon, account] : m_accounts) {
        for (const Lot &lot : account.lots)
            m_outstanding += lot.tokens;
        if (!account.lots.empty())
            earliest = std::min(earliest, account.lots.front().issuedAt + allowanceLifetime);
    }
    return earliest;
}

void QuotaBucket::update(core::TimePoint now)
{
    // The room that expired allowances leave is filled from then on only.
    for (auto earliest = countOutstanding(); earliest <= now; earliest = countOutstanding()) {
        fill(earliest);
        for (auto &[daemon, account] : m_accounts) {
            while (!account.lots.empty()
                   && account.lots.front().issuedAt + allowanceLifetime <= earliest) {
                account.expiredSinceReport += account.lots.front().tokens;
                account.lots.pop_front();
            }
        }
    }
    fill(now);
    std::erase_if(m_accounts, [now](const auto &entry) {
        return entry.second.lots.empty() && now - entry.second.reportedAt > accountRetention;
    });
}

void QuotaBucket::setLimits(const Limits &limits, core::TimePoint now)
{
    update(now);
    m_limits = limits;
    m_level = std::min(m_level, std::max(0.0, m_limits.capacity - m_outstanding));
}

QuotaBucket::Account &QuotaBucket::accountOf(const Exchange &exchange, const QuotaUse &use,
                                             core::TimePoint now)
{
    const auto [found, isNew] = m_accounts.try_emplace(exchange.daemon);
    Account &account = found->second;
    if (!exchange.areTotalsKnown) {
        for (Lot &lot : account.lots)
            lot.isOrphan = true;
        account.spentTotal = account.returnedTotal = account.refundedTotal = 0;
        account.lastAnswer = 0;
    } else if (isNew) {
        account.spentTotal = use.spentTotal;
        account.returnedTotal = use.returnedTotal;
        account.refundedTotal = use.refundedTotal;
        account.lastAnswer = exchange.lastAnswer;
    }
    if (isNew)
        account.reportedAt = now;
    return account;
}

void QuotaBucket::settle(Account &account, const Exchange &exchange, const QuotaUse &use,
                         core::TimePoint now)
{
    const double spent = use.spentTotal - account.spentTotal;
    const double returned = use.returnedTotal - account.returnedTotal;
    const double refunded = use.refundedTotal - account.refundedTotal;
    // A report that was overtaken by a later one says nothing about the present.
    if (exchange.lastAnswer < account.lastAnswer || spent < 0 || returned < 0 || refunded < 0)
        return;
    // The daemon can still spend what it holds and what answers bring that it has not received; it
    // ignores answers that arrive after a later one.
    double received = 0;
    for (const Lot &lot : account.lots) {
        if (!lot.isOrphan && lot.answerNumber <= exchange.lastAnswer)
            received += lot.tokens;
    }
    const double settled = std::max(0.0, received - use.held);
    double left = settled;
    for (Lot &lot : account.lots) {
        if (lot.isOrphan || lot.answerNumber > exchange.lastAnswer)
            continue;
        const double part = std::min(left, lot.tokens);
        lot.tokens -= part;
        left -= part;
    }
    m_outstanding -= settled;
    std::erase_if(account.lots, [](const Lot &lot) { return lot.tokens <= 0; });
    // Returned tokens that have expired before are counted as spent and stay so.
    addToLevel(std::min(returned - account.expiredSinceReport, settled - spent));
    refund(refunded, now);
    account.spentTotal = use.spentTotal;
    account.returnedTotal = use.returnedTotal;
    account.refundedTotal = use.refundedTotal;
    account.lastAnswer = exchange.lastAnswer;
    account.expiredSinceReport = 0;
}

void QuotaBucket::refund(double tokens, core::TimePoint now)
{
    while (!m_refunds.empty() && now - m_refunds.front().at >= m_limits.window)
        m_refunds.pop_front();
    const double before
        = std::accumulate(m_refunds.begin(), m_refunds.end(), 0.0,
                          [](double sum, const Refund &entry) { return sum + entry.tokens; });
    const double accepted = std::min(tokens, m_limits.maxRefund - before);
    if (accepted <= 0)
        return;
    m_refunds.push_back({now, accepted});
    addToLevel(accepted);
}

void QuotaBucket::countDemand(core::TimePoint now)
{
    m_demandPerSecond = 0;
    for (const auto &[daemon, account] : m_accounts) {
        const core::Duration age = now - account.reportedAt;
        if (age < demandRetention)
            m_demandPerSecond += account.demandPerSecond
                * std::exp(-core::toSeconds(age) / core::toSeconds(demandDecay));
    }
}

double QuotaBucket::reserved(double meanCost) const
{
    const double capacity = m_limits.capacity;
    return std::max(
        {minReservedPart * capacity,
         std::min(maxReservedPart * capacity, m_limits.rate * core::toSeconds(reservedTime)),
         std::min(capacity, reservedRequests * meanCost)});
}

bool QuotaBucket::isScarce() const
{
    return m_level < scarcePart * m_limits.capacity;
}

void QuotaBucket::accrueCredit(Account &account, double demandPerSecond, core::TimePoint now)
{
    const core::Duration elapsed
        = std::clamp(now - account.reportedAt, core::Duration(0), demandRetention);
    account.demandPerSecond = demandPerSecond;
    account.reportedAt = now;
    countDemand(now);
    account.part = m_demandPerSecond > 0 ? demandPerSecond / m_demandPerSecond : 0;
    if (!isScarce()) {
        account.credit = 0;
        return;
    }
    const double perSecond = m_limits.rate * account.part;
    account.credit = std::min(account.credit + perSecond * core::toSeconds(elapsed),
                              perSecond * core::toSeconds(creditAccumulation));
}

double QuotaBucket::grantForWaiting(const Account &account, double missing, double smallest) const
{
    if (missing <= 0)
        return 0;
    const double capacity = m_limits.capacity;
    if (smallest > capacity) {
        const double full = std::max(minFullPart * capacity, capacity - m_outstanding);
        return m_level >= full - roundingTokens ? smallest : 0;
    }
    double granted = std::min(missing, m_level);
    if (isScarce()) {
        // Whole requests are admitted as long as the daemon's part is not overdrawn.
        if (account.credit < 0)
            return 0;
        granted = std::min(granted, std::max(smallest, account.credit));
    }
    return granted + roundingTokens >= smallest ? granted : 0;
}

double QuotaBucket::grantInAdvance(const Account &account, const QuotaUse &use, double usable) const
{
    const double free = usable - use.waiting;
    const double wanted = use.wanted - (usable - use.held);
    const double spare = m_level - reserved(use.meanCost);
    const double granted = std::min(wanted, std::max(spare, std::min(account.credit, m_level)));
    // Less than a request is of no use there, and is missing elsewhere.
    return granted > 0 && granted + std::max(0.0, free) >= use.meanCost ? granted : 0;
}

bool QuotaBucket::canIssueSoon(const Account &account, const QuotaUse &use) const
{
    // A daemon whose part is less than a request in this time asks again for a whole one.
    const double untilNextReport
        = m_limits.rate * account.part * core::toSeconds(creditAccumulation);
    return account.credit >= (untilNextReport >= use.meanCost ? use.meanCost : 0);
}

core::Duration QuotaBucket::fillTime(const Account &account, double tokens) const
{
    const auto timeOf = [](double lacking, double perSecond) {
        return lacking > 0 && perSecond > 0 ? std::min(lacking / perSecond, maxFillSeconds) : 0;
    };
    const double ofBucket = timeOf(tokens - m_level, m_limits.rate);
    const double ofPart = isScarce() ? timeOf(-account.credit, m_limits.rate * account.part) : 0;
    return core::scaled(std::chrono::seconds(1), std::max(ofBucket, ofPart));
}

QuotaGrant QuotaBucket::issue(const Exchange &exchange, const QuotaUse &use, core::TimePoint now)
{
    update(now);
    Account &account = accountOf(exchange, use, now);
    if (exchange.areTotalsKnown)
        settle(account, exchange, use, now);
    accrueCredit(account, use.demandPerSecond, now);

    double underway = 0;
    for (const Lot &lot : account.lots) {
        if (!lot.isOrphan && lot.answerNumber > exchange.lastAnswer
            && now - lot.issuedAt < maxRoundTrip)
            underway += lot.tokens;
    }
    const double usable = use.held + underway;
    const double missing = std::max(0.0, use.waiting - usable);
    const double smallestMissing = std::max(0.0, use.smallestWaiting - usable);
    // Only what is issued while tokens are scarce counts against the daemon's part.
    const bool isCharged = isScarce();
    QuotaGrant grant;
    grant.tokens = grantForWaiting(account, missing, smallestMissing);
    m_level -= grant.tokens;
    const double unmet = missing - grant.tokens;
    if (unmet <= roundingTokens) {
        const double advance = grantInAdvance(account, use, usable + grant.tokens);
        grant.tokens += advance;
        m_level -= advance;
    }
    if (isCharged)
        account.credit -= grant.tokens;
    grant.isExhausted = unmet > roundingTokens
        || (isScarce() && use.wanted > grant.tokens && m_demandPerSecond > m_limits.rate
            && !canIssueSoon(account, use));
    if (grant.isExhausted)
        grant.fillTime = fillTime(account, unmet > roundingTokens ? smallestMissing : use.meanCost);
    if (grant.tokens > 0)
        account.lots.push_back({exchange.answerNumber, grant.tokens, now, false});
    m_outstanding += grant.tokens;
    return grant;
}

} // namespace jackdawlead::decisions::quota
