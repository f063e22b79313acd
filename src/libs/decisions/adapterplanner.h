#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/adapterdemand.h"
#include "fleet/adapterkey.h"
#include "fleet/configuration.h"
#include "fleet/endpoint.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace jackdawlead::decisions {

struct AdapterPlannerLimits
{
    /// Adapters on their way over all endpoints. The store slows down beyond 16; two are left for
    /// loads whose end is not known yet.
    int adaptersInTransit = 14;
    int adaptersInTransitPerEndpoint = 4; ///< The endpoints' own limit.
    core::Duration adapterLoad = std::chrono::milliseconds(250);
    /// A replacement in place waits for the runs of the older version, which are streams.
    core::Duration replacement = std::chrono::milliseconds(2000);
    core::Duration warmAdapterLoad = std::chrono::milliseconds(30);
    int modelLoadsInTransit = 4; ///< More at once make each of them slower.
    /// The part of the ceiling on model loads that is used; lost answers may hide some loads.
    double modelLoadPart = 0.9;
    core::Duration modelLoadWindow = std::chrono::seconds(5);
    /// How long one request occupies a slot, from the streams of both deployments.
    core::Duration requestTime = std::chrono::milliseconds(2200);
    /// The part of an endpoint's slots that one adapter should fill before it gets another copy.
    double fillPerCopy = 0.5;
    /// Below this rate a region uses another region's copy instead of loading its own: a load costs
    /// about as much as ten requests across the regions' link, and adapters stay for some 10 s.
    double regionalRate = 1.0;
    /// What a load costs in the choice of an endpoint if it never held the adapter, and what it
    /// costs to use another region. An adapter that was held before loads ten times as fast and
    /// does not burden the store.
    double coldCost = 1.0;
    double otherRegionCost = 0.6;
    /// Under this rate no request is expected while an adapter is replaced.
    double idleRate = 0.05;
    /// An adapter that was loaded this recently is not evicted.
    core::Duration settling = std::chrono::milliseconds(1500);
    /// The values of a report are some hundred milliseconds old.
    core::Duration reportAge = std::chrono::milliseconds(700);
    core::Duration resync = std::chrono::seconds(4);
};

/// An order that the planner wants to be given now.
struct PlannedOrder
{
    core::EndpointId endpoint;
    bool isLoad = true;
    core::ModelId model;
    core::AdapterId adapter; ///< Empty for the base model.
    std::optional<int> version;
    std::uint64_t orderRevision = 0;
};

/// How an order ended, as far as its giver can know.
enum class OrderEnd { Accepted, Holds, Conflict, Refused, Unknown };

/// What an endpoint holds and can be used for, as the planner believes.
struct PlacedAdapter
{
    int version = 1;
    core::TimePoint usableAt;
    core::TimePoint loadedAt;
    bool isLeaving = false;     ///< An unload waits for its runs.
    bool isReplacement = false; ///< The load under way replaces an older version.
};

/// Decides which endpoint holds which models and adapters, for the one daemon that gives orders.
/// Gives one order at a time to each endpoint and expects its order revision, so that a late order
/// cannot be carried out besides a newer one. Thread safety: one thread at a time.
class AdapterPlanner
{
public:
    struct EndpointState
    {
        fleet::Endpoint endpoint;
        core::RegionId region;
        std::optional<fleet::EngineSpec> engine;
        bool needsReport = true;
        bool hasOrder = false;
        std::uint64_t orderRevision = 0;
        core::TimePoint lastOrder;
        core::TimePoint lastReport;
        std::map<core::ModelId, core::TimePoint> models; ///< With the time of their end of load.
        std::unordered_map<fleet::AdapterKey, PlacedAdapter> adapters;
        std::set<fleet::AdapterKey> heldBefore;
        /// The adapter for which a place is being made.
        std::optional<fleet::AdapterKey> reserved;
        double load = 0; ///< Requests in progress per slot.
    };

    explicit AdapterPlanner(AdapterPlannerLimits limits);

