#include "decisions/requestpermits.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::decisions {

void RequestPermits::removeExpired(Entry &entry, core::TimePoint now)
{
    while (!entry.issuedUntil.empty() && entry.issuedUntil.front() <= now)
        entry.issuedUntil.pop_front();
}

bool RequestPermits::isEmpty(const Entry &entry)
{
    return entry.issuedUntil.empty() && entry.demand == PermitDemand {} && !entry.nextOwnAt;
}

void RequestPermits::addIssued(const core::EndpointId &id, int count, core::TimePoint expiry)
{
    Entry &entry = m_entries[id];
    if (!entry.issuedUntil.empty())
        expiry = std::max(expiry, entry.issuedUntil.back());
    entry.issuedUntil.insert(entry.issuedUntil.end(), static_cast<std::size_t>(std::max(0, count)),
                             expiry);
}

bool RequestPermits::hasIssued(const core::EndpointId &id, core::TimePoint now) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && !found->second.issuedUntil.empty()
        && found->second.issuedUntil.back() > now;
}

bool RequestPermits::hasOwn(const core::EndpointId &id, core::Duration interval, double draw,
                            core::TimePoint now)
{
    Entry &entry = m_entries[id];
    if (!entry.nextOwnAt)
        entry.nextOwnAt = now + core::scaled(interval, draw);
    core::TimePoint &next = *entry.nextOwnAt;
    next = std::min(next, now + interval);
    const core::Duration usableTime = std::min(lifetime, interval);
    if (now - next >= usableTime) {
        const auto unusedPermits = (now - next - usableTime) / interval + 1;
        next += interval * unusedPermits;
    }
    return next <= now;
}

void RequestPermits::take(const core::EndpointId &id, core::Duration interval, core::TimePoint now)
{
    Entry &entry = m_entries[id];
    ++entry.demand.preferred;
    removeExpired(entry, now);
    if (!entry.issuedUntil.empty())
        entry.issuedUntil.pop_front();
    else if (entry.nextOwnAt)
        *entry.nextOwnAt += interval;
}

void RequestPermits::removeWaiting(const core::EndpointId &id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    PermitDemand &demand = found->second.demand;
    demand.waiting = std::max(0, demand.waiting - 1);
    if (isEmpty(found->second))
        m_entries.erase(found);
}

int RequestPermits::waiting(const core::EndpointId &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? 0 : found->second.demand.waiting;
}

std::map<core::EndpointId, PermitDemand> RequestPermits::takeDemand(core::TimePoint now)
{
    std::map<core::EndpointId, PermitDemand> demand;
    for (auto &[id, entry] : m_entries) {
        removeExpired(entry, now);
        int held = static_cast<int>(entry.issuedUntil.size());
        PermitDemand uncovered = entry.demand;
        for (int *const count : {&uncovered.waiting, &uncovered.preferred}) {
            const int covered = std::min(held, *count);
            *count -= covered;
            held -= covered;
        }
        entry.demand.preferred = 0;
        if (uncovered != PermitDemand {})
            demand[id] = uncovered;
    }
    return demand;
}

void RequestPermits::clear(const core::EndpointId &id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    const int waiting = found->second.demand.waiting;
    found->second = {};
    found->second.demand.waiting = waiting;
    if (isEmpty(found->second))
        m_entries.erase(found);
}

} // namespace jackdawlead::decisions
