#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/requestpermits.h"
#include "fleet/endpoint.h"

#include <cstddef>
#include <map>
#include <set>

namespace jackdawlead::decisions {

/// What the coordinator tells a daemon about the permits for one endpoint.
struct PermitGrant
{
    int count = 0;
    int waitingElsewhere = 0; ///< Requests that wait for permits at the other daemons.

    bool operator==(const PermitGrant &) const = default;
};

/// Issues permits so that all daemons together keep the request limit of each endpoint: a token
/// bucket for each endpoint, on the coordinator. A new coordinator starts with empty buckets,
/// because permits of its predecessor may still be in use. Thread safety: one thread at a time.
class PermitIssuer
{
public:
    /// An endpoint that accepts no requests still gets some, because only its answers show when it
    /// accepts requests again.
    static constexpr fleet::RequestRate minRate {0.1};

    /// Sets the limit that an endpoint incarnation has announced.
    void setLimit(const core::EndpointId &id, fleet::StartTime incarnation, fleet::RequestRate rate,
                  core::TimePoint now);
    /// Removes the limits of all endpoints that are not in `ids`.
    void retain(const std::set<core::EndpointId> &ids);
    /// Number of endpoints with a limit.
    std::size_t endpointCount() const { return m_buckets.size(); }
    /// Forgets the state of an earlier term.
    void reset() { m_buckets.clear(); }
    /// Issues permits to a daemon; requests that wait at other daemons take precedence over its
    /// preferences.
    PermitGrant issue(const core::EndpointId &id, const core::HostId &daemon,
                      const PermitDemand &demand, core::TimePoint now);
    /// Whether the coordinator may send a message of its own, because permits are left after all
    /// demand of the daemons; true for an endpoint without a limit.
    bool canCharge(const core::EndpointId &id, core::TimePoint now);
    /// Counts a message of the coordinator itself. The bucket may become negative, which delays
    /// later permits.
    void charge(const core::EndpointId &id);

private:
    /// The demand of one daemon for which there was no permit.
    struct UnmetDemand
    {
        PermitDemand demand;
        core::TimePoint reportedAt;
    };
    struct Bucket
    {
        fleet::StartTime incarnation {};
        fleet::RequestRate rate;
        double permits = 0;
        core::TimePoint filledAt;
        std::map<core::HostId, UnmetDemand> unmet; ///< By daemon.
    };

    static void refill(Bucket &bucket, core::TimePoint now);
    static PermitDemand totalUnmet(const Bucket &bucket);

    std::map<core::EndpointId, Bucket> m_buckets;
};

} // namespace jackdawlead::decisions
