#pragma once

#include "decisions/customers/customerkeys.h"
#include "fleet/configuration.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jackdawlead::decisions {

/// Immutable index of one configuration for the routing of requests. Thread safety: any thread.
class RouteTable
{
public:
    explicit RouteTable(fleet::Configuration configuration);
    /// Not copied, because the index points into the configuration.
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    core::Generation generation() const { return m_configuration.generation; }
    const fleet::Configuration &configuration() const { return m_configuration; }
    /// The route of `host` with the longest prefix of the path of `target`; nullptr if there is
    /// none. A port in `host` and a query in `target` are ignored.
    const fleet::Route *find(std::string_view host, std::string_view target) const;
    /// The longest time that a route allows a stream.
    core::Duration longestStream() const;
    /// nullptr if the configuration does not name the service.
    const fleet::ServiceSpec *service(const core::ServiceId &id) const;
    /// Of the configuration's customers; without entries if it lists none.
    const customers::CustomerKeys &customerKeys() const { return m_customerKeys; }

    /// Chooses one of the route's services by weight; `draw` is uniform in [0, 1).
    static const core::ServiceId &chooseTarget(const fleet::Route &route, double draw);

private:
    using Prefixes = std::map<std::string, const fleet::Route *, std::less<>>;

    fleet::Configuration m_configuration;
    std::unordered_map<std::string, Prefixes> m_hosts;
    std::unordered_map<core::ServiceId, const fleet::ServiceSpec *> m_services;
    customers::CustomerKeys m_customerKeys;
};

} // namespace jackdawlead::decisions
