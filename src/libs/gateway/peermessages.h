#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/endpointlimits.h"
#include "decisions/permitissuer.h"
#include "decisions/placementview.h"
#include "decisions/waitinglist.h"
#include "fleet/adapterkey.h"
#include "fleet/endpoint.h"
#include "gateway/crashnews.h"
#include "gateway/customers/quotamessages.h"
#include "gateway/peerstreams.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jackdawlead::gateway {

/// Hash of the endpoint ids that a daemon knows; compares the sets of two daemons.
enum class EndpointsDigest : std::uint64_t {};

EndpointsDigest digestOf(const std::map<core::EndpointId, fleet::Endpoint> &endpoints);

/// A daemon's report to the coordinator.
struct PeerReport
{
    core::HostId host;
    core::RegionId region;
    core::FailureDomainId domain;
    double availableCores = 1;
    bool isStoreReachable = true;            ///< Directly, or through a relay or another daemon.
    std::string peerAddress;                 ///< Where the daemon receives views.
    std::map<core::EndpointId, double> load; ///< Slots that its requests occupy.
    /// Adapters that its requests use on each endpoint now.
    std::map<core::EndpointId, std::vector<fleet::AdapterKey>> inUse;
    std::unordered_map<fleet::AdapterKey, int> demand;
    /// Requests that wait until their adapter is loaded on an endpoint.
    std::unordered_map<fleet::AdapterKey, decisions::WaitingCount> waiting;
    /// Adapters that waiting requests need at endpoints of a certain software version.
    std::set<fleet::PinnedAdapter> pinned;
    std::map<core::EndpointId, std::set<fleet::AdapterKey>> placementMisses;
    std::vector<core::EndpointId> unreachable;
    /// Whether it can send requests to endpoints for others: it reaches them, and knows how.
    bool sendsForOthers = true;
    std::vector<core::EndpointId> endpointsInBackoff;     ///< Accept no requests from this daemon.
    std::map<core::EndpointId, fleet::StartTime> leaving; ///< Recently announced by themselves.
    CrashNews crashes;
    std::map<core::EndpointId, decisions::EndpointLimit> limits; ///< Learned since the last report.
    std::map<core::EndpointId, decisions::PermitDemand> permitDemand;
    std::uint64_t knownRevision = 0; ///< Of the contents that it received last.
    core::FencingToken token;        ///< Of the coordinator that sent them.
    EndpointsDigest endpoints {};    ///< Of the endpoints that the daemon knows.
    /// Empty if no customer has a quota, and from daemons of earlier releases.
    std::optional<decisions::quota::QuotaReport> quota;
    /// Whether it checks keys and its configuration lists customers. Not sent if false, so that
    /// reports of deployments without customers keep their bytes.
    bool understandsCustomers = false;
    /// Empty if the daemon does not forecast streams, or does not know how.
    std::optional<StreamReports> streams;
    bool isViewRequested = true; ///< False for a report of new demand only.
};

/// The coordinator's view for a daemon: changed contents, and the load of all endpoints.
struct PeerView
{
    bool isCoordinator = false; ///< Whether the sender holds the lease for orders.
    core::FencingToken token;
    std::uint64_t since = 0; ///< The revision on which the changes build.
    std::uint64_t revision = 0;
    std::map<core::EndpointId, decisions::ContentsChange> contents;
    bool hasLoad = true; ///< Whether the view contains loads.
    /// Load by all daemons together, in slots; used if the receiver may know other endpoints.
    std::map<core::EndpointId, double> load;
    /// The same for all endpoints of `endpoints`, in the order of their ids. Sent without the ids,
    /// which made up most of each view's bytes.
    std::vector<double> loadsInIdOrder;
    EndpointsDigest endpoints {};
    int daemonCount = 0;
    bool isCounted = false;         ///< Every daemon had enough time to report to the sender.
    core::Duration reportPeriod {}; ///< Interval of the receiver's regular reports.
    core::Duration demandPause {};  ///< Minimum interval of the receiver's demand reports.
    std::map<core::EndpointId, fleet::StartTime> leaving;        ///< Announced to any daemon.
    std::map<core::EndpointId, decisions::EndpointLimit> limits; ///< Known to any daemon.
    std::map<core::EndpointId, decisions::PermitGrant> grants;   ///< For the demand of the report.
    bool areIssuingPermits = false; ///< False for coordinators of the previous release.
    std::string relayAddress;       ///< Daemon through which to watch the store; empty for none.
    std::string spareRelayAddress;  ///< Daemon to use when the relay fails.
    /// Daemons that can send requests to endpoints for the receiver, the preferred ones first.
    /// Empty if the coordinator, of an earlier release, does not state them.
    std::optional<std::vector<std::string>> forwarders;
    FleetCrashNews crashes;
    /// The answer to the report's quota; empty if there is none, and from earlier releases.
    std::optional<decisions::quota::QuotaAnswer> quota;
    /// Of the endpoints of `endpoints`. Empty if nothing is known: the receiver does not forecast
    /// streams, or the coordinator does not know how.
    std::optional<StreamView> streams;
};

/// Messages are JSON-RPC parameters or results with one field, CBOR in Base64. As JSON objects they
/// were parsed and written five times inside the library, which took half a millisecond for each
/// report of a deployment of 60 endpoints. Points in time are sent as the remaining time, because
/// the clocks of daemons differ.
std::string encode(const PeerReport &report, core::TimePoint now);
std::string encode(const PeerView &view, core::TimePoint now);
/// Errors: the message is malformed.
absl::StatusOr<PeerReport> decodePeerReport(const std::string &text, core::TimePoint now);
absl::StatusOr<PeerView> decodePeerView(const std::string &text, core::TimePoint now);

} // namespace jackdawlead::gateway
