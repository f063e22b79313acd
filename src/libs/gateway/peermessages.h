#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/crashtracker.h"
#include "decisions/placementview.h"
#include "decisions/waitinglist.h"
#include "fleet/adapterkey.h"
#include "fleet/endpoint.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jackdawlead::gateway {

/// Tells whether two daemons know the same endpoints.
enum class EndpointsDigest : std::uint64_t {};

EndpointsDigest digestOf(const std::map<core::EndpointId, fleet::Endpoint> &endpoints);

/// What a daemon tells the coordinator.
struct PeerReport
{
    core::HostId host;
    core::RegionId region;
    core::FailureDomainId domain;
    double availableCores = 1;               ///< In cores.
    bool isStoreReachable = true;            ///< With the store, on whatever way.
    std::string peerAddress;                 ///< Where the daemon takes views.
    std::map<core::EndpointId, double> load; ///< What it occupies there, in slots.
    /// Adapters that its requests use there now.
    std::map<core::EndpointId, std::vector<fleet::AdapterKey>> inUse;
    std::unordered_map<fleet::AdapterKey, int> demand;
    /// Requests that wait until an endpoint holds their adapter.
    std::unordered_map<fleet::AdapterKey, decisions::WaitingCount> waiting;
    std::map<core::EndpointId, std::set<fleet::AdapterKey>> placementMisses;
    std::vector<core::EndpointId> unreachable;
    std::vector<core::EndpointId> endpointsInBackoff;     ///< Want nothing from this daemon now.
    std::map<core::EndpointId, fleet::StartTime> leaving; ///< Said so themselves, lately.
    std::vector<decisions::CrashReport> crashes;          ///< Learned lately.
    std::uint64_t knownRevision = 0; ///< Of the contents that it was told last.
    core::FencingToken token;        ///< Of the coordinator who told them.
    EndpointsDigest endpoints {};    ///< Of the endpoints that the daemon knows.
    bool isViewRequested = true;     ///< False if only new demand is told.
};

/// What the coordinator tells a daemon: contents that changed, and the load of all endpoints.
struct PeerView
{
    bool isCoordinator = false; ///< Whether the sender gives orders now.
    core::FencingToken token;
    std::uint64_t since = 0; ///< The changes build on what was known at this revision.
    std::uint64_t revision = 0;
    std::map<core::EndpointId, decisions::ContentsChange> contents;
    bool hasLoad = true; ///< Whether loads are told at all.
    /// Of all daemons together, in slots, if the receiver may know other endpoints.
    std::map<core::EndpointId, double> load;
    /// The same for all endpoints of `endpoints`, in the order of their ids: their names were most
    /// of each view's bytes.
    std::vector<double> loadsInIdOrder;
    EndpointsDigest endpoints {};
    int daemonCount = 0;
    bool isCounted = false;         ///< Every daemon has had the time to report to the sender.
    core::Duration reportPeriod {}; ///< How often the receiver reports.
    core::Duration demandPause {};  ///< The least time between two of its reports of demand.
    std::map<core::EndpointId, fleet::StartTime> leaving; ///< Said so themselves to any daemon.
    std::string relayAddress;      ///< Of the daemon to watch the store through; empty for none.
    std::string spareRelayAddress; ///< Of the daemon for this when that one fails.
    std::vector<decisions::CrashReport> crashes; ///< Learned lately from any daemon.
};

/// Messages are JSON-RPC parameters or results of one field, CBOR in Base64: as JSON objects they
/// were read and written five times on the way through the library, half a millisecond for each
/// report of a deployment of 60 endpoints. Times are sent as what is left, since the clocks of
/// daemons differ.
std::string encode(const PeerReport &report, core::TimePoint now);
std::string encode(const PeerView &view, core::TimePoint now);
/// Errors: the message is malformed.
absl::StatusOr<PeerReport> decodePeerReport(const std::string &text, core::TimePoint now);
absl::StatusOr<PeerView> decodePeerView(const std::string &text, core::TimePoint now);

} // namespace jackdawlead::gateway
