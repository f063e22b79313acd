#pragma once

#include "core/time.h"

namespace jackdawlead::decisions {

struct EndpointHealthLimits
{
    /// An endpoint that failed once is passed over this long; it doubles with each failure in a
    /// row.
    core::Duration firstPause = std::chrono::milliseconds(500);
    core::Duration longestPause = std::chrono::seconds(4);
    /// The share of failures, over about ten answers, above which an endpoint is passed over.
    double failureShare = 0.3;
    double smoothing = 0.1; ///< Weight of the newest answer in the share.
};

/// What one daemon believes about an endpoint from its answers. Thread safety: one thread at a
/// time.
class EndpointHealth
{
public:
    explicit EndpointHealth(EndpointHealthLimits limits = {})
        : m_limits(limits)
    { }

    void succeeded();
    /// The endpoint answered with a failure of its own.
    void answeredFailure(core::TimePoint now);
    /// The endpoint could not be reached or broke the connection.
    void broke(core::TimePoint now);
    bool isPassedOver(core::TimePoint now) const { return now < m_passedOverUntil; }

private:
    void pause(core::TimePoint now);

    EndpointHealthLimits m_limits;
    double m_failureShare = 0;
    int m_failuresInRow = 0;
    core::TimePoint m_passedOverUntil;
};

} // namespace jackdawlead::decisions
