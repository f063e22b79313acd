#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/adapterdemand.h"
#include "decisions/loadconcurrencylimit.h"
#include "decisions/planningtypes.h"
#include "decisions/requestcostestimator.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jackdawlead::decisions {

/// Decides which endpoint holds which models and adapters, for the one daemon that issues orders.
/// Issues one order at a time to each endpoint and states the expected order revision, so that a
/// delayed order cannot be executed in addition to a newer one. Thread safety: one thread at a
/// time.
class AdapterPlanner
{
public:
    explicit AdapterPlanner(AdapterPlannerParameters parameters);

    /// Adds or updates an endpoint. The contents of a new incarnation are unknown.
    void setEndpoint(const fleet::Endpoint &endpoint, const core::RegionId &region,
                     const fleet::EngineSpec &engine);
    void removeEndpoint(const core::EndpointId &id);
    void setLoad(const core::EndpointId &id, double load);
    /// Sets whether the endpoint has a request limit, and whether that allows an order now.
    void setRateLimited(const core::EndpointId &id, bool isRateLimited, bool isOrderAllowed);
    /// Replaces the sets of adapters that requests in progress use.
    void setInUse(std::map<core::EndpointId, AdapterSet> inUse);
    void recordAnnouncedVersion(const fleet::AnnouncedVersion &version);
    AdapterDemand &demand() { return m_demand; }
    /// Replaces the counts of requests that wait for adapters.
    void setWaiting(WaitingCounts waiting) { m_waiting = std::move(waiting); }
    /// Replaces the adapters that waiting requests need at a certain software version.
    void setPinned(std::set<fleet::PinnedAdapter> pinned) { m_pinned = std::move(pinned); }

    /// The endpoints from which a report is to be requested now.
    std::vector<core::EndpointId> endpointsNeedingReport(core::TimePoint now) const;
    void applyReport(const core::EndpointId &id, const fleet::EndpointReport &report,
                     core::TimePoint sentAt);
    /// The endpoint did not answer a report request.
    void recordReportFailure(const core::EndpointId &id, core::TimePoint now);
    /// An endpoint answered that it lacks an adapter or a model that it was expected to hold.
    void recordPlacementMiss(const core::EndpointId &id, const fleet::AdapterKey &key,
                             core::TimePoint now);
    /// Holds back orders to the endpoint until its next report.
    void requireReport(const core::EndpointId &id);
    /// A daemon cannot reach the endpoint.
    void markUnreachable(const core::EndpointId &id, core::TimePoint now);

    /// The orders to send now; marks each of them as pending.
    std::vector<PlannedOrder> plan(core::TimePoint now);
    void recordOrderOutcome(const PlannedOrder &order, OrderOutcome outcome, core::TimePoint now);

    /// The load for the adapter slot that an unload has freed at the endpoint, without a full pass:
    /// on a busy coordinator a pass takes as long as the load.
    std::optional<PlannedOrder> planReservedLoad(const core::EndpointId &id, core::TimePoint now);
    void setRequestCost(const RequestCostEstimator &cost) { m_requestCost = cost; }
    /// Maximum number of concurrent adapter loads from the store.
    int concurrentLoadLimit() const { return m_loadConcurrencyLimit.value(); }
    const EndpointStates &endpoints() const { return m_endpoints; }
    /// Rises with each change of the contents of the endpoint.
    std::uint64_t contentRevision(const core::EndpointId &id) const;
    std::uint64_t revision() const { return m_revision; }

private:
    void increaseRevision(const core::EndpointId &id) { m_contentRevisions[id] = ++m_revision; }
    void mergeReportedContents(EndpointState &state, const fleet::EndpointReport &report,
                               core::TimePoint sentAt);
    void recordLoadStart(EndpointState &state, const fleet::AdapterKey &key, core::TimePoint now);

    AdapterPlannerParameters m_parameters;
    AdapterDemand m_demand;
    WaitingCounts m_waiting;
    std::set<fleet::PinnedAdapter> m_pinned;
    EndpointStates m_endpoints;
    std::unordered_map<fleet::AdapterKey, int> m_newestVersions;
    LoadConcurrencyLimit m_loadConcurrencyLimit;
    RequestCostEstimator m_requestCost;
    std::deque<core::TimePoint> m_modelLoadTimes;
    std::map<core::EndpointId, std::uint64_t> m_contentRevisions;
    std::uint64_t m_revision = 0;
};

/// Parses NAME@VERSION; the version is 1 if there is none.
std::pair<core::AdapterId, int> parseHeldAdapter(const std::string &text);

} // namespace jackdawlead::decisions
