#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "fleet/endpoint.h"
#include "gateway/peerstreams.h"

#include <map>
#include <optional>
#include <vector>

namespace jackdawlead::gateway {

/// Combines for the coordinator what the daemons state about streams, and divides the endpoints
/// among the daemons that state it. Thread safety: one thread at a time.
class StreamCollector
{
public:
    using Endpoints = std::map<core::EndpointId, fleet::Endpoint>;
    using Regions = std::map<core::FailureDomainId, core::RegionId>;

    /// Replaces what the daemon stated; a daemon that states nothing gets no share.
    void addReport(const core::HostId &host, const core::FailureDomainId &domain,
                   const std::optional<StreamReports> &streams, core::TimePoint now);
    /// Recomputes what all daemons receive, and drops daemons that have not reported for long.
    void update(const Endpoints &endpoints, const Regions &regions, core::TimePoint now);
    /// What the daemon receives; empty if it states nothing itself.
    std::optional<StreamView> viewFor(const core::HostId &host, const Endpoints &endpoints) const;

private:
    struct Pause
    {
        core::Duration duration {};
        core::TimePoint at;
    };
    struct Daemon
    {
        core::FailureDomainId domain;
        core::TimePoint reportedAt;
        StreamReports reports;
        std::map<core::EndpointId, Pause> pauses;
        decisions::streams::StreamShares shares;
    };

    std::vector<decisions::streams::SharedEndpoint>
    capacitiesOf(const std::vector<const fleet::Endpoint *> &endpoints) const;
    void updateShares(const Endpoints &endpoints, const Regions &regions);

    std::map<core::HostId, Daemon> m_daemons;
    std::map<core::EndpointId, StreamReport> m_totals; ///< Without pauses.
    std::map<core::EndpointId, Pause> m_pauses;        ///< The medians.
};

} // namespace jackdawlead::gateway
