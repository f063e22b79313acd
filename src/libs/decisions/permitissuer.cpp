#include "decisions/permitissuer.h"

#include <algorithm>
#include <cmath>

namespace jackdawlead::decisions {

namespace {

// Permits accumulate for as long as the daemons need to report their demand.
constexpr core::Duration maxAccumulation = std::chrono::milliseconds(750);
// A daemon reports every 750 ms at the latest; an older count is that of a stopped daemon.
constexpr core::Duration unmetRetention = std::chrono::seconds(2);

double capacityOf(fleet::RequestRate rate)
{
    return 1 + rate.perSecond * core::toSeconds(maxAccumulation);
}

} // namespace

void PermitIssuer::refill(Bucket &bucket, core::TimePoint now)
{
    const double added = bucket.rate.perSecond * core::toSeconds(now - bucket.filledAt);
    bucket.permits = std::min(capacityOf(bucket.rate), bucket.permits + added);
    bucket.filledAt = now;
    std::erase_if(bucket.unmet, [now](const auto &entry) {
        return now - entry.second.reportedAt > unmetRetention;
    });
}

PermitDemand PermitIssuer::totalUnmet(const Bucket &bucket)
{
    PermitDemand total;
    for (const auto &[daemon, unmet] : bucket.unmet) {
        total.waiting += unmet.demand.waiting;
        total.preferred += unmet.demand.preferred;
    }
    return total;
}

void PermitIssuer::setLimit(const core::EndpointId &id, fleet::StartTime incarnation,
                            fleet::RequestRate rate, core::TimePoint now)
{
    rate = std::max(rate, minRate);
    Bucket &bucket = m_buckets[id];
    if (bucket.filledAt == core::TimePoint() || bucket.incarnation != incarnation) {
        bucket = {incarnation, rate, 0, now, {}};
        return;
    }
    if (bucket.rate == rate)
        return;
    refill(bucket, now);
    bucket.rate = rate;
}

void PermitIssuer::retain(const std::set<core::EndpointId> &ids)
{
    std::erase_if(m_buckets, [&ids](const auto &entry) { return !ids.contains(entry.first); });
}

PermitGrant PermitIssuer::issue(const core::EndpointId &id, const core::HostId &daemon,
                                const PermitDemand &demand, core::TimePoint now)
{
    const auto found = m_buckets.find(id);
    if (found == m_buckets.end())
        return {};
    Bucket &bucket = found->second;
    refill(bucket, now);
    const auto take = [&bucket](int wanted, double available) {
        const int count
            = std::clamp(static_cast<int>(std::floor(available)), 0, std::max(0, wanted));
        bucket.permits -= count;
        return count;
    };
    bucket.unmet.erase(daemon);
    PermitGrant grant;
    grant.waitingElsewhere = totalUnmet(bucket).waiting;
    const int forWaiting = take(demand.waiting, bucket.permits);
    const PermitDemand rest {std::max(0, demand.waiting - forWaiting), demand.preferred};
    const int forPreferred
        = take(rest.preferred, bucket.permits - grant.waitingElsewhere - rest.waiting);
    bucket.unmet[daemon] = {{rest.waiting, std::max(0, rest.preferred - forPreferred)}, now};
    grant.count = forWaiting + forPreferred;
    return grant;
}

bool PermitIssuer::canCharge(const core::EndpointId &id, core::TimePoint now)
{
    const auto found = m_buckets.find(id);
    if (found == m_buckets.end())
        return true;
    refill(found->second, now);
    const PermitDemand unmet = totalUnmet(found->second);
    return found->second.permits >= 1 + unmet.waiting + unmet.preferred;
}

void PermitIssuer::charge(const core::EndpointId &id)
{
    if (const auto found = m_buckets.find(id); found != m_buckets.end())
        found->second.permits -= 1;
}

} // namespace jackdawlead::decisions
