#include "decisions/retrystate.h"

namespace jackdawlead::decisions {

bool RetryState::recordFailedAttempt(const FailedAttempt &end, core::TimePoint deadline,
                                     core::TimePoint now)
{
    ++m_ended;
    if (end.outcome != core::Outcome::NotRun)
        ++m_unknown;
    if (end.isResponseStarted || end.isRequestInvalid || end.isCrashSuspect || now >= deadline
        || m_ended >= m_limits.maxAttempts)
        return false;
    if (end.outcome == core::Outcome::NotRun)
        return true;
    return m_isRepeatable && m_unknown < m_limits.maxUnknownOutcomes;
}

core::Outcome RetryState::finalOutcome(core::Outcome last) const
{
    if (last == core::Outcome::NotRun && m_unknown > 0)
        return core::Outcome::Unknown;
    return last;
}

} // namespace jackdawlead::decisions
