#include "decisions/factstore.h"

#include <algorithm>
#include <bit>

namespace jackdawlead::decisions {

namespace {

// Above the number of repeats of every fact of normal priority.
constexpr std::size_t spareRank = 1'000;

} // namespace

bool FactStore::merge(const Fact &fact, FactPriority priority)
{
    if (fact.subject.value().size() > m_limits.maxSubjectBytes
        || fact.value.size() > m_limits.maxValueBytes)
        return false;
    const Key key(fact.kind, fact.subject);
    std::list<Key> &ages = fact.kind == FactKind::Member ? m_members : m_ordinary;
    if (const auto known = m_facts.find(key); known != m_facts.end()) {
        if (fact.version <= known->second.fact.version)
            return false;
        known->second.fact = fact;
        ages.splice(ages.end(), ages, known->second.age);
    } else {
        if (m_facts.size() >= m_limits.maxFacts)
            makeRoom();
        m_facts.emplace(key, Entry {fact, ages.insert(ages.end(), key)});
    }
    passOn(key, priority);
    return true;
}

void FactStore::passOn(const Key &key, FactPriority priority)
{
    stopPassingOn(key);
    const Rank rank(priority == FactPriority::BestEffort ? spareRank : 0, -++m_changes);
    m_pending.emplace(rank, key);
    m_ranks[key] = rank;
}

void FactStore::retransmit(FactKind kind, const FactSubject &subject)
{
    if (const Key key(kind, subject); m_facts.contains(key))
        passOn(key, FactPriority::Normal);
}

void FactStore::makeRoom()
{
    std::list<Key> &ages = m_ordinary.empty() ? m_members : m_ordinary;
    const Key oldest = ages.front();
    ages.pop_front();
    m_facts.erase(oldest);
    stopPassingOn(oldest);
}

void FactStore::stopPassingOn(const Key &key)
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

std::vector<Fact> FactStore::take(std::size_t room, std::size_t daemonCount)
{
    const std::size_t maxSent = m_limits.retransmitFactor
        * std::max<std::size_t>(1, static_cast<std::size_t>(std::bit_width(daemonCount)));
    std::vector<std::pair<Rank, Key>> chosen;
    for (const auto &entry : m_pending) {
        if (chosen.size() >= std::min(room, m_limits.maxPerMessage))
            break;
        chosen.push_back(entry);
    }
    std::vector<Fact> facts;
    facts.reserve(chosen.size());
    for (const auto &[rank, key] : chosen) {
        facts.push_back(m_facts.at(key).fact);
        m_pending.erase(rank);
        const Rank next(rank.first + 1, rank.second);
        const bool isSpare = rank.first >= spareRank;
        if (next.first >= (isSpare ? spareRank + m_limits.bestEffortRetransmits : maxSent)) {
            m_ranks.erase(key);
            continue;
        }
        m_pending.emplace(next, key);
        m_ranks[key] = next;
    }
    return facts;
}

} // namespace jackdawlead::decisions
