#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/endpointchooser.h"
#include "decisions/routing/domainoverflow.h"
#include "fleet/hostsettings.h"
#include "gateway/fleetwatch.h"
#include "gateway/overflowsend.h"
#include "observability/gatewaymetrics.h"

#include <map>
#include <optional>
#include <vector>

namespace jackdawlead::gateway {

/// What a daemon knows when it chooses an endpoint for a request.
struct OverflowInputs
{
    core::ServiceId service;
    core::Duration target {}; ///< See OverflowRequest.
    core::Duration waited {};
    std::optional<core::Duration> loadAge; ///< Empty before the first view of a coordinator.
    int daemonCount = 1;
    double draw = 0; ///< Of the request, uniform in [0, 1).
};

/// Applies DomainOverflow to the requests of this daemon if `--domain-overflow` is given; else all
/// functions do nothing. Thread safety: the event loop's thread only.
class OverflowRouter
{
public:
    OverflowRouter(const fleet::HostSettings &settings, const FleetWatch &watch,
                   observability::GatewayMetrics &metrics)
        : m_settings(settings)
        , m_watch(watch)
        , m_metrics(metrics)
    { }

    bool isEnabled() const { return m_settings.isDomainOverflowEnabled; }
    /// Sets the distance costs of the options, and removes those that the request should rather
    /// wait for. Returns the part of the options that is preferred, one if the switch is off.
    double prefer(std::vector<decisions::EndpointOption> &options, const OverflowInputs &inputs,
                  core::TimePoint now);
    /// Records a send, for which prefer() was called last; `isFirst` if it is the first one of its
    /// request. `utilization` is that of the endpoint before the send.
    OverflowSend recordSend(const core::ServiceId &service, const core::EndpointId &endpoint,
                            bool isFirst, double utilization, core::TimePoint now);
    /// Records the first event of a stream, `delay` after the send.
    void recordFirstEvent(const OverflowSend &send, core::Duration delay, core::TimePoint now);
    /// Records that a stream ended this long after its first event.
    void recordStreamEnd(const OverflowSend &send, core::Duration duration);
    /// Records an answer that came as a whole, `delay` after the send.
    void recordAnswer(const OverflowSend &send, core::Duration delay, core::TimePoint now);
    /// Records that the connection failed before an answer.
    void recordFailure(const OverflowSend &send, core::TimePoint now);
    /// Records the bytes of a send that is over.
    void recordRelease(const OverflowSend &send);

private:
    struct Service
    {
        bool isSendingAway = false;
        double requestsAway = 0; ///< Since the begin.
        double bytesAway = 0;
        core::TimePoint since;
        double homeSlots = 0; ///< Of its endpoints in this domain.
        std::optional<core::TimePoint> homeSlotsAt;
    };

    double homeSlots(const core::ServiceId &service, core::TimePoint now);
    void logChange(const core::ServiceId &id,
                   const std::vector<decisions::routing::DomainState> &domains,
                   const decisions::routing::OverflowDecision &decision,
                   const OverflowInputs &inputs, core::TimePoint now);

    const fleet::HostSettings &m_settings;
    const FleetWatch &m_watch;
    observability::GatewayMetrics &m_metrics;
    decisions::routing::DomainOverflow m_overflow;
    std::map<core::ServiceId, Service> m_services;
    decisions::routing::OverflowDecision m_lastDecision;
};

} // namespace jackdawlead::gateway
