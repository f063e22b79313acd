#pragma once

#include "decisions/adapterdemand.h"
#include "decisions/planningtypes.h"
#include "decisions/requestcostestimator.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace jackdawlead::decisions {

/// One pass of the planner over all endpoints. The copies of each adapter and the eviction victim
/// of each endpoint are determined once in a pass: a pass over 18 endpoints that counted copies for
/// each comparison used up the CPU share of the daemon. Thread safety: one thread at a time.
class PlanningPass
{
public:
    PlanningPass(const AdapterPlannerParameters &parameters, const AdapterDemand &demand,
                 const WaitingCounts &waiting, const std::set<fleet::PinnedAdapter> &pinned,
                 const std::unordered_map<fleet::AdapterKey, int> &newestVersions,
                 std::deque<core::TimePoint> &modelLoadTimes, EndpointStates &endpoints,
                 const RequestCostEstimator &requestCost, int concurrentLoadLimit,
                 core::TimePoint now);

    /// The orders to send now; marks each of them as pending.
    std::vector<PlannedOrder> run();
    /// The load for the adapter slot that was freed at one endpoint, if it can be ordered now.
    std::optional<PlannedOrder> planReservedLoad(EndpointState &state);
    /// How many further loads from the store may start in this pass.
    int remainingLoads() const { return m_remainingLoads; }

private:
    struct LoadCandidate
    {
        fleet::AdapterKey key;
        core::RegionId region;
        const AdapterDemand::DecayedCount *demand = nullptr;
        double rate = 0; ///< Request rate of each copy after the load.
        double gain = 0; ///< Requests that only this copy can serve in time.
        bool isFirstCopy = false;
        bool mayEvict = false; ///< Otherwise it is loaded only into a free slot.
        /// Only endpoints with this version of their software count.
        std::optional<core::SoftwareVersion> softwareVersion {};
    };
    struct EvictionVictim
    {
        const fleet::AdapterKey *key = nullptr; ///< nullptr if no adapter may be evicted.
        double value = 0;
    };
    /// An endpoint that could load an adapter, and the adapter that it would evict for it.
    struct LoadTarget
    {
        EndpointState *state = nullptr;
        const fleet::AdapterKey *victim = nullptr;
        double cost = 0;
    };
    using Copies = std::vector<const EndpointState *>;

    void indexCopies();
    void listAvailableEndpoints();
    int loadsInFlight(const EndpointState &state) const;
    static bool isUnloading(const EndpointState &state);
    bool canTakeOrder(const EndpointState &state) const;
    /// Whether the endpoint's copies serve too few requests to count, and loads go elsewhere.
    bool isAvoided(const EndpointState &state) const
    {
        return state.isRateLimited
            && m_servicesWithUnlimitedEndpoint.contains(state.endpoint.service);
    }
    bool fitsWithoutEviction(const EndpointState &state, const core::ModelId &model) const;
    bool isOutdated(const fleet::AdapterKey &key, const PlacedAdapter &placed) const;
    bool hasNewestElsewhere(const EndpointState &state, const fleet::AdapterKey &key) const;
    const Copies &copiesOf(const fleet::AdapterKey &key) const;
    static int countInRegion(const Copies &copies, const core::RegionId &region);
    /// Requests per second in excess of those that the copies of the region serve while each of
    /// them is at this utilization; at most what one further copy serves.
    double excessRate(const Copies &copies, const core::RegionId &region,
                      const AdapterDemand::DecayedCount &demand, double utilization) const;

    bool isModelLoadAllowed(const EndpointState &state);
    std::optional<PlannedOrder> planModel(EndpointState &state);
    std::optional<PlannedOrder> planUpgrade(EndpointState &state);
    std::optional<LoadCandidate> candidateFor(const fleet::AdapterKey &key,
                                              const core::RegionId &region,
                                              const AdapterDemand::DecayedCount &demand) const;
    std::optional<LoadCandidate> firstCopyCandidate(const fleet::AdapterKey &key,
                                                    const core::RegionId &region,
                                                    const WaitingCount &waiting) const;
    /// A copy for streams that go on at a software version whose endpoints hold none.
    std::optional<LoadCandidate> pinnedCandidate(const fleet::PinnedAdapter &adapter) const;
    bool hasCopyAt(const fleet::AdapterKey &key, const core::SoftwareVersion &version) const;
    /// Whether the copies are not needed, or were ordered since the candidate was listed.
    bool isFirstCopyObsolete(const LoadCandidate &candidate) const;
    std::vector<LoadCandidate> loadCandidates() const;
    double copyValue(const EndpointState &state, const fleet::AdapterKey &key) const;
    const EvictionVictim &evictionVictimOf(const EndpointState &state);
    std::optional<LoadTarget> loadTargetAt(EndpointState &state, const LoadCandidate &candidate);
    std::optional<PlannedOrder> planCandidate(const LoadCandidate &candidate);
    PlannedOrder makeLoadOrder(EndpointState &state, const fleet::AdapterKey &key);
    PlannedOrder startOrder(EndpointState &state, PlannedOrder order) const;

    const AdapterPlannerParameters &m_parameters;
    const AdapterDemand &m_demand;
    const WaitingCounts &m_waiting;
    const std::set<fleet::PinnedAdapter> &m_pinned;
    const std::unordered_map<fleet::AdapterKey, int> &m_newestVersions;
    std::deque<core::TimePoint> &m_modelLoadTimes;
    EndpointStates &m_endpoints;
    const RequestCostEstimator &m_requestCost;
    core::TimePoint m_now;
    std::unordered_map<fleet::AdapterKey, Copies> m_copies;
    AdapterSet m_outdated; ///< At least one endpoint holds an older version than the newest.
    std::unordered_map<const EndpointState *, EvictionVictim> m_evictionVictims;
    std::vector<EndpointState *> m_availableEndpoints; ///< Can take an order for an adapter.
    /// With a reachable endpoint that has no request limit and is not leaving.
    std::set<core::ServiceId> m_servicesWithUnlimitedEndpoint;
    int m_remainingLoads = 0;
    int m_maxSlots = 1; ///< Slots of the largest endpoint.
};

} // namespace jackdawlead::decisions
