#pragma once

#include "gateway/crashnews.h"

#include <deque>

namespace jackdawlead::gateway {

/// Writes a line for each change of a part's state; `source` tells who decided on it.
void logPartStates(const std::vector<decisions::PartState> &states, std::string_view source);

/// Joins, on the coordinator, what the daemons report about crashes, and decides for the fleet
/// which parts of prompts are blocked. Thread safety: one thread at a time.
class CrashCollector
{
public:
    /// Adds a report. Returns whether all daemons are to be told soon.
    bool addReport(const CrashNews &news, core::TimePoint now);
    /// Decides what can be decided now. Returns whether all daemons are to be told soon.
    bool update(core::TimePoint now);
    FleetCrashNews news(core::TimePoint now) const;

private:
    struct ExplainedCrash
    {
        decisions::CrashId crash;
        core::TimePoint at;
    };

    decisions::CrashTracker m_crashes;
    decisions::PromptPartTracker m_parts;
    std::vector<core::PromptPartId> m_knownSuspects; ///< At the last update.
    std::deque<ExplainedCrash> m_explainedCrashes;   ///< Sent for a while.
};

} // namespace jackdawlead::gateway
