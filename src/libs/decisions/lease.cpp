#include "decisions/lease.h"

#include <algorithm>

namespace jackdawlead::decisions {

void LeaseHolder::recordRenewal(core::TimePoint sentAt)
{
    if (!m_renewedAt || sentAt > *m_renewedAt)
        m_renewedAt = sentAt;
}

bool LeaseHolder::isValid(core::TimePoint now) const
{
    return m_renewedAt && now < *m_renewedAt + m_limits.duration - m_limits.guard;
}

void LeaseObserver::observe(const std::string &resourceVersion, core::TimePoint sentAt,
                            core::TimePoint now)
{
    const bool isContinued = m_unchangedSince && resourceVersion == m_resourceVersion
        && sentAt <= m_unchangedUntil + m_limits.maxGap;
    if (!isContinued) {
        m_resourceVersion = resourceVersion;
        m_unchangedSince = now;
        m_unchangedUntil = now;
        return;
    }
    m_unchangedUntil = std::max(m_unchangedUntil, sentAt);
}

bool LeaseObserver::hasExpired(core::TimePoint now) const
{
    return m_unchangedSince && now <= m_unchangedUntil + m_limits.maxGap
        && m_unchangedUntil >= *m_unchangedSince + m_limits.duration + m_limits.guard;
}

} // namespace jackdawlead::decisions
