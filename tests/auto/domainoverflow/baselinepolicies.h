#pragma once

#include "auto/domainoverflow/overflowsimulation.h"

#include <optional>
#include <string>
#include <vector>

namespace jackdawlead::testsupport {

/// What all rules share: the state and hooks that do nothing.
class PolicyBase
{
public:
    explicit PolicyBase(const SimulatedState &state)
        : m_state(state)
    {
        for (int domain = 0; domain < scenario().domains; ++domain)
            m_domains.emplace_back("domain-" + std::to_string(domain));
    }

    void recordSend(const SimulatedRequest &, core::TimePoint) { }
    void recordFirstEvent(const SimulatedRequest &, core::TimePoint) { }
    void recordEnd(const SimulatedRequest &, core::TimePoint) { }
    void recordFailure(const SimulatedRequest &, core::TimePoint) { }
    /// Time that the last choice took for asking other domains.
    core::Duration searchTime() const { return {}; }

protected:
    const OverflowScenario &scenario() const { return m_state.scenario; }

    /// The endpoints as the daemon knows them, as EndpointFinder lists them.
    std::vector<decisions::EndpointOption> optionsOf(const SimulatedRequest &request) const
    {
        std::vector<decisions::EndpointOption> options;
        for (int endpoint = 0; endpoint < scenario().endpoints(); ++endpoint) {
            if (!m_state.holds(endpoint, request))
                continue;
            decisions::EndpointOption option;
            option.endpoint = core::EndpointId(std::to_string(endpoint));
            option.slots = scenario().slots;
            option.load = m_state.knownLoad(request.daemon, endpoint);
            option.ownLoad = m_state.own[request.daemon][endpoint];
            option.distance = m_state.distance(request.daemon, endpoint);
            option.domain = &m_domains[scenario().domainOfEndpoint(endpoint)];
            option.wasTried = std::ranges::find(request.tried, endpoint) != request.tried.end();
            options.push_back(std::move(option));
        }
        return options;
    }

    /// See EndpointFinder::unreportedPerEndpoint(); all daemons are taken to be alike there.
    double unreportedPerEndpoint(int daemon) const
    {
        const double perSecond = scenario().demand[scenario().domainOfDaemon(daemon)]
            * scenario().endpointsPerDomain * scenario().slots
            / core::toSeconds(scenario().slotTime) / scenario().daemonsPerDomain;
        const double age
            = core::toSeconds((scenario().shortestReportPeriod + scenario().longestReportPeriod) / 2
                              + scenario().viewDelay);
        return perSecond * (scenario().daemons() - 1) * age / scenario().endpoints();
    }

    std::optional<int> chosenOf(const decisions::EndpointChoice &choice) const
    {
        if (!choice.endpoint)
            return std::nullopt;
        return std::stoi(choice.endpoint->value());
    }

    const SimulatedState &m_state;
    std::vector<core::FailureDomainId> m_domains;
};

/// Today's constants.
class ConstantCosts : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;

    std::optional<int> choose(const SimulatedRequest &request, core::TimePoint, double draw)
    {
        return chosenOf(decisions::chooseEndpoint(optionsOf(request), draw,
                                                  unreportedPerEndpoint(request.daemon)));
    }
};

/// Requests leave while the known utilization of the nearer domains is above a threshold.
class Threshold : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;

    std::optional<int> choose(const SimulatedRequest &request, core::TimePoint, double draw)
    {
        constexpr double threshold = 1.0;
        auto options = optionsOf(request);
        for (const auto distance :
             {decisions::Distance::SameDomain, decisions::Distance::SameRegion,
              decisions::Distance::OtherRegion}) {
            auto near = options;
            std::erase_if(near, [distance](const decisions::EndpointOption &option) {
                return option.distance != distance || option.load / option.slots >= threshold;
            });
            const auto choice
                = decisions::chooseEndpoint(near, draw, unreportedPerEndpoint(request.daemon));
            if (choice.endpoint)
                return chosenOf(choice);
        }
        return chosenOf(
            decisions::chooseEndpoint(options, draw, unreportedPerEndpoint(request.daemon)));
    }
};

