#include "decisions/storeoutage.h"

#include <utility>

namespace jackdawlead::decisions {

void StoreOutage::recordSuccess(core::TimePoint now)
{
    // The outage may have begun right after the last success.
    if (std::exchange(m_hasFailed, false) && now - m_lastSuccessAt >= m_limits.renewalInterval)
        m_reappearanceEnd = now + m_limits.reappearanceTime;
    m_lastSuccessAt = now;
}

} // namespace jackdawlead::decisions
