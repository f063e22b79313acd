#pragma once

#include "decisions/adapterdemand.h"
#include "decisions/planningtypes.h"
#include "decisions/requestcostestimator.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace jackdawlead::decisions {

/// One pass of the planner over all endpoints. Where each adapter is held, and what each endpoint
/// would give up first, is worked out once a pass: a pass over 18 endpoints that counted copies for
/// each comparison used up the daemon's processor share. Thread safety: one thread at a time.
class PlanningPass
{
public:
    PlanningPass(const AdapterPlannerParameters &limits, const AdapterDemand &demand,
                 const WaitingCounts &waiting,
                 const std::unordered_map<fleet::AdapterKey, int> &newest,
                 std::deque<core::TimePoint> &modelLoads, EndpointStates &endpoints,
                 const RequestCostEstimator &cost, int concurrentLoadLimit, core::TimePoint now);

    /// The orders to give now; each is marked as being given.
    std::vector<PlannedOrder> run();
    /// The load for the place that was made at one endpoint, if it can be ordered now.
    std::optional<PlannedOrder> planReservedLoad(EndpointState &state);
    /// How many further adapters may be on their way from the store.
    int remainingLoads() const { return m_transitRoom; }

private:
    struct Wish
    {
        fleet::AdapterKey key;
        core::RegionId region;
        const AdapterDemand::DecayedCount *demand = nullptr;
        double rate = 0; ///< Of each copy, once there is one more.
        double gain = 0; ///< Requests a second that only a further copy can serve in time.
        bool isFirstCopy = false;
        bool mayDisplace = false; ///< Or is loaded only where a place is free.
    };
    struct Victim
    {
        const fleet::AdapterKey *key = nullptr; ///< nullptr if nothing may go.
        double value = 0;
    };
    /// An endpoint that could take an adapter, and what would have to go.
    struct Place
    {
        EndpointState *state = nullptr;
        const fleet::AdapterKey *victim = nullptr;
        double cost = 0;
    };
    using Copies = std::vector<const EndpointState *>;

    void indexCopies();
    void listOpenEndpoints();
    int inTransit(const EndpointState &state) const;
    static bool isUnloading(const EndpointState &state);
    bool canTakeOrder(const EndpointState &state) const;
    bool hasRoom(const EndpointState &state, const core::ModelId &model) const;
    bool isOutdated(const fleet::AdapterKey &key, const PlacedAdapter &placed) const;
    bool hasNewestElsewhere(const EndpointState &state, const fleet::AdapterKey &key) const;
    const Copies &copiesOf(const fleet::AdapterKey &key) const;
    static int countIn(const Copies &copies, const core::RegionId &region);
    /// Requests a second beyond what the region's copies serve, each filled up to `fill`.
    double excessRate(const Copies &copies, const core::RegionId &region,
                      const AdapterDemand::DecayedCount &demand, double fill) const;

    bool isModelLoadAllowed(const EndpointState &state);
    std::optional<PlannedOrder> planModel(EndpointState &state);
    std::optional<PlannedOrder> planUpgrade(EndpointState &state);
    std::optional<Wish> wishFor(const fleet::AdapterKey &key, const core::RegionId &region,
                                const AdapterDemand::DecayedCount &demand) const;
    std::optional<Wish> firstCopyFor(const fleet::AdapterKey &key, const core::RegionId &region,
                                     const WaitingCount &waiting) const;
    std::vector<Wish> wishes() const;
    double valueOf(const EndpointState &state, const fleet::AdapterKey &key) const;
    const Victim &victimOf(const EndpointState &state);
    std::optional<Place> placeAt(EndpointState &state, const Wish &wish);
    std::optional<PlannedOrder> fulfil(const Wish &wish);
    PlannedOrder loadOf(EndpointState &state, const fleet::AdapterKey &key);
    PlannedOrder begin(EndpointState &state, PlannedOrder order) const;

    const AdapterPlannerParameters &m_limits;
    const AdapterDemand &m_demand;
    const WaitingCounts &m_waiting;
    const std::unordered_map<fleet::AdapterKey, int> &m_newest;
    std::deque<core::TimePoint> &m_modelLoads;
    EndpointStates &m_endpoints;
    const RequestCostEstimator &m_cost;
    core::TimePoint m_now;
    std::unordered_map<fleet::AdapterKey, Copies> m_copies;
    AdapterSet m_outdated; ///< Held at an older version than the newest somewhere.
    std::unordered_map<const EndpointState *, Victim> m_victims;
    std::vector<EndpointState *> m_open; ///< Those that can take an order for an adapter.
    int m_transitRoom = 0;
    int m_slots = 1; ///< Of the largest endpoint.
};

} // namespace jackdawlead::decisions
