#pragma once

#include "net/timerservice.h"

#include <functional>
#include <iterator>
#include <list>
#include <random>
#include <utility>

namespace jackdawlead::soak {

/// Work that is done later, and forgotten when the schedule is destroyed. Thread safety: the loop's
/// thread only.
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

/// Draws from a seed. Each part of the soak has its own one, so that what one part draws does not
/// depend on how often another one did. Thread safety: one thread at a time.
class Draw
{
public:
    explicit Draw(std::uint64_t seed)
        : m_generator(seed)
    { }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(m_generator);
    }
    /// A number of `least` to `most`, both included.
    int number(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_generator);
    }
    core::Duration time(std::chrono::milliseconds least, std::chrono::milliseconds most)
    {
        return std::chrono::milliseconds(
            number(static_cast<int>(least.count()), static_cast<int>(most.count())));
    }
    std::mt19937_64 &generator() { return m_generator; }

private:
    std::mt19937_64 m_generator;
};

} // namespace jackdawlead::soak
