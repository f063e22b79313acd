#pragma once

#include "core/outcome.h"
#include "core/time.h"

#include <cstddef>

namespace jackdawlead::decisions {

struct RetryLimits
{
    std::size_t maxAttempts = 3;
    /// Attempts of a repeatable request that may end with an unknown outcome. Allowing one retry
    /// bounds the extra load that a failing endpoint causes.
    std::size_t maxUnknownOutcomes = 2;
};

/// How one attempt at an endpoint ended without a complete response.
struct FailedAttempt
{
    core::Outcome outcome = core::Outcome::Unknown;
    bool isResponseStarted = false; ///< Bytes of the response were forwarded to the caller.
    bool isRequestInvalid = false;  ///< The endpoint rejected the request's content.
    bool isCrashSuspect = false;    ///< The request was in flight when an endpoint crashed.
};

/// Decides whether a request that failed at one endpoint is retried at another, and which outcome
/// its caller receives. Thread safety: one thread at a time.
class RetryState
{
public:
    RetryState(RetryLimits limits, bool isRepeatable)
        : m_limits(limits)
        , m_isRepeatable(isRepeatable)
    { }

    /// Records a failed attempt; returns whether the request may be retried at another endpoint.
    bool recordFailedAttempt(const FailedAttempt &attempt, core::TimePoint deadline,
                             core::TimePoint now);
    /// The outcome to report to the caller when the last attempt ended with `last`: Unknown takes
    /// precedence over a later NotRun, because an earlier attempt may have run.
    core::Outcome finalOutcome(core::Outcome last) const;

private:
    RetryLimits m_limits;
    bool m_isRepeatable;
    std::size_t m_failedAttempts = 0;
    std::size_t m_unknownOutcomes = 0;
};

} // namespace jackdawlead::decisions
