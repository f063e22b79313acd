#pragma once

#include "core/time.h"

#include <deque>

namespace jackdawlead::decisions {

/// How many repeated sends a service may get over all daemons.
struct RetryBudgetLimits
{
    core::Duration window = std::chrono::seconds(10);
    double ratio = 0.2;  ///< Repeated sends per request.
    double slack = 10.0; ///< Repeated sends that are allowed besides.
    /// The part that is used. The bound holds in any window, while requests are counted as they
    /// come, so that a falling load leaves less than was granted.
    double safetyFactor = 0.6;
};

/// One daemon's share of a service's budget of repeated sends. Every send beyond the first of a
/// request counts, whatever its outcome. Thread safety: one thread at a time.
class RetryBudget
{
public:
    void setLimits(const RetryBudgetLimits &limits) { m_limits = limits; }
    /// The number of daemons that share the slack; until it is known, initialSlack are used.
    void setDaemonCount(int count) { m_sharers = count; }
    void recordRequest(core::TimePoint now);
    /// Requests a second over the window, or since the first one.
    double requestRate(core::TimePoint now);
    /// As many as one request may need: small enough for hundreds of daemons that start together.
    static constexpr double initialSlack = 3;
    /// Whether the budget has one more repeated send.
    bool canTake(core::TimePoint now);
    /// Takes one repeated send if the budget has it.
    bool tryTake(core::TimePoint now);

private:
    void forget(core::TimePoint now);

    RetryBudgetLimits m_limits;
    int m_sharers = 0;
    std::deque<core::TimePoint> m_requests;
    std::deque<core::TimePoint> m_repeats;
};

} // namespace jackdawlead::decisions
