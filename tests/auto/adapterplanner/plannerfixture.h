#pragma once

#include "decisions/adapterplanner.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jackdawlead::tests {

inline const core::ModelId model {"base"};
inline const core::RegionId near {"near"};
inline const core::RegionId far {"far"};

inline fleet::EngineSpec engineSpec(int adapterSlots)
{
    fleet::EngineSpec engine;
    engine.slots = 32;
    engine.adapterSlots = adapterSlots;
    engine.weightsMegabytes = 45000;
    engine.loadsPerSecond = 5.7;
    engine.models.push_back({model, 42700, 66, std::chrono::seconds(2)});
    return engine;
}

inline fleet::Endpoint endpointOf(const std::string &id, int startTime = 1)
{
    fleet::Endpoint endpoint;
    endpoint.id = core::EndpointId(id);
    endpoint.slots = 32;
    endpoint.startTime = std::chrono::milliseconds(startTime);
    return endpoint;
}

inline fleet::AdapterKey keyOf(int number)
{
    return {model, core::AdapterId("a" + std::to_string(number))};
}

/// Simulates the endpoints of a planner: they apply each order at once and record what they hold.
struct PlannerFixture
{
    decisions::AdapterPlanner planner {decisions::AdapterPlannerParameters {}};
    core::TimePoint now {std::chrono::seconds(100)};
    int loads = 0;
    std::map<core::EndpointId, std::set<fleet::AdapterKey>> held;
    decisions::WaitingCounts waiting; ///< Requests for adapters that no endpoint holds.

    bool isHeld(const fleet::AdapterKey &key) const
    {
        return std::ranges::any_of(
            held, [&key](const auto &entry) { return entry.second.contains(key); });
    }

    /// Adds requests, which wait if no endpoint holds their adapter.
    void addRequests(const fleet::AdapterKey &key, const core::RegionId &region, int count,
                     core::TimePoint at)
    {
        planner.demand().add(key, region, count, at);
        if (!isHeld(key))
            waiting[key][region].add({count, 0, at + std::chrono::milliseconds(600)});
        planner.setWaiting(waiting);
    }

    /// Removes the waiting requests for the adapter.
    void clearWaiting(const fleet::AdapterKey &key)
    {
        waiting.erase(key);
        planner.setWaiting(waiting);
    }

    void addEndpoint(const std::string &id, const core::RegionId &region, int adapterSlots,
                     bool hasModel = true)
    {
        planner.setEndpoint(endpointOf(id), region, engineSpec(adapterSlots));
        report(core::EndpointId(id), hasModel);
    }

    /// Adds endpoints in the near region that are ready for orders.
    void addEndpoints(int count, int adapterSlots, bool hasModel = true)
    {
        for (int index = 0; index < count; ++index)
            addEndpoint("e" + std::to_string(index), near, adapterSlots, hasModel);
        now += std::chrono::seconds(2);
    }

    /// Adds the endpoint e0 in the near region with one adapter slot, which holds the adapter and
    /// may evict it again.
    void addEndpointHolding(const fleet::AdapterKey &key)
    {
        addEndpoints(1, 1);
        addRequests(key, near, 1, now);
        applyOrders(planner.plan(now));
        now += std::chrono::seconds(3);
    }

    /// The endpoint reports its model, or nothing, and no adapter.
    void report(const core::EndpointId &id, bool hasModel = true)
    {
        if (hasModel)
            reportModels(id, {{model, 1, {}}});
        else
            reportModels(id, {});
    }

    /// The endpoint reports version 1 of this adapter and no other adapter.
    void reportHolding(const core::EndpointId &id, const fleet::AdapterKey &key)
    {
        reportModels(id, {{model, 1, {key.adapter.value() + "@1"}}});
    }

    void applyOrders(const std::vector<decisions::PlannedOrder> &orders)
    {
        for (const decisions::PlannedOrder &order : orders) {
            const fleet::AdapterKey key {order.model, order.adapter};
            if (order.isLoad) {
                ++loads;
                held[order.endpoint].insert(key);
                clearWaiting(key);
            } else {
                held[order.endpoint].erase(key);
            }
            planner.recordOrderOutcome(order,
                                       order.isLoad ? decisions::OrderOutcome::Accepted
                                                    : decisions::OrderOutcome::AlreadyApplied,
                                       now);
        }
    }

    void run(core::Duration span)
    {
        const core::TimePoint end = now + span;
        while (now < end) {
            applyOrders(planner.plan(now));
            now += std::chrono::milliseconds(20);
        }
    }

private:
    void reportModels(const core::EndpointId &id, std::vector<fleet::LoadedModel> models)
    {
        fleet::EndpointReport report;
        report.startTime = planner.endpoints().at(id).endpoint.startTime;
        report.models = std::move(models);
        planner.applyReport(id, report, now);
    }
};

} // namespace jackdawlead::tests
