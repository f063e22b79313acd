#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/runtimeestimator.h"
#include "fleet/configuration.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jackdawlead::decisions {

/// A request at an endpoint.
struct RequestInProgress
{
    core::ServiceId service;
    const fleet::Route *route = nullptr; ///< Valid during the call.
    core::TimePoint sentAt;
};

/// How long requests take from the send to the end of the answer. Those of a route may take much
/// longer than the others of its service and be rare, so that both are known. Thread safety: the
/// event loop's thread only.
class RunTimes
{
public:
    void record(const core::ServiceId &service, const fleet::Route &route, core::TimePoint sentAt,
                core::TimePoint now);
    /// A duration that hardly any request of the route exceeds; empty if that is not known.
    std::optional<core::Duration> longestExpected(const core::ServiceId &service,
                                                  const fleet::Route &route,
                                                  Confidence confidence) const;
    /// See RunTimeEstimator::beginObservation().
    void beginObservation(core::TimePoint now, core::Duration negligible);
    /// Compares the predictions with the requests in progress.
    void checkInProgress(const std::vector<RequestInProgress> &requests, core::TimePoint now);
    /// Forgets the routes that the configuration no longer has.
    void retainRoutes(const std::vector<fleet::Route> &routes);

private:
    using ServiceKey = std::pair<core::ServiceId, bool>;  ///< With whether they are streams.
    using RouteKey = std::pair<std::string, std::string>; ///< Host and path prefix.

    static ServiceKey keyOf(const core::ServiceId &service, const fleet::Route &route);
    static RouteKey keyOf(const fleet::Route &route);

    std::map<ServiceKey, RunTimeEstimator> m_services;
    std::map<RouteKey, RunTimeEstimator> m_routes;
};

} // namespace jackdawlead::decisions
