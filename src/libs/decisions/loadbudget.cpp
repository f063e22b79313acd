#include "decisions/loadbudget.h"

#include <algorithm>

namespace jackdawlead::decisions {

LoadBudgetLimits fairShare(const LoadBudgetLimits &store, std::size_t liveDaemons)
{
    const std::size_t daemons = std::max<std::size_t>(liveDaemons, 1);
    LoadBudgetLimits share = store;
    share.loadsPerSecond = store.loadsPerSecond / static_cast<double>(daemons);
    share.concurrentLoads = std::max<std::size_t>(store.concurrentLoads / daemons, 1);
    return share;
}

LoadBudget::LoadBudget(LoadBudgetLimits limits, core::TimePoint firstGrantAt)
    : m_limits(limits)
    , m_firstGrantAt(firstGrantAt)
    , m_scheduledUntil(firstGrantAt)
{ }

std::vector<LoadKey> LoadBudget::request(const LoadKey &load, core::TimePoint deadline,
                                         core::TimePoint now)
{
    if (m_granted.contains(load))
        return tick(now);
    const auto [waiting, isNew] = m_waiting.insert({load, Waiting {deadline, m_nextSequence}});
    if (isNew)
        ++m_nextSequence;
    else
        waiting->second.deadline = deadline;
    return grant(now);
}

std::vector<LoadKey> LoadBudget::release(const LoadKey &load, core::TimePoint now)
{
    m_waiting.erase(load);
    m_granted.erase(load);
    return grant(now);
}

std::vector<LoadKey> LoadBudget::removeOwner(const core::HostId &owner, core::TimePoint now)
{
    std::erase_if(m_waiting, [&owner](const auto &entry) { return entry.first.owner == owner; });
    return grant(now);
}

std::vector<LoadKey> LoadBudget::setUnreachableDaemons(std::size_t unreachable,
                                                       std::size_t liveDaemons, core::TimePoint now)
{
    const std::size_t daemons = std::max<std::size_t>(liveDaemons, 1);
    const std::size_t reachable = daemons - std::min(unreachable, daemons);
    m_share = static_cast<double>(reachable) / static_cast<double>(daemons);
    return grant(now);
}

std::vector<LoadKey> LoadBudget::setLimits(const LoadBudgetLimits &limits, core::TimePoint now)
{
    m_limits = limits;
    return grant(now);
}

std::vector<LoadKey> LoadBudget::tick(core::TimePoint now)
{
    return grant(now);
}

std::optional<core::TimePoint> LoadBudget::nextGrantAt() const
{
    if (m_waiting.empty() || m_share <= 0)
        return std::nullopt;
    core::TimePoint next = nextStartAt();
    if (m_granted.size() >= m_limits.concurrentLoads) {
        const auto first = std::ranges::min_element(m_granted, {},
                                                    [](const auto &entry) { return entry.second; });
        next = std::max(next, first->second);
    }
    return next;
}

core::Duration LoadBudget::predictedWait(core::TimePoint now) const
{
    if (m_share <= 0)
        return m_limits.grantLifetime;
    const auto queuedLoads = static_cast<core::Duration::rep>(m_waiting.size());
    return std::max(nextStartAt() - now, core::Duration::zero()) + spacing() * queuedLoads;
}

core::Duration LoadBudget::spacing() const
{
    return std::chrono::ceil<core::Duration>(std::chrono::duration<double>(1 / loadsPerSecond()));
}

core::TimePoint LoadBudget::nextStartAt() const
{
    const auto burst = static_cast<core::Duration::rep>(m_limits.concurrentLoads) - 1;
    return std::max(m_firstGrantAt, m_scheduledUntil - spacing() * burst);
}

std::vector<LoadKey> LoadBudget::grant(core::TimePoint now)
{
    std::erase_if(m_granted, [now](const auto &entry) { return entry.second <= now; });
    std::vector<LoadKey> granted;
    while (!m_waiting.empty() && m_share > 0 && m_granted.size() < m_limits.concurrentLoads
           && now >= nextStartAt()) {
        const auto first = std::ranges::min_element(m_waiting, {}, [](const auto &entry) {
            return std::pair(entry.second.deadline, entry.second.sequence);
        });
        m_scheduledUntil = std::max(m_scheduledUntil, now) + spacing();
        m_granted.emplace(first->first, now + m_limits.grantLifetime);
        granted.push_back(first->first);
        m_waiting.erase(first);
    }
    return granted;
}

} // namespace jackdawlead::decisions
