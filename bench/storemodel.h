#pragma once

#include "core/time.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace jackdawlead::bench {

/// A load that an engine was ordered to perform.
struct OrderedLoad
{
    std::size_t engine = 0;
    std::size_t adapter = 0;
    std::size_t incarnation = 0; ///< Of the engine; a load from before a restart has no effect.
};

/// The weight store and the load path. Loads start in order of arrival, at most
/// `maxConcurrentLoads` at once and at most `loadsPerSecond`. A load takes 0.25 s while at most 16
/// are in flight (ordered and not finished) over all runners, and proportionally longer beyond
/// that.
class StoreModel
{
public:
    struct Started
    {
        OrderedLoad load;
        core::TimePoint finishesAt;
    };

    StoreModel(double loadsPerSecond, std::size_t maxConcurrentLoads)
        : m_loadsPerSecond(loadsPerSecond)
        , m_maxConcurrentLoads(maxConcurrentLoads)
    { }

    void enqueue(const OrderedLoad &load) { m_queue.push_back(load); }
    void recordFinished() { --m_runningLoads; }
    void setLoadsPerSecond(double rate) { m_loadsPerSecond = rate; }
    /// Starts the loads that the limits permit now.
    std::vector<Started> start(core::TimePoint now);
    /// When the rate limit permits the next load; only meaningful while loads are queued.
    core::TimePoint nextStartAt() const { return m_nextStartAt; }
    bool hasStartableLoad() const
    {
        return !m_queue.empty() && m_runningLoads < m_maxConcurrentLoads;
    }

private:
    double m_loadsPerSecond;
    std::size_t m_maxConcurrentLoads;
    std::size_t m_runningLoads = 0;
    core::TimePoint m_nextStartAt;
    std::deque<OrderedLoad> m_queue;
};

} // namespace jackdawlead::bench
