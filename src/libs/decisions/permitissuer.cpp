#include "decisions/permitissuer.h"

#include <algorithm>
#include <cmath>

namespace jackdawlead::decisions {

namespace {

// Permits accumulate for as long as the daemons need to report their demand.
constexpr core::Duration maxAccumulation = std::chrono::milliseconds(750);
// A daemon reports every 750 ms at the latest; an older count is that of a stopped daemon.
constexpr core::Duration waitingRetention = std::chrono::seconds(2);

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
    std::erase_if(bucket.waiting, [now](const auto &entry) {
        return now - entry.second.reportedAt > waitingRetention;
    });
}

int PermitIssuer::totalWaiting(const Bucket &bucket)
{
    int total = 0;
    for (const auto &[daemon, waiting] : bucket.waiting)
        total += waiting.requests;
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
    PermitGrant grant;
    grant.count = take(demand.waiting, bucket.permits);
    bucket.waiting[daemon] = {std::max(0, demand.waiting - grant.count), now};
    grant.waitingElsewhere = totalWaiting(bucket) - bucket.waiting[daemon].requests;
    grant.count += take(demand.preferred, bucket.permits - totalWaiting(bucket));
    return grant;
}

bool PermitIssuer::canCharge(const core::EndpointId &id, core::TimePoint now)
{
    const auto found = m_buckets.find(id);
    if (found == m_buckets.end())
        return true;
    refill(found->second, now);
    return found->second.permits >= 1;
}

void PermitIssuer::charge(const core::EndpointId &id)
{
    if (const auto found = m_buckets.find(id); found != m_buckets.end())
        found->second.permits -= 1;
}

} // namespace jackdawlead::decisions
