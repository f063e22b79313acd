#pragma once

#include "auto/domainoverflow/baselinepolicies.h"
#include "decisions/routing/domainoptions.h"
#include "decisions/routing/domainoverflow.h"

namespace jackdawlead::testsupport {

/// One DomainOverflow for each daemon, as EndpointFinder uses it.
class Overflow : public PolicyBase
{
public:
    explicit Overflow(const SimulatedState &state)
        : PolicyBase(state)
        , m_overflows(state.scenario.daemons())
    { }

    std::optional<int> choose(const SimulatedRequest &request, core::TimePoint now, double draw)
    {
        auto options = optionsOf(request);
        const decisions::routing::DomainOptions grouped(options);
        const core::TimePoint viewAt = m_state.viewAt[request.daemon];
        const decisions::routing::OverflowRequest wanted {
            .service = service(),
            .target = scenario().target,
            .waited = now - request.arrivedAt,
            .age = viewAt == core::TimePoint() ? std::nullopt : std::optional(now - viewAt),
            .domainDaemons = static_cast<double>(scenario().daemonsPerDomain),
            .homeSlots = static_cast<double>(scenario().endpointsPerDomain * scenario().slots)};
        const auto decision
            = m_overflows[request.daemon].decide(grouped.domains(), wanted, request.draw, now);
        const double share = grouped.applyDecision(options, decision);
        return chosenOf(decisions::chooseEndpoint(options, draw,
                                                  unreportedPerEndpoint(request.daemon) * share));
    }

    void recordSend(const SimulatedRequest &request, core::TimePoint now)
    {
        m_overflows[request.daemon].recordSend(service(), now);
        m_utilization[key(request)]
            = (m_state.knownLoad(request.daemon, request.endpoint) - 1) / scenario().slots;
    }
    void recordFirstEvent(const SimulatedRequest &request, core::TimePoint now)
    {
        m_overflows[request.daemon].recordFirstEvent(
            service(), domainOf(request), now - request.sentAt, m_utilization[key(request)], now);
        m_firstEvents[key(request)] = now;
        m_utilization.erase(key(request));
    }
    void recordEnd(const SimulatedRequest &request, core::TimePoint now)
    {
        m_overflows[request.daemon].recordEnd(service(), domainOf(request),
                                              now - m_firstEvents[key(request)]);
        m_firstEvents.erase(key(request));
    }
    void recordFailure(const SimulatedRequest &request, core::TimePoint now)
    {
        m_overflows[request.daemon].recordFailure(service(), domainOf(request), now);
    }

private:
    using Key = std::tuple<int, core::TimePoint, core::TimePoint, int>;

    static core::ServiceId service() { return core::ServiceId("chat"); }
    const core::FailureDomainId &domainOf(const SimulatedRequest &request) const
    {
        return m_domains[scenario().domainOfEndpoint(request.endpoint)];
    }
    static Key key(const SimulatedRequest &request)
    {
        return {request.daemon, request.arrivedAt, request.sentAt, request.endpoint};
    }

    std::vector<decisions::routing::DomainOverflow> m_overflows;
    std::map<Key, double> m_utilization;
    std::map<Key, core::TimePoint> m_firstEvents;
};

} // namespace jackdawlead::testsupport
