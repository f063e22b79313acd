#include "decisions/runtimes.h"

#include <algorithm>
#include <set>

namespace jackdawlead::decisions {

RunTimes::ServiceKey RunTimes::keyOf(const core::ServiceId &service, const fleet::Route &route)
{
    return {service, route.isStream};
}

RunTimes::RouteKey RunTimes::keyOf(const fleet::Route &route)
{
    return {route.host, route.pathPrefix};
}

void RunTimes::record(const core::ServiceId &service, const fleet::Route &route,
                      core::TimePoint sentAt, core::TimePoint now)
{
    m_services[keyOf(service, route)].record(sentAt, now);
    m_routes[keyOf(route)].record(sentAt, now);
}

std::optional<core::Duration> RunTimes::longestExpected(const core::ServiceId &service,
                                                        const fleet::Route &route,
                                                        Confidence confidence) const
{
    const auto all = m_services.find(keyOf(service, route));
    const auto expected = all != m_services.end() ? all->second.longestExpected(confidence)
                                                  : std::optional<core::Duration>();
    const auto own = m_routes.find(keyOf(route));
    if (!expected || own == m_routes.end())
        return expected;
    if (own->second.isRefuted() && confidence != Confidence::Possible)
        return std::nullopt;
    return std::max(*expected, own->second.scaledLongest(confidence));
}

void RunTimes::beginObservation(core::TimePoint now, core::Duration negligible)
{
    for (auto &[key, estimator] : m_services)
        estimator.beginObservation(now, negligible);
    for (auto &[key, estimator] : m_routes)
        estimator.beginObservation(now, negligible);
}

void RunTimes::checkInProgress(const std::vector<RequestInProgress> &requests, core::TimePoint now)
{
    std::map<ServiceKey, std::vector<core::TimePoint>> ofServices;
    std::map<RouteKey, std::vector<core::TimePoint>> ofRoutes;
    for (const RequestInProgress &request : requests) {
        ofServices[keyOf(request.service, *request.route)].push_back(request.sentAt);
        ofRoutes[keyOf(*request.route)].push_back(request.sentAt);
    }
    for (auto &[key, estimator] : m_services)
        estimator.checkInProgress(ofServices[key], now);
    for (auto &[key, estimator] : m_routes)
        estimator.checkInProgress(ofRoutes[key], now);
}

void RunTimes::retainRoutes(const std::vector<fleet::Route> &routes)
{
    std::set<RouteKey> retained;
    for (const fleet::Route &route : routes)
        retained.insert(keyOf(route));
    std::erase_if(m_routes, [&](const auto &entry) { return !retained.contains(entry.first); });
}

} // namespace jackdawlead::decisions
