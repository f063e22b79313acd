#pragma once

#include "core/time.h"

#include <deque>

namespace jackdawlead::decisions {

/// Limits on the retries of one service, summed over all daemons.
struct RetryBudgetLimits
{
    core::Duration window = std::chrono::seconds(10);
    double ratio = 0.2;  ///< Retries per request.
    double slack = 10.0; ///< Retries allowed in addition to the ratio.
    /// Share of the budget that is used. The bound holds in any window, but requests are counted as
    /// they arrive, so that a falling load leaves a smaller budget than was granted.
    double safetyFactor = 0.6;
};

/// What a second send is for.
enum class RetryPurpose {
    FailedSend, ///< The request has no other send that may still succeed.
    SilentSend, ///< The first send brings nothing, or waits at an old version, but may go on.
};

/// One daemon's share of a service's retry budget. Every retry of a request counts, whatever its
/// outcome. Thread safety: one thread at a time.
class RetryBudget
{
public:
    void setLimits(const RetryBudgetLimits &limits) { m_limits = limits; }
    /// Sets the number of daemons that share the slack. Until then, initialSlack applies.
    void setDaemonCount(int count) { m_daemonCount = count; }
    void recordRequest(core::TimePoint now);
    /// Requests per second over the window, or since the first request in it.
    double requestRate(core::TimePoint now);
    /// Enough for the retries of one request, yet small enough for hundreds of daemons that start
    /// together.
    static constexpr double initialSlack = 3;
    /// Part of the budget that sends beside silent ones may use up. Full endpoints refuse many of
    /// them, and requests whose sends failed need the rest.
    static constexpr double silentSendShare = 0.5;
    /// Whether the budget allows one more retry.
    bool canTake(core::TimePoint now, RetryPurpose purpose = RetryPurpose::FailedSend);
    /// Takes one retry from the budget; returns false if none is left.
    bool tryTake(core::TimePoint now, RetryPurpose purpose = RetryPurpose::FailedSend);

private:
    void removeExpired(core::TimePoint now);

    RetryBudgetLimits m_limits;
    int m_daemonCount = 0;
    std::deque<core::TimePoint> m_requests;
    std::deque<core::TimePoint> m_retries;
};

} // namespace jackdawlead::decisions
