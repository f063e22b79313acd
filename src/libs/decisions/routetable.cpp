#include "decisions/routetable.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace jackdawlead::decisions {

namespace {

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::ranges::transform(name, name.begin(),
                           [](unsigned char character) { return std::tolower(character); });
    return name;
}

} // namespace

RouteTable::RouteTable(fleet::Configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const fleet::Route &route : m_configuration.routes)
        m_hosts[normalizedHost(route.host)].emplace(route.pathPrefix, &route);
    for (const fleet::ServiceSpec &service : m_configuration.services)
        m_services.emplace(service.service, &service);
    if (m_configuration.customers)
        m_customerKeys = customers::CustomerKeys(*m_configuration.customers);
}

const fleet::Route *RouteTable::find(std::string_view host, std::string_view target) const
{
    const auto prefixes = m_hosts.find(normalizedHost(host));
    if (prefixes == m_hosts.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    // Prefixes end with a slash, so only the parts of the path that end with one can be a prefix.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;) {
        const auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end())
            return found->second;
        if (slash == 0)
            break;
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

core::Duration RouteTable::longestStream() const
{
    core::Duration longest {};
    for (const fleet::Route &route : m_configuration.routes) {
        if (route.isStream)
            longest = std::max(longest, route.timeout);
    }
    return longest;
}

const fleet::ServiceSpec *RouteTable::service(const core::ServiceId &id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : found->second;
}

const core::ServiceId &RouteTable::chooseTarget(const fleet::Route &route, double draw)
{
    double total = 0;
    for (const fleet::RouteTarget &target : route.targets)
        total += target.weight;
    double remaining = draw * total;
    for (const fleet::RouteTarget &target : route.targets) {
        remaining -= target.weight;
        if (remaining < 0)
            return target.service;
    }
    return route.targets.back().service;
}

} // namespace jackdawlead::decisions
