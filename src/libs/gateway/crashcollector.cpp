#include "gateway/crashcollector.h"

#include "core/text.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jackdawlead::gateway {

namespace {

// Longer than daemons report a crash, so that none of them brings it back.
constexpr core::Duration explainedCrashRetention = std::chrono::seconds(10);

} // namespace

void logPartStates(const std::vector<decisions::PartState> &states, std::string_view source)
{
    for (const decisions::PartState &state : states) {
        const std::string change = state.isBlocked
            ? absl::StrCat("blocked after ", state.crashes, " crashes of endpoints")
            : std::string("released");
        observability::log(
            {.level = observability::LogLevel::Warn,
             .step = "part of prompts",
             .message = absl::StrCat(state.part.value(), " ", change, ", by ", core::toAbsl(source),
                                     ", version ", state.version)});
    }
}

bool CrashCollector::addReport(const CrashNews &news, core::TimePoint now)
{
    for (const decisions::CrashReport &crash : news.crashes) {
        // Daemons report a crash until they receive the explanation.
        if (!std::ranges::count(m_explainedCrashes, crash.crash, &ExplainedCrash::crash))
            m_crashes.applyUpdate(crash, now);
    }
    for (const decisions::CrashEvidence &evidence : news.evidence)
        m_parts.recordCrash(evidence, now);
    m_parts.recordSound(news.soundParts, now);
    for (const core::PromptPartId &part : news.requestedParts)
        m_parts.recordRequest(part, now);
    for (const decisions::PartState &state : news.states)
        m_parts.applyState(state, now);
    return update(now);
}

bool CrashCollector::update(core::TimePoint now)
{
    m_parts.decide(now);
    m_parts.expire(now);
    const std::vector<decisions::PartState> changes = m_parts.takeChanges();
    logPartStates(changes, "this coordinator");
    if (!changes.empty()) {
        for (const decisions::CrashId &crash : m_parts.explainedCrashes()) {
            m_explainedCrashes.push_back({crash, now});
            m_crashes.forget(crash);
        }
    }
    while (!m_explainedCrashes.empty()
           && now - m_explainedCrashes.front().at > explainedCrashRetention)
        m_explainedCrashes.pop_front();
    std::vector<core::PromptPartId> suspects = m_parts.suspects();
    const bool areSuspectsNew = !std::ranges::includes(m_knownSuspects, suspects);
    for (const core::PromptPartId &part : suspects) {
        if (!std::ranges::binary_search(m_knownSuspects, part))
            observability::log({.level = observability::LogLevel::Info,
                                .step = "part of prompts",
                                .message = absl::StrCat(part.value(), " is a suspect")});
    }
    m_knownSuspects = std::move(suspects);
    return areSuspectsNew || !changes.empty();
}

FleetCrashNews CrashCollector::news(core::TimePoint now) const
{
    FleetCrashNews news;
    news.crashes = m_crashes.recentCrashes(now);
    for (const ExplainedCrash &explained : m_explainedCrashes)
        news.explainedCrashes.push_back(explained.crash);
    news.suspects = m_knownSuspects;
    news.states = m_parts.states(now);
    return news;
}

} // namespace jackdawlead::gateway
