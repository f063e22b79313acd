#pragma once

#include "net/timerservice.h"

#include <functional>
#include <iterator>
#include <list>
#include <random>
#include <utility>

namespace jackdawlead::soak {

/// Runs work after a delay. Pending work is cancelled when the schedule is destroyed. Thread
/// safety: the loop's thread only.
class Schedule
{
public:
    explicit Schedule(net::TimerService &timers)
        : m_timers(timers)
    { }

    void after(core::Duration delay, std::function<void()> work)
    {
        m_entries.emplace_back();
        const auto entry = std::prev(m_entries.end());
        *entry = m_timers.once(delay, [this, entry, work = std::move(work)] {
            m_entries.erase(entry);
            work();
        });
    }
    core::TimePoint now() const { return m_timers.now(); }

private:
    net::TimerService &m_timers;
    std::list<net::TimerService::Subscription> m_entries;
};

/// Pseudo-random numbers from a seed. Each part of the soak has its own source, so that its numbers
/// do not depend on how many another part uses. Thread safety: one thread at a time.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed)
        : m_generator(seed)
    { }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(m_generator);
    }
    /// A number between `min` and `max`, both included.
    int number(int min, int max)
    {
        return std::uniform_int_distribution<int>(min, max)(m_generator);
    }
    core::Duration duration(std::chrono::milliseconds min, std::chrono::milliseconds max)
    {
        return std::chrono::milliseconds(
            number(static_cast<int>(min.count()), static_cast<int>(max.count())));
    }
    std::mt19937_64 &generator() { return m_generator; }

private:
    std::mt19937_64 m_generator;
};

} // namespace jackdawlead::soak
