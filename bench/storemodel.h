#pragma once

#include "core/time.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace jackdawlead::bench {

/// A load that was ordered from an engine.
struct OrderedLoad
{
    std::size_t engine = 0;
    std::size_t adapter = 0;
    std::size_t epoch = 0; ///< Of the engine; a restart makes the load void.
};

/// The weight store and the load path. Orders are served in order of arrival, at most `concurrent`
/// at once and at most at the rate. A load takes 0.25 s while at most 16 are in flight (ordered
/// and not finished) over all runners, and proportionally longer beyond that.
class StoreModel
{
public:
    struct Started
    {
        OrderedLoad load;
        core::TimePoint finishesAt;
    };

    StoreModel(double loadsPerSecond, std::size_t concurrent)
        : m_loadsPerSecond(loadsPerSecond)
        , m_concurrent(concurrent)
    { }

    void order(const OrderedLoad &load) { m_waiting.push_back(load); }
    void finished() { --m_active; }
    void setLoadsPerSecond(double rate) { m_loadsPerSecond = rate; }
    /// The loads that start now.
    std::vector<Started> start(core::TimePoint now);
    /// When the rate lets the next load start; only meaningful while loads wait.
    core::TimePoint nextStartAt() const { return m_nextStartAt; }
    bool canStartLater() const { return !m_waiting.empty() && m_active < m_concurrent; }

private:
    double m_loadsPerSecond;
    std::size_t m_concurrent;
    std::size_t m_active = 0;
    core::TimePoint m_nextStartAt;
    std::deque<OrderedLoad> m_waiting;
};

} // namespace jackdawlead::bench