/// Tries the domains strictly in order of distance and takes the first that accepts; a domain
/// refuses when it has no free slot, and the refusal takes a round trip.
class Flocking : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;

    std::optional<int> choose(const SimulatedRequest &request, core::TimePoint, double)
    {
        m_searchTime = {};
        const int home = scenario().domainOfDaemon(request.daemon);
        std::vector<int> order;
        order.reserve(scenario().domains);
        for (int domain = 0; domain < scenario().domains; ++domain)
            order.push_back(domain);
        std::ranges::stable_sort(order, {}, [this, home](int domain) {
            if (domain == home)
                return 0;
            return scenario().regionOf(domain) == scenario().regionOf(home) ? 1 : 2;
        });
        std::optional<int> shortest;
        for (const int domain : order) {
            const auto best = leastLoadedOf(request, domain);
            if (!best)
                continue;
            if (m_state.trueLoad[*best] < scenario().slots)
                return best;
            if (!shortest)
                shortest = best;
            m_searchTime += m_state.roundTrip(m_state.distance(request.daemon, *best));
        }
        return shortest;
    }
    core::Duration searchTime() const { return m_searchTime; }

private:
    std::optional<int> leastLoadedOf(const SimulatedRequest &request, int domain) const
    {
        std::optional<int> best;
        for (int endpoint = 0; endpoint < scenario().endpoints(); ++endpoint) {
            if (scenario().domainOfEndpoint(endpoint) == domain && m_state.holds(endpoint, request)
                && std::ranges::find(request.tried, endpoint) == request.tried.end()
                && (!best || m_state.trueLoad[endpoint] < m_state.trueLoad[*best]))
                best = endpoint;
        }
        return best;
    }

    core::Duration m_searchTime {};
};

/// Knows all loads, speeds and links: takes the endpoint with the highest expected credit less the
/// price of the traffic, and the earliest among equals. Three tenths of the target are in reserve,
/// because nobody knows when running requests end.
class Oracle : public PolicyBase
{
public:
    using PolicyBase::PolicyBase;

    std::optional<int> choose(const SimulatedRequest &request, core::TimePoint now, double)
    {
        std::optional<int> best;
        std::pair<double, core::Duration> bestValue;
        for (int endpoint = 0; endpoint < scenario().endpoints(); ++endpoint) {
            if (!m_state.holds(endpoint, request) || !isReachable(request, endpoint, now))
                continue;
            const core::Duration first = firstEventAt(request, endpoint, now);
            const auto distance = m_state.distance(request.daemon, endpoint);
            const double late
                = core::toSeconds(now - request.arrivedAt + first - core::scaled(target(), 0.7))
                / core::toSeconds(target());
            const std::pair value {std::clamp(1 - late, 0.0, 1.0) - priceOf(distance), -first};
            if (!best || value > bestValue) {
                best = endpoint;
                bestValue = value;
            }
        }
        return best;
    }

private:
    bool isReachable(const SimulatedRequest &request, int endpoint, core::TimePoint now) const
    {
        return m_state.distance(request.daemon, endpoint) != decisions::Distance::OtherRegion
            || !scenario().regionsCut || !scenario().regionsCut->contains(now);
    }

    core::Duration target() const { return scenario().target; }

    static double priceOf(decisions::Distance distance)
    {
        constexpr double price = 0.02;
        if (distance == decisions::Distance::SameDomain)
            return 0;
        return distance == decisions::Distance::SameRegion ? price : 4 * price;
    }

    core::Duration firstEventAt(const SimulatedRequest &request, int endpoint,
                                core::TimePoint now) const
    {
        const double slowness = scenario().slowness[scenario().domainOfEndpoint(endpoint)];
        const double waiting = std::max(0, m_state.trueLoad[endpoint] - scenario().slots + 1);
        return core::scaled(scenario().slotTime, slowness * waiting / scenario().slots)
            + core::scaled(scenario().prefill, slowness)
            + m_state.roundTrip(m_state.distance(request.daemon, endpoint))
            + linkTime(request, endpoint, now);
    }

    core::Duration linkTime(const SimulatedRequest &request, int endpoint,
                            core::TimePoint now) const
    {
        if (m_state.distance(request.daemon, endpoint) != decisions::Distance::OtherRegion)
            return {};
        const int region = scenario().regionOf(scenario().domainOfEndpoint(endpoint));
        const auto found = m_state.linkFreeAt.find(region);
        return found == m_state.linkFreeAt.end() || found->second < now ? core::Duration()
                                                                        : found->second - now;
    }
};

} // namespace jackdawlead::testsupport
