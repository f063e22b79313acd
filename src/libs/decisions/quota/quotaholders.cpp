#include "decisions/quota/quotaholders.h"

#include <algorithm>
#include <iterator>

namespace jackdawlead::decisions::quota {

namespace {

// All daemons report within this time, so that the first ones don't get the shares of all; and the
// record of the lease is written several times.
constexpr core::Duration planningTime = std::chrono::seconds(3);
// Small changes of the number of daemons don't change the shares.
constexpr double raiseFactor = 1.25;
// Longer than most cuts of the network. A daemon that sends reports and gets no answers would keep
// its share for ever, since each answer might tell it anew.
constexpr core::Duration releaseTime = std::chrono::seconds(20);
// More answers than are sent within the contact timeout.
constexpr std::size_t maxSent = 64;

} // namespace

void QuotaHolders::reset(const Records &records, core::FencingToken token, core::TimePoint now)
{
    m_token = token;
    m_lastNumber = m_resumedAfter = 0;
    m_holders.clear();
    for (const auto &[daemon, record] : records) {
        Holder holder;
        holder.incarnation = record.incarnation;
        holder.sent.push_back({0, now, now, record.share});
        holder.share = holder.planned = record.share;
        holder.plannedAt = now;
        m_holders.emplace(daemon, holder);
    }
}

void QuotaHolders::resume()
{
    m_resumedAfter = m_lastNumber;
    for (auto &[daemon, holder] : m_holders)
        holder.contactBegin.reset();
}

double QuotaHolders::largestShare(const Holder &holder, core::TimePoint now)
{
    double largest = 0;
    for (const Sent &sent : holder.sent) {
        // The daemon uses a share for no longer than this after the report that was answered.
        if (now - sent.lastAt < shareLifetime)
            largest = std::max(largest, sent.share);
    }
    return largest;
}

bool QuotaHolders::isInContact(const Holder &holder, core::TimePoint now)
{
    return holder.contactBegin && now - *holder.contactBegin < contactTimeout;
}

bool QuotaHolders::isInContact(const core::HostId &daemon, core::TimePoint now) const
{
    const auto found = m_holders.find(daemon);
    return found != m_holders.end() && isInContact(found->second, now);
}

void QuotaHolders::confirm(Holder &holder, std::uint64_t number) const
{
    // The daemon ignores answers that arrive after a later one.
    while (!holder.sent.empty() && holder.sent.front().number < number)
        holder.sent.pop_front();
    holder.lastConfirmed = std::max(holder.lastConfirmed, number);
    const bool isSent = !holder.sent.empty() && holder.sent.front().number == number;
    if (isSent && number > m_resumedAfter)
        holder.contactBegin = holder.sent.front().at;
}

bool QuotaHolders::recordReport(const core::HostId &daemon, const QuotaReport &report,
                                core::TimePoint now)
{
    const auto [found, isNew] = m_holders.try_emplace(daemon);
    Holder &holder = found->second;
    if (isNew || holder.incarnation != report.incarnation) {
        // An earlier process of the host has ended, and with it the use of its share.
        holder = {};
        holder.incarnation = report.incarnation;
        if (report.share > 0)
            holder.sent.push_back({0, now, now, report.share});
        holder.share = holder.planned = report.share;
        holder.plannedAt = now;
    }
    std::erase_if(holder.sent,
                  [now](const Sent &sent) { return now - sent.lastAt >= shareLifetime; });
    const bool isOfThisTerm
        = report.token == m_token && report.lastAnswer > 0 && report.lastAnswer <= m_lastNumber;
    if (isOfThisTerm && report.lastAnswer >= holder.lastConfirmed)
        confirm(holder, report.lastAnswer);
    return isOfThisTerm;
}

void QuotaHolders::planShare(const core::HostId &daemon, Holder &holder, core::TimePoint now) const
{
    double others = 0;
    for (const auto &[other, entry] : m_holders) {
        if (other != daemon)
            others += std::max(largestShare(entry, now), entry.planned);
    }
    const double equal = 1.0 / static_cast<double>(m_holders.size());
    // What a daemon that is out of contact for long may use is released when it ends.
    const bool isLost = holder.contactBegin && now - *holder.contactBegin >= releaseTime;
    const double target = isLost ? 0 : std::clamp(1 - others, 0.0, equal);
    if (target < holder.planned) {
        holder.planned = target;
    } else if (target > raiseFactor * holder.planned) {
        holder.planned = target;
        holder.plannedAt = now;
    }
    if (holder.planned < holder.share || now - holder.plannedAt >= planningTime)
        holder.share = holder.planned;
}

QuotaAnswer QuotaHolders::makeAnswer(const core::HostId &daemon, core::TimePoint now)
{
    Holder &holder = m_holders[daemon];
    planShare(daemon, holder, now);
    QuotaAnswer answer;
    answer.token = m_token;
    answer.number = ++m_lastNumber;
    answer.share = holder.share;
    if (holder.sent.size() >= maxSent) {
        // Joining different shares would keep the larger one for as long as the smaller one.
        auto first = std::ranges::adjacent_find(holder.sent, {}, &Sent::share);
        if (first == holder.sent.end())
            first = holder.sent.begin();
        const auto second = std::next(first);
        second->at = first->at;
        second->share = std::max(second->share, first->share);
        holder.sent.erase(first);
    }
    holder.sent.push_back({answer.number, now, now, answer.share});
    return answer;
}

double QuotaHolders::withheld(core::TimePoint now) const
{
    double sum = 0;
    for (const auto &[daemon, holder] : m_holders) {
        if (!isInContact(holder, now))
            sum += largestShare(holder, now);
    }
    return std::min(1.0, sum);
}

void QuotaHolders::removeExpired(core::TimePoint now)
{
    std::erase_if(m_holders, [now](const auto &entry) {
        return entry.second.sent.empty() || now - entry.second.sent.back().lastAt >= shareLifetime;
    });
}

QuotaHolders::Records QuotaHolders::records() const
{
    Records records;
    for (const auto &[daemon, holder] : m_holders) {
        double share = holder.planned;
        for (const Sent &sent : holder.sent)
            share = std::max(share, sent.share);
        if (share > 0)
            records[daemon] = {share, holder.incarnation};
    }
    return records;
}

} // namespace jackdawlead::decisions::quota