    /// Takes the endpoints of model engines that exist now; contents of new lives are unknown.
    void setEndpoint(const fleet::Endpoint &endpoint, const core::RegionId &region,
                     const fleet::EngineSpec &engine);
    void removeEndpoint(const core::EndpointId &id);
    void setLoad(const core::EndpointId &id, double load);
    void announced(const fleet::AnnouncedVersion &version);
    AdapterDemand &demand() { return m_demand; }

    /// The endpoints whose report is needed before they get an order.
    std::vector<core::EndpointId> reportsNeeded(core::TimePoint now) const;
    void reportSeen(const core::EndpointId &id, const fleet::EndpointReport &report,
                    core::TimePoint sentAt);
    /// An endpoint said that it does not hold what was believed.
    void contradicted(const core::EndpointId &id);

    /// The orders to give now; each counts as being given.
    std::vector<PlannedOrder> plan(core::TimePoint now);
    void orderEnded(const PlannedOrder &order, OrderEnd end, core::TimePoint now);

    const std::map<core::EndpointId, EndpointState> &endpoints() const { return m_endpoints; }
    /// Rises with each change of what endpoints hold.
    std::uint64_t contentRevision(const core::EndpointId &id) const;
    std::uint64_t revision() const { return m_revision; }

private:
    struct Wish
    {
        fleet::AdapterKey key;
        core::RegionId region;
        double rate = 0;
        bool isFirstCopy = false; ///< Requests wait for it.
    };
    /// An endpoint that could take an adapter, and what would have to go.
    struct Place
    {
        EndpointState *state = nullptr;
        const fleet::AdapterKey *victim = nullptr;
        double cost = 0;
    };

    void changed(const core::EndpointId &id) { m_changes[id] = ++m_revision; }
    bool canTakeOrder(const EndpointState &state) const;
    int inTransit(const EndpointState &state, core::TimePoint now) const;
    int adaptersInTransit(core::TimePoint now) const;
    bool hasRoom(const EndpointState &state, const core::ModelId &model) const;
    std::optional<PlannedOrder> planModel(EndpointState &state, core::TimePoint now);
    std::optional<PlannedOrder> planUpgrade(EndpointState &state, core::TimePoint now);
    std::vector<Wish> wishes(core::TimePoint now) const;
    std::optional<PlannedOrder> planReserved(EndpointState &state, core::TimePoint now);
    std::optional<Place> placeAt(EndpointState &state, const Wish &wish, core::TimePoint now) const;
    std::optional<PlannedOrder> fulfil(const Wish &wish, core::TimePoint now);
    PlannedOrder loadOf(EndpointState &state, const fleet::AdapterKey &key, core::TimePoint now);
    const fleet::AdapterKey *victim(const EndpointState &state, core::TimePoint now) const;
    double valueOf(const EndpointState &state, const fleet::AdapterKey &key,
                   core::TimePoint now) const;
    bool isOutdated(const fleet::AdapterKey &key, const PlacedAdapter &placed) const;
    bool hasNewestElsewhere(const EndpointState &state, const fleet::AdapterKey &key,
                            core::TimePoint now) const;
    int copies(const fleet::AdapterKey &key, const core::RegionId &region) const;
    bool modelLoadAllowed(const EndpointState &state, core::TimePoint now);
    void loadBegan(EndpointState &state, const fleet::AdapterKey &key, core::TimePoint now);
    PlannedOrder begin(EndpointState &state, PlannedOrder order, core::TimePoint now);

    AdapterPlannerLimits m_limits;
    AdapterDemand m_demand;
    std::map<core::EndpointId, EndpointState> m_endpoints;
    std::unordered_map<fleet::AdapterKey, int> m_newest;
    std::deque<core::TimePoint> m_modelLoads;
    std::map<core::EndpointId, std::uint64_t> m_changes;
    std::uint64_t m_revision = 0;
};

/// Reads NAME@VERSION; the version is 1 if there is none.
std::pair<core::AdapterId, int> parseHeldAdapter(const std::string &text);

} // namespace jackdawlead::decisions
