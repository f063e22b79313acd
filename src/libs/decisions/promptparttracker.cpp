#include "decisions/promptparttracker.h"

#include <algorithm>

namespace jackdawlead::decisions {

bool PromptPartTracker::recordCrash(const CrashEvidence &evidence, core::TimePoint now)
{
    dropOldCrashes(now);
    makeRoomForCrash();
    const auto [entry, isNew] = m_crashes.try_emplace(evidence.crash);
    Crash &crash = entry->second;
    if (isNew)
        crash.at = now;
    bool hasChanged = false;
    for (const RequestIdentity &request : evidence.requests) {
        if (request.parts.empty() || crash.requests.size() >= m_limits.maxRequestsPerCrash)
            continue;
        hasChanged |= crash.requests.emplace(request.fingerprint, request.parts).second;
    }
    if (crash.requests.empty())
        m_crashes.erase(entry);
    updateSuspects(suspicions(), now);
    return hasChanged;
}

std::size_t PromptPartTracker::dropOldCrashes(core::TimePoint now)
{
    return std::erase_if(m_crashes, [this, now](const auto &entry) {
        return now - entry.second.at > m_limits.retentionTime;
    });
}

void PromptPartTracker::makeRoomForCrash()
{
    if (m_crashes.size() >= m_limits.maxCrashes)
        m_crashes.erase(std::ranges::min_element(
            m_crashes, {}, [](const auto &entry) { return entry.second.at; }));
}

std::vector<core::PromptPartId>
PromptPartTracker::recordSound(const std::vector<core::PromptPartId> &parts, core::TimePoint now)
{
    std::vector<core::PromptPartId> cleared;
    for (const core::PromptPartId &part : parts) {
        const auto known = m_sound.find(part);
        if (known != m_sound.end()) {
            known->second.at = now;
            m_soundByAge.splice(m_soundByAge.end(), m_soundByAge, known->second.position);
        } else {
            if (m_sound.size() >= m_limits.maxSoundParts) {
                m_sound.erase(m_soundByAge.front());
                m_soundByAge.pop_front();
            }
            m_soundByAge.push_back(part);
            m_sound[part] = {now, std::prev(m_soundByAge.end())};
        }
        if (m_suspects.contains(part) || isBlocked(part))
            cleared.push_back(part);
        if (isBlocked(part))
            change(part, false, 0, now);
    }
    if (!cleared.empty())
        updateSuspects(suspicions(), now);
    return cleared;
}

bool PromptPartTracker::isSound(const core::PromptPartId &part, core::TimePoint now) const
{
    const auto sound = m_sound.find(part);
    return sound != m_sound.end() && now - sound->second.at <= m_limits.soundTime;
}

bool PromptPartTracker::isExplained(const Crash &crash) const
{
    return std::ranges::any_of(crash.requests, [this](const auto &request) {
        return std::ranges::any_of(request.second,
                                   [this](const auto &part) { return isBlocked(part); });
    });
}

PromptPartTracker::Suspicions PromptPartTracker::suspicions() const
{
    Suspicions all;
    for (const auto &[id, crash] : m_crashes) {
        if (isExplained(crash))
            continue;
        for (const auto &[fingerprint, parts] : crash.requests) {
            for (const core::PromptPartId &part : parts) {
                const auto sound = m_sound.find(part);
                if (sound != m_sound.end() && sound->second.at >= crash.at - m_limits.soundTime)
                    continue;
                Suspicion &suspicion = all[part];
                suspicion.crashes.insert(id);
                suspicion.fingerprints.insert(fingerprint);
                ++suspicion.requestCount;
            }
        }
    }
    std::erase_if(all, [this](const auto &entry) {
        return entry.second.crashes.size() < m_limits.suspectThreshold;
    });
    return all;
}

void PromptPartTracker::updateSuspects(const Suspicions &all, core::TimePoint now)
{
    std::erase_if(m_suspects, [&all](const auto &entry) { return !all.contains(entry.first); });
    for (const auto &[part, suspicion] : all)
        m_suspects.try_emplace(part, now);
    m_nextDecisionAt = now;
}

// A request with a part that crashes endpoints rarely finds another one with it in progress there.
bool PromptPartTracker::isSpecific(const Suspicion &suspicion) const
{
    return suspicion.requestCount <= suspicion.crashes.size() * m_limits.specificRequestsPerCrash;
}

// A request that crashes endpoints by itself has the same fingerprint each time, so that its parts
// are not to blame.
bool PromptPartTracker::isToBlame(const core::PromptPartId &part, const Suspicions &all) const
{
    const Suspicion &own = all.at(part);
    const bool isOwnSpecific = isSpecific(own);
    const std::size_t threshold
        = isOwnSpecific ? m_limits.blockThreshold : m_limits.ambiguousBlockThreshold;
    if (own.crashes.size() < threshold || own.fingerprints.size() < 2)
        return false;
    const auto explainsAsWell = [&](const auto &entry) {
        const Suspicion &other = entry.second;
        if (entry.first == part || other.crashes.size() < own.crashes.size()
            || (isOwnSpecific && !isSpecific(other)))
            return false;
        if (other.crashes.size() == own.crashes.size()
            && own.crashes.size() >= m_limits.ambiguousBlockThreshold)
            return false;
        const auto unexplained = std::ranges::count_if(
            own.crashes, [&other](const CrashId &crash) { return !other.crashes.contains(crash); });
        return static_cast<std::size_t>(unexplained) < m_limits.blockThreshold;
    };
    return std::ranges::none_of(all, explainsAsWell);
}

core::TimePoint PromptPartTracker::decidableAt(const core::PromptPartId &part,
                                               const Suspicion &suspicion) const
{
    return m_suspects.at(part)
        + (isSpecific(suspicion) ? m_limits.decisionDelay : m_limits.commonPartDelay);
}

void PromptPartTracker::decide(core::TimePoint now)
{
    if (dropOldCrashes(now) > 0)
        updateSuspects(suspicions(), now);
    while (now >= m_nextDecisionAt) {
        const Suspicions all = suspicions();
        updateSuspects(all, now);
        m_nextDecisionAt = core::TimePoint::max();
        Suspicions::const_iterator strongest = all.end();
        for (auto entry = all.begin(); entry != all.end(); ++entry) {
            const auto &[part, suspicion] = *entry;
            if (!isToBlame(part, all))
                continue;
            const core::TimePoint decidable = decidableAt(part, suspicion);
            if (now < decidable)
                m_nextDecisionAt = std::min(m_nextDecisionAt, decidable);
            else if (strongest == all.end()
                     || suspicion.crashes.size() > strongest->second.crashes.size())
                strongest = entry;
        }
        // One at a time, because a block explains crashes that count against the other parts.
        if (strongest != all.end())
            change(strongest->first, true, strongest->second.crashes.size(), now);
    }
}

void PromptPartTracker::expire(core::TimePoint now)
{
    std::vector<core::PromptPartId> expired;
    for (const auto &[part, entry] : m_states) {
        if (entry.state.isBlocked && now - entry.lastAt > m_limits.retentionTime)
            expired.push_back(part);
    }
    for (const core::PromptPartId &part : expired)
        change(part, false, 0, now);
    std::erase_if(m_states,
                  [this, now](const auto &entry) { return isOutdated(entry.second, now); });
}

bool PromptPartTracker::isOutdated(const Entry &entry, core::TimePoint now) const
{
    return !entry.state.isBlocked && now - entry.lastAt > m_limits.retentionTime;
}

void PromptPartTracker::change(const core::PromptPartId &part, bool isBlocked, std::size_t crashes,
                               core::TimePoint now)
{
    const auto known = m_states.find(part);
    const std::uint32_t version = known == m_states.end() ? 0 : known->second.state.version;
    const PartState state {part, version + 1, isBlocked, crashes, {}};
    applyState(state, now);
    m_changes.push_back(state);
}

bool PromptPartTracker::applyState(const PartState &state, core::TimePoint now)
{
    std::erase_if(m_states,
                  [this, now](const auto &entry) { return isOutdated(entry.second, now); });
    const auto known = m_states.find(state.part);
    const bool isNews = known == m_states.end() ? !isOutdated({state, now - state.age}, now)
                                                : state.version > known->second.state.version;
    if (!isNews)
        return false;
    if (known == m_states.end() && m_states.size() >= m_limits.maxBlocks)
        m_states.erase(std::ranges::min_element(m_states, {}, [](const auto &entry) {
            return std::pair(entry.second.state.isBlocked, entry.second.lastAt);
        }));
    m_states[state.part] = {state, now - state.age};
    if (!state.isBlocked) {
        // The crashes must not block the part again.
        std::erase_if(m_crashes, [&state](const auto &entry) {
            return std::ranges::any_of(entry.second.requests, [&state](const auto &request) {
                return std::ranges::find(request.second, state.part) != request.second.end();
            });
        });
    }
    updateSuspects(suspicions(), now);
    return true;
}

void PromptPartTracker::recordRequest(const core::PromptPartId &part, core::TimePoint now)
{
    if (const auto known = m_states.find(part); known != m_states.end())
        known->second.lastAt = now;
}

bool PromptPartTracker::isBlocked(const core::PromptPartId &part) const
{
    const auto known = m_states.find(part);
    return known != m_states.end() && known->second.state.isBlocked;
}

std::vector<core::PromptPartId> PromptPartTracker::suspects() const
{
    std::vector<core::PromptPartId> parts;
    for (const auto &[part, since] : m_suspects)
        parts.push_back(part);
    return parts;
}

std::size_t PromptPartTracker::blockedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_states, [](const auto &entry) { return entry.second.state.isBlocked; }));
}

std::vector<PartState> PromptPartTracker::states(core::TimePoint now) const
{
    std::vector<PartState> states;
    states.reserve(m_states.size());
    for (const auto &[part, entry] : m_states) {
        if (isOutdated(entry, now))
            continue;
        states.push_back(entry.state);
        if (!entry.state.isBlocked)
            states.back().age = now - entry.lastAt;
    }
    return states;
}

std::vector<CrashId> PromptPartTracker::explainedCrashes() const
{
    std::vector<CrashId> crashes;
    for (const auto &[id, crash] : m_crashes) {
        if (isExplained(crash))
            crashes.push_back(id);
    }
    return crashes;
}

std::vector<CrashEvidence> PromptPartTracker::evidence() const
{
    std::vector<CrashEvidence> list;
    for (const auto &[id, crash] : m_crashes) {
        CrashEvidence evidence {id, {}};
        for (const auto &[fingerprint, parts] : crash.requests)
            evidence.requests.push_back({fingerprint, parts});
        list.push_back(std::move(evidence));
    }
    return list;
}

} // namespace jackdawlead::decisions
