#pragma once

#include "gateway/requestcontext.h"
#include "platform/endpointcodec.h"

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

namespace jackdawlead::gateway {

/// The targets of a stream on a route with a target gap.
struct StreamTargets
{
    core::Duration gap {};
    core::TimePoint firstEventDueAt;
    core::TimePoint awaitShareUntil;   ///< Waits for the daemon's own part until then.
    core::TimePoint awaitTargetsUntil; ///< Waits for an endpoint that keeps the targets until then.
};

/// Finds the endpoints that could take one request now, according to the daemon's view of them.
/// Thread safety: the event loop's thread only.
class EndpointFinder
{
public:
    EndpointFinder(RequestContext &context, const platform::RequestFields &fields)
        : m_context(context)
        , m_fields(fields)
    { }

    void setService(const core::ServiceId &service) { m_service = service; }
    /// Chooses by predicted gaps, if the daemon forecasts them.
    void setStreamTargets(const StreamTargets &targets) { m_streamTargets = targets; }
    /// Sets the target until the first event, and since when the request waits.
    void setTarget(core::Duration target, core::TimePoint receivedAt);
    /// Restricts the choice to endpoints with this version of their software.
    void setSoftwareVersion(const core::SoftwareVersion &version) { m_softwareVersion = version; }
    /// Restricts the choice to endpoints that hold the adapter at this version or a newer one,
    /// because a stream must not go back to an older one.
    void requireVersion(int version) { m_minVersion = std::max(m_minVersion, version); }
    /// Records the version that an endpoint stated for its run, which may have been loaded after
    /// this daemon chose the endpoint.
    void recordRunVersion(int version) { m_runVersion = std::max(m_runVersion, version); }
    /// Whether an endpoint of the service with the required software version is listed and takes
    /// requests, whatever it holds.
    bool isVersionServing() const;
    /// Records that the request was sent to the endpoint.
    void markTried(const core::EndpointId &id) { m_tried.insert(id); }
    /// Records that an endpoint refused; endpoints that were tried get no second send until the
    /// delay has passed.
    void recordRefusal(core::TimePoint now);
    /// Chooses among the endpoints of the service that hold the model and adapter and aren't
    /// leaving.
    decisions::EndpointChoice choose(core::TimePoint now) const;
    /// Whether any endpoint of the service has no request limit, whatever it holds.
    bool hasUnlimitedEndpoint() const;
    /// Whether the endpoint could be chosen if it did not need a permit.
    bool needsPermit(const core::EndpointId &id, core::TimePoint now) const;
    /// When the first back-off ends, if all endpoints that hold the model and adapter requested
    /// one; else empty.
    std::optional<core::TimePoint> earliestBackoffEnd(core::TimePoint now) const;
    /// The oldest version of the adapter that may be used; empty while any version may be used.
    std::optional<int> expectedVersion() const;
    /// The version at which the endpoint holds the adapter, as far as this daemon knows. While a
    /// version is required, a request must name this one: the endpoint rejects it for any other
    /// version than the one that it holds, also for an older one that would be allowed.
    std::optional<int> heldVersion(const core::EndpointId &id, core::TimePoint now) const;

private:
    /// How many requests this daemon may have at an endpoint that must not refuse.
    int mostInProgress(const fleet::Endpoint &endpoint, core::TimePoint now) const;
    std::vector<decisions::EndpointOption> options(core::TimePoint now) const;
    decisions::EndpointChoice chooseForStream(std::vector<decisions::EndpointOption> candidates,
                                              double unreported, core::TimePoint now) const;
    /// See OverflowRouter::prefer().
    double preferDomain(std::vector<decisions::EndpointOption> &options, core::TimePoint now) const;
    /// Estimated number of requests that other daemons sent to each endpoint of the service since
    /// their last report.
    double unreportedPerEndpoint(core::TimePoint now) const;
    /// Whether the endpoint belongs to the service, has the required software version and takes
    /// requests.
    bool isServing(const fleet::Endpoint &endpoint) const;
    bool isUsable(const fleet::Endpoint &endpoint, int minVersion, core::TimePoint now) const;
    std::optional<decisions::EndpointOption> optionFor(const fleet::Endpoint &endpoint,
                                                       int minVersion, core::TimePoint now) const;
    bool holdsRequested(const fleet::Endpoint &endpoint, int minVersion, core::TimePoint now) const;
    decisions::Distance distanceTo(const core::FailureDomainId &domain) const;

    RequestContext &m_context;
    const platform::RequestFields &m_fields;
    core::ServiceId m_service;
    std::optional<StreamTargets> m_streamTargets;
    std::optional<core::SoftwareVersion> m_softwareVersion;
    core::Duration m_target {};
    core::TimePoint m_receivedAt;
    double m_overflowDraw = 0; ///< See OverflowInputs.
    int m_minVersion = 0;      ///< Of the adapter.
    int m_runVersion = 0;      ///< The highest one that an endpoint stated.
    std::set<core::EndpointId> m_tried;
    core::TimePoint m_retryTriedAt;
    /// Delay until the next send to an endpoint that was tried, doubled with each refusal. While an
    /// endpoint replaces an adapter, it refuses until all its runs have ended, and a full one until
    /// one run has ended; each refusal takes from the retry budget.
    core::Duration m_refusalDelay = std::chrono::milliseconds(150);
};

} // namespace jackdawlead::gateway
