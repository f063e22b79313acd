#pragma once

#include "core/time.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace jackdawlead::observability {

/// The metrics of a daemon on the users' platform. Thread safety: any thread.
class GatewayMetrics
{
public:
    GatewayMetrics();

    /// A request ended with this status, `total` after its first byte; zero if it was broken off.
    void recordResponse(int status, core::Duration total);
    void recordRefusal(const std::string &cause);
    void recordRetry(const std::string &cause);
    void recordFirstEvent(core::Duration delay) { m_firstEvent.Observe(core::toSeconds(delay)); }
    void recordLongestPause(core::Duration pause)
    {
        m_longestPause.Observe(core::toSeconds(pause));
    }
    void recordWaitTime(core::Duration wait) { m_wait.Observe(core::toSeconds(wait)); }
    void recordOrderOutcome(const std::string &operation, const std::string &result);
    /// A planning pass of the coordinator took `time`; the limit is that of adapters in transit.
    void recordPlanningPass(core::Duration time, int transitLimit);
    void setGeneration(double generation) { m_generation.Set(generation); }
    void setEndpoints(double count) { m_endpoints.Set(count); }
    void setStoreReachable(bool isInTouch) { m_storeInTouch.Set(isInTouch ? 1 : 0); }
    void setIsCoordinator(bool isCoordinator) { m_isCoordinator.Set(isCoordinator ? 1 : 0); }
    void setRequestsInProgress(double count) { m_requestsInProgress.Set(count); }
    void setControlCalls(double count) { m_controlCalls.Set(count); }

    /// All metrics in the Prometheus text format.
    std::string render() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_answers;
    prometheus::Family<prometheus::Counter> &m_refusals;
    prometheus::Family<prometheus::Counter> &m_repeats;
    prometheus::Family<prometheus::Counter> &m_orders;
    prometheus::Histogram &m_total;
    prometheus::Histogram &m_firstEvent;
    prometheus::Histogram &m_longestPause;
    prometheus::Histogram &m_wait;
    prometheus::Histogram &m_planning;
    prometheus::Gauge &m_transitLimit;
    prometheus::Gauge &m_generation;
    prometheus::Gauge &m_endpoints;
    prometheus::Gauge &m_storeInTouch;
    prometheus::Gauge &m_isCoordinator;
    prometheus::Gauge &m_requestsInProgress;
    prometheus::Gauge &m_controlCalls;
};

} // namespace jackdawlead::observability
