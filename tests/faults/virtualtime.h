#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace jackdawlead::faults {

/// The clock, event queue and random numbers of one schedule. Equal seeds give equal schedules.
class VirtualTime
{
public:
    explicit VirtualTime(std::uint64_t seed)
        : m_random(seed)
    { }

    core::TimePoint now() const { return m_now; }

    void after(core::Duration delay, std::function<void()> event)
    {
        m_events.emplace(m_now + delay, std::move(event));
    }

    /// Runs events in order of time until `end`; `afterEach` is called after every event.
    void runUntil(core::TimePoint end, const std::function<void()> &afterEach)
    {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto node = m_events.extract(m_events.begin());
            m_now = node.key();
            node.mapped()();
            afterEach();
        }
        m_now = end;
    }

    /// A uniform number from `low` to `high`, both included.
    std::int64_t number(std::int64_t low, std::int64_t high)
    {
        const auto range = static_cast<std::uint64_t>(high - low) + 1;
        return low + static_cast<std::int64_t>(m_random() % range);
    }
    bool chance(int percent) { return number(0, 99) < percent; }
    core::Duration between(core::Duration low, core::Duration high)
    {
        return core::Duration(number(low.count(), high.count()));
    }

private:
    core::TimePoint m_now {std::chrono::seconds(1000)};
    std::multimap<core::TimePoint, std::function<void()>> m_events;
    std::mt19937_64 m_random;
};

} // namespace jackdawlead::faults
