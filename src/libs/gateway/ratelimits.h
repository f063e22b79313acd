#pragma once

#include "decisions/endpointlimits.h"
#include "net/timerservice.h"
#include "observability/gatewaymetrics.h"
#include "observability/logratelimiter.h"
#include "platform/endpointcodec.h"

#include <string_view>

namespace jackdawlead::gateway {

/// The request limits of endpoints, as this daemon knows them; logs and counts their changes.
/// Thread safety: the event loop's thread only.
class RateLimits
{
public:
    RateLimits(net::TimerService &timers, observability::GatewayMetrics &metrics);

    /// Applies what a response of an endpoint to a request that was sent at `sentAt` says about its
    /// limit. Only a response with the endpoint's signature, `isStamped`, lifts a limit.
    void recordResponse(const core::EndpointId &id, fleet::StartTime incarnation,
                        const platform::NamedLimit &limit, bool isStamped, core::TimePoint sentAt);
    const decisions::EndpointLimits &known() const { return m_known; }
    void removeEndpoint(const core::EndpointId &id);

private:
    void logChange(const core::EndpointId &id, decisions::LimitChange change,
                   std::string_view source);
    void updateMetrics();

    net::TimerService &m_timers;
    observability::GatewayMetrics &m_metrics;
    decisions::EndpointLimits m_known;
    observability::LogRateLimiter m_malformedLines;
    net::TimerService::Subscription m_sweepTimer;
};

} // namespace jackdawlead::gateway
