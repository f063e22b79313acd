#include "decisions/factstore.h"

#include <algorithm>
#include <bit>

namespace jackdawlead::decisions {

namespace {

// Exceeds the number of transmissions of any fact of normal priority.
constexpr std::size_t bestEffortRank = 1'000;

} // namespace

bool FactStore::merge(const Fact &fact, FactPriority priority)
{
    if (fact.subject.value().size() > m_limits.maxSubjectBytes
        || fact.value.size() > m_limits.maxValueBytes)
        return false;
    const Key key(fact.kind, fact.subject);
    std::list<Key> &keysByAge = fact.kind == FactKind::Member ? m_membersByAge : m_othersByAge;
    if (const auto known = m_facts.find(key); known != m_facts.end()) {
        if (fact.version <= known->second.fact.version)
            return false;
        known->second.fact = fact;
        keysByAge.splice(keysByAge.end(), keysByAge, known->second.agePosition);
    } else {
        if (m_facts.size() >= m_limits.maxFacts)
            evictOldest();
        m_facts.emplace(key, Entry {fact, keysByAge.insert(keysByAge.end(), key)});
    }
    enqueue(key, priority);
    return true;
}

void FactStore::enqueue(const Key &key, FactPriority priority)
{
    dequeue(key);
    const Rank rank(priority == FactPriority::BestEffort ? bestEffortRank : 0, -++m_changeCount);
    m_pending.emplace(rank, key);
    m_ranks[key] = rank;
}

void FactStore::retransmit(FactKind kind, const FactSubject &subject)
{
    if (const Key key(kind, subject); m_facts.contains(key))
        enqueue(key, FactPriority::Normal);
}

void FactStore::evictOldest()
{
    std::list<Key> &keysByAge = m_othersByAge.empty() ? m_membersByAge : m_othersByAge;
    const Key oldest = keysByAge.front();
    keysByAge.pop_front();
    m_facts.erase(oldest);
    dequeue(oldest);
}

void FactStore::dequeue(const Key &key)
{
    const auto rank = m_ranks.find(key);
    if (rank == m_ranks.end())
        return;
    m_pending.erase(rank->second);
    m_ranks.erase(rank);
}

const Fact *FactStore::find(FactKind kind, const FactSubject &subject) const
{
    const auto known = m_facts.find({kind, subject});
    return known == m_facts.end() ? nullptr : &known->second.fact;
}

std::vector<Fact> FactStore::take(std::size_t maxCount, std::size_t daemonCount)
{
    const std::size_t maxSent = m_limits.retransmitFactor
        * std::max<std::size_t>(1, static_cast<std::size_t>(std::bit_width(daemonCount)));
    std::vector<std::pair<Rank, Key>> chosen;
    for (const auto &entry : m_pending) {
        if (chosen.size() >= std::min(maxCount, m_limits.maxPerMessage))
            break;
        chosen.push_back(entry);
    }
    std::vector<Fact> facts;
    facts.reserve(chosen.size());
    for (const auto &[rank, key] : chosen) {
        facts.push_back(m_facts.at(key).fact);
        m_pending.erase(rank);
        const Rank next(rank.first + 1, rank.second);
        const bool isBestEffort = rank.first >= bestEffortRank;
        if (next.first
            >= (isBestEffort ? bestEffortRank + m_limits.bestEffortRetransmits : maxSent)) {
            m_ranks.erase(key);
            continue;
        }
        m_pending.emplace(next, key);
        m_ranks[key] = next;
    }
    return facts;
}

} // namespace jackdawlead::decisions
