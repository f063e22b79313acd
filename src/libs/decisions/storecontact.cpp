#include "decisions/storecontact.h"

namespace jackdawlead::decisions {

void StoreContact::recordSuccess(core::TimePoint sentAt, core::TimePoint now)
{
    // The outage may have begun right after the last success.
    const bool mayHaveExpired = m_failures > 0 && now - m_lastSuccessAt >= m_limits.renewalInterval;
    if (mayHaveExpired)
        m_reappearanceEnd = now + m_limits.reappearanceTime;
    m_failures = 0;
    m_lastSuccessAt = now;
    m_confirmedAt = sentAt;
}

} // namespace jackdawlead::decisions
