#pragma once

#include "core/outcome.h"
#include "core/time.h"

#include <cstddef>

namespace jackdawlead::decisions {

struct RetryLimits
{
    std::size_t maxAttempts = 3;
    /// Attempts of repeatable work whose outcome may stay unknown. One repeat bounds the extra load
    /// that a failing endpoint causes.
    std::size_t maxUnknownOutcomes = 2;
};

/// How one attempt at an endpoint ended without a whole answer.
struct FailedAttempt
{
    core::Outcome outcome = core::Outcome::Unknown;
    bool isResponseStarted = false; ///< The caller already has bytes of this answer.
    bool isRequestInvalid = false;  ///< The endpoint refused the request for its content.
    bool isCrashSuspect = false;    ///< The request was in flight when an endpoint died.
};

/// Decides whether a request that failed at one endpoint is sent to the next, and what its caller
/// is told in the end. Thread safety: one thread at a time.
class RetryState
{
public:
    RetryState(RetryLimits limits, bool isRepeatable)
        : m_limits(limits)
        , m_isRepeatable(isRepeatable)
    { }

    /// Records the end of an attempt; true if the request may be sent to another endpoint.
    bool recordFailedAttempt(const FailedAttempt &end, core::TimePoint deadline,
                             core::TimePoint now);
    /// What the caller is told when the last attempt ended with `last`: an attempt that may have
    /// run outweighs a later one that did not.
    core::Outcome finalOutcome(core::Outcome last) const;

private:
    RetryLimits m_limits;
    bool m_isRepeatable;
    std::size_t m_ended = 0;
    std::size_t m_unknown = 0;
};

} // namespace jackdawlead::decisions
