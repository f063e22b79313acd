#include "decisions/storecontact.h"

#include <algorithm>

namespace jackdawlead::decisions {

void StoreContact::recordSuccess(core::TimePoint asOf)
{
    m_failures = 0;
    recordLateAnswer(asOf);
}

void StoreContact::recordLateAnswer(core::TimePoint asOf)
{
    m_changedAfter = m_confirmedAt;
    m_confirmedAt = std::max(m_confirmedAt, asOf);
}

} // namespace jackdawlead::decisions
