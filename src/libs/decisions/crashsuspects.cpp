#include "decisions/crashsuspects.h"

#include <algorithm>

namespace jackdawlead::decisions {

void CrashSuspects::broke(const Fingerprint &fingerprint, const core::EndpointId &endpoint,
                          core::TimePoint now)
{
    while (!m_broken.empty() && now - m_broken.front().at > m_limits.attribution)
        m_broken.pop_front();
    m_broken.push_back({fingerprint, endpoint, now});
}

void CrashSuspects::died(const core::EndpointId &endpoint, const DeathId &death,
                         core::TimePoint now)
{
    for (const Broken &broken : m_broken) {
        if (broken.endpoint == endpoint && now - broken.at <= m_limits.attribution)
            told({broken.fingerprint, death}, now);
    }
    std::erase_if(m_broken,
                  [&endpoint](const Broken &broken) { return broken.endpoint == endpoint; });
}

void CrashSuspects::told(const CrashFact &fact, core::TimePoint now)
{
    if (m_entries.size() >= m_limits.maxEntries && !m_entries.contains(fact.fingerprint)) {
        m_entries.erase(std::ranges::min_element(
            m_entries, {}, [](const auto &entry) { return entry.second.lastAt; }));
    }
    Entry &entry = m_entries[fact.fingerprint];
    if (now - entry.lastAt > m_limits.memory)
        entry.deaths.clear();
    if (!entry.deaths.insert(fact.death).second)
        return;
    entry.lastAt = now;
    while (!m_recent.empty() && now - m_recent.front().at > m_limits.telling)
        m_recent.pop_front();
    m_recent.push_back({fact, now});
}

std::vector<CrashFact> CrashSuspects::recent(core::TimePoint now) const
{
    std::vector<CrashFact> facts;
    for (const Told &told : m_recent) {
        if (now - told.at <= m_limits.telling)
            facts.push_back(told.fact);
    }
    return facts;
}

std::size_t CrashSuspects::deaths(const Fingerprint &fingerprint, core::TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || now - found->second.lastAt > m_limits.memory)
        return 0;
    return found->second.deaths.size();
}

} // namespace jackdawlead::decisions
