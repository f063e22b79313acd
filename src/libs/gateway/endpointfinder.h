#pragma once

#include "gateway/requestcontext.h"
#include "platform/endpointcodec.h"

#include <optional>
#include <set>
#include <vector>

namespace jackdawlead::gateway {

/// Finds the endpoints that could take one request now, from what the daemon believes of them.
/// Thread safety: the loop's thread only.
class EndpointFinder
{
public:
    EndpointFinder(RequestContext &context, const platform::RequestFields &fields)
        : m_context(context)
        , m_fields(fields)
    { }

    void setService(const core::ServiceId &service) { m_service = service; }
    /// The request was sent to the endpoint.
    void markTried(const core::EndpointId &id) { m_tried.insert(id); }
    /// An endpoint refused; none is asked a second time until this has passed.
    void recordRefusal(core::TimePoint now);
    /// Chooses among the endpoints of the service that hold what is asked for and are not leaving.
    decisions::EndpointChoice choose(core::TimePoint now) const;
    /// When the first of the endpoints that hold what is asked for takes requests again, if all of
    /// them want nothing now; else empty.
    std::optional<core::TimePoint> earliestBackoffEnd(core::TimePoint now) const;
    /// The version of the adapter that an endpoint must hold; empty while any may be used.
    std::optional<int> expectedVersion(core::TimePoint now) const;

private:
    std::vector<decisions::EndpointOption> options(core::TimePoint now) const;
    /// How many requests other daemons are likely to have sent to each endpoint of the service
    /// since they were told of last.
    double unseenPerEndpoint(core::TimePoint now) const;
    bool isUsable(const fleet::Endpoint &endpoint, int leastVersion, core::TimePoint now) const;
    std::optional<decisions::EndpointOption> optionFor(const fleet::Endpoint &endpoint,
                                                       int leastVersion, core::TimePoint now) const;
    bool holdsWanted(const fleet::Endpoint &endpoint, int leastVersion, core::TimePoint now) const;
    decisions::Distance distanceTo(const core::FailureDomainId &domain) const;

    RequestContext &m_context;
    const platform::RequestFields &m_fields;
    core::ServiceId m_service;
    std::set<core::EndpointId> m_tried;
    core::TimePoint m_triedAgainAt;
    /// An endpoint that refused while it replaces an adapter refuses again until its runs have
    /// ended, and one that is full until one of them has; each refusal takes from the budget.
    core::Duration m_refusedPause = std::chrono::milliseconds(150);
};

} // namespace jackdawlead::gateway
