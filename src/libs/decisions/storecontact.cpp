#include "decisions/storecontact.h"

#include <algorithm>

namespace jackdawlead::decisions {

void StoreContact::recordSuccess(core::TimePoint asOf, core::TimePoint now)
{
    // The outage may have begun right after the last success.
    const bool mayHaveExpired = m_failures > 0 && now - m_lastSuccessAt >= m_limits.renewalInterval;
    if (mayHaveExpired)
        m_reappearanceEnd = now + m_limits.reappearanceTime;
    m_failures = 0;
    m_changedAfter = m_confirmedAt;
    m_lastSuccessAt = now;
    m_confirmedAt = std::max(m_confirmedAt, asOf);
}

} // namespace jackdawlead::decisions
