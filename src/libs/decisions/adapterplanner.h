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

/// Decides which endpoint holds which models and adapters, for the one daemon that gives orders.
/// Gives one order at a time to each endpoint and expects its order revision, so that a late order
/// cannot be carried out besides a newer one. Thread safety: one thread at a time.
class AdapterPlanner
{
public:
    explicit AdapterPlanner(AdapterPlannerParameters limits);

    /// Takes the endpoints of model engines that exist now; contents of new lives are unknown.
    void setEndpoint(const fleet::Endpoint &endpoint, const core::RegionId &region,
                     const fleet::EngineSpec &engine);
    void removeEndpoint(const core::EndpointId &id);
    void setLoad(const core::EndpointId &id, double load);
    /// Replaces what is known of the adapters that requests use.
    void setInUse(std::map<core::EndpointId, AdapterSet> inUse);
    void recordAnnouncedVersion(const fleet::AnnouncedVersion &version);
    AdapterDemand &demand() { return m_demand; }
    /// Replaces what is known of requests that wait for adapters.
    void setWaiting(WaitingCounts waiting) { m_waiting = std::move(waiting); }

    /// The endpoints whose report is needed before they get an order.
    std::vector<core::EndpointId> endpointsNeedingReport(core::TimePoint now) const;
    void applyReport(const core::EndpointId &id, const fleet::EndpointReport &report,
                     core::TimePoint sentAt);
    /// The endpoint did not tell what it holds.
    void recordReportFailure(const core::EndpointId &id, core::TimePoint now);
    /// An endpoint said that it does not hold what was believed.
    void recordPlacementMiss(const core::EndpointId &id, const fleet::AdapterKey &key,
                             core::TimePoint now);
    /// What is believed of the endpoint is not relied on until it has been asked.
    void requireReport(const core::EndpointId &id);
    /// A daemon cannot reach the endpoint.
    void markUnreachable(const core::EndpointId &id, core::TimePoint now);

    /// The orders to give now; each counts as being given.
    std::vector<PlannedOrder> plan(core::TimePoint now);
    void recordOrderOutcome(const PlannedOrder &order, OrderOutcome end, core::TimePoint now);

    /// The load for the place that an unload has made at the endpoint, without a whole pass: on a
    /// busy coordinator a pass takes as long as the load.
    std::optional<PlannedOrder> planReservedLoad(const core::EndpointId &id, core::TimePoint now);
    void setRequestCost(const RequestCostEstimator &cost) { m_cost = cost; }
    /// How many adapters may be on their way from the store at once.
    int concurrentLoadLimit() const { return m_transitLimit.value(); }
    const EndpointStates &endpoints() const { return m_endpoints; }
    /// Rises with each change of what endpoints hold.
    std::uint64_t contentRevision(const core::EndpointId &id) const;
    std::uint64_t revision() const { return m_revision; }

private:
    void changed(const core::EndpointId &id) { m_changes[id] = ++m_revision; }
    void takeContents(EndpointState &state, const fleet::EndpointReport &report,
                      core::TimePoint sentAt);
    void recordLoadStart(EndpointState &state, const fleet::AdapterKey &key, core::TimePoint now);

    AdapterPlannerParameters m_limits;
    AdapterDemand m_demand;
    WaitingCounts m_waiting;
    EndpointStates m_endpoints;
    std::unordered_map<fleet::AdapterKey, int> m_newest;
    LoadConcurrencyLimit m_transitLimit;
    RequestCostEstimator m_cost;
    std::deque<core::TimePoint> m_modelLoads;
    std::map<core::EndpointId, std::uint64_t> m_changes;
    std::uint64_t m_revision = 0;
};

/// Reads NAME@VERSION; the version is 1 if there is none.
std::pair<core::AdapterId, int> parseHeldAdapter(const std::string &text);

} // namespace jackdawlead::decisions
