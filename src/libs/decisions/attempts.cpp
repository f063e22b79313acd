#include "decisions/attempts.h"

namespace jackdawlead::decisions {

bool Attempts::mayRepeatAfter(const AttemptEnd &end, core::TimePoint deadline, core::TimePoint now)
{
    ++m_ended;
    if (end.outcome != core::Outcome::NotRun)
        ++m_unknown;
    if (end.isAnswerStarted || end.isBadInput || now >= deadline || m_ended >= m_limits.maxAttempts)
        return false;
    if (end.outcome == core::Outcome::NotRun)
        return true;
    return m_isRepeatable && m_unknown < m_limits.maxUnknown;
}

core::Outcome Attempts::outcomeToTell(core::Outcome last) const
{
    if (last == core::Outcome::NotRun && m_unknown > 0)
        return core::Outcome::Unknown;
    return last;
}

} // namespace jackdawlead::decisions
