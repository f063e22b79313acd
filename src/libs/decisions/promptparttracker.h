#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/crashlimits.h"
#include "decisions/crashtracker.h"

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jackdawlead::decisions {

struct PromptPartLimits
{
    /// Crashes after which a part is blocked if no other suspect explains them as well.
    std::size_t blockThreshold = crashesUntilBlocked;
    /// Crashes after which a part is blocked although another suspect explains them as well, or
    /// although it is a common one.
    std::size_t ambiguousBlockThreshold = 5;
    /// Crashes from which a part is a suspect: daemons are told to report whether it is sound.
    std::size_t suspectThreshold = crashesUntilNotRepeated;
    /// Time from becoming a suspect to a block, in which daemons report that a part is sound: two
    /// hops between regions, and the pauses before a report and a view.
    core::Duration decisionDelay = std::chrono::milliseconds(250);
    /// A part that more requests in progress at each crash have is common, and probably not the
    /// cause. Blocking it rejects most requests of a route, so that it needs more crashes, and the
    /// time in which crashed endpoints are back and requests with a sound part end well.
    std::size_t specificRequestsPerCrash = 2;
    core::Duration commonPartDelay = std::chrono::seconds(10);
    /// A crash does not count against a part with which a request ended well in this time before.
    core::Duration soundTime = std::chrono::seconds(30);
    /// How long crashes are remembered, and how long a block lasts without requests for the part.
    core::Duration retentionTime = std::chrono::minutes(10);
    std::size_t maxCrashes = 64;          ///< The oldest is dropped.
    std::size_t maxRequestsPerCrash = 64; ///< More than the slots of an endpoint.
    std::size_t maxSoundParts = 16384;    ///< The oldest is dropped; one needs about 150 bytes.
    /// A part takes three crashes to get here, so that a flood of parts cannot displace others.
    std::size_t maxBlocks = 256;
};

/// The agreed state of a part. Of two states of one part the later version counts.
struct PartState
{
    core::PromptPartId part;
    std::uint32_t version = 0;
    bool isBlocked = false;
    std::size_t crashes = 0; ///< Known when it was blocked.
    /// Since the release of a part; zero while it is blocked. Without it, two trackers would bring
    /// a released state back to each other without end.
    core::Duration age {};

    bool operator==(const PartState &) const = default;
};

/// Finds the parts of prompts that crash the endpoints which run them, from the requests that were
/// in progress at crashed endpoints and from those that ended well. A part is blocked if requests
/// that are otherwise different have it, enough crashes count against it, and no other part
/// explains the same crashes; a blocked part explains the crashes of its requests, so that they
/// count against no other part. One instance joins the knowledge of all daemons, another one in
/// each daemon decides while there is no coordinator. Thread safety: one thread at a time.
class PromptPartTracker
{
public:
    explicit PromptPartTracker(PromptPartLimits limits = {})
        : m_limits(limits)
    { }

    /// Adds requests that were in progress at a crash. Returns whether any of them was new.
    bool recordCrash(const CrashEvidence &evidence, core::TimePoint now);
    /// Records that a request with these parts ran well. Returns those that were suspects before.
    std::vector<core::PromptPartId> recordSound(const std::vector<core::PromptPartId> &parts,
                                                core::TimePoint now);
    /// Whether a request with this part ran well within soundTime.
    bool isSound(const core::PromptPartId &part, core::TimePoint now) const;
    /// Blocks what can be decided now. Costs nothing if there is nothing to decide.
    void decide(core::TimePoint now);
    /// Ends the blocks whose parts were not requested for the retention time.
    void expire(core::TimePoint now);
    /// Returns the states that were decided on here since the last call.
    std::vector<PartState> takeChanges() { return std::exchange(m_changes, {}); }
    /// Takes over a later state that another daemon decided on. Returns whether it changed
    /// something.
    bool applyState(const PartState &state, core::TimePoint now);
    /// Records a request for a blocked part, which keeps the block.
    void recordRequest(const core::PromptPartId &part, core::TimePoint now);

    bool isBlocked(const core::PromptPartId &part) const;
    /// Whether crashes count against the part, but not enough to block it.
    bool isSuspect(const core::PromptPartId &part) const { return m_suspects.contains(part); }
    std::vector<core::PromptPartId> suspects() const;
    std::size_t blockedCount() const;
    /// States of all parts that are blocked or were within the retention time.
    std::vector<PartState> states(core::TimePoint now) const;
    /// Crashes whose requests had a blocked part.
    std::vector<CrashId> explainedCrashes() const;
    /// The requests of the crashes that other daemons may not know.
    std::vector<CrashEvidence> evidence() const;

private:
    struct Crash
    {
        std::map<Fingerprint, std::vector<core::PromptPartId>> requests;
        core::TimePoint at;
    };
    struct Entry
    {
        PartState state;
        core::TimePoint lastAt; ///< Last change or request.
    };
    /// The crashes that count against a part.
    struct Suspicion
    {
        std::set<CrashId> crashes;
        std::set<Fingerprint> fingerprints;
        std::size_t requestCount = 0; ///< Over all of these crashes.
    };
    using Suspicions = std::map<core::PromptPartId, Suspicion>;

    bool isExplained(const Crash &crash) const;
    /// The parts against which enough crashes count that no blocked part explains.
    Suspicions suspicions() const;
    /// Whether enough crashes count against the part and no other one explains them as well.
    bool isToBlame(const core::PromptPartId &part, const Suspicions &all) const;
    bool isSpecific(const Suspicion &suspicion) const;
    core::TimePoint decidableAt(const core::PromptPartId &part, const Suspicion &suspicion) const;
    void change(const core::PromptPartId &part, bool isBlocked, std::size_t crashes,
                core::TimePoint now);
    void updateSuspects(const Suspicions &all, core::TimePoint now);
    bool isOutdated(const Entry &entry, core::TimePoint now) const;
    /// Returns the number of dropped crashes.
    std::size_t dropOldCrashes(core::TimePoint now);
    void makeRoomForCrash();

    PromptPartLimits m_limits;
    std::map<CrashId, Crash> m_crashes;
    std::list<core::PromptPartId> m_soundByAge; ///< The oldest first.
    struct SoundPart
    {
        core::TimePoint at;
        std::list<core::PromptPartId>::iterator position;
    };
    std::unordered_map<core::PromptPartId, SoundPart> m_sound;
    std::map<core::PromptPartId, core::TimePoint> m_suspects; ///< Since when.
    /// When something may have to be decided; updateSuspects() sets it to the past.
    core::TimePoint m_nextDecisionAt = core::TimePoint::max();
    std::map<core::PromptPartId, Entry> m_states;
    std::vector<PartState> m_changes;
};

} // namespace jackdawlead::decisions
