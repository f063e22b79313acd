#include "decisions/retrystate.h"

namespace jackdawlead::decisions {

bool RetryState::recordFailedAttempt(const FailedAttempt &attempt, core::TimePoint deadline,
                                     core::TimePoint now)
{
    ++m_failedAttempts;
    if (attempt.outcome != core::Outcome::NotRun)
        ++m_unknownOutcomes;
    if (attempt.isResponseStarted || attempt.isRequestInvalid || attempt.isCrashSuspect
        || now >= deadline || m_failedAttempts >= m_limits.maxAttempts)
        return false;
    if (attempt.outcome == core::Outcome::NotRun)
        return true;
    return m_isRepeatable && m_unknownOutcomes < m_limits.maxUnknownOutcomes;
}

core::Outcome RetryState::finalOutcome(core::Outcome last) const
{
    if (last == core::Outcome::NotRun && m_unknownOutcomes > 0)
        return core::Outcome::Unknown;
    return last;
}

} // namespace jackdawlead::decisions
