#include "decisions/refusallimits.h"

#include <algorithm>

namespace jackdawlead::decisions {

namespace {

// Answers that were sent before the statement still arrive after it.
constexpr int answersUntilLifted = 8;
// A daemon may have sent another request before it learns of the refusal of the first one.
constexpr double requestsPerRefusal = 2;

} // namespace

void RefusalLimits::recordAnswer(const core::ServiceId &service,
                                 const std::optional<fleet::RequestRate> &limit,
                                 core::TimePoint now)
{
    if (limit) {
        m_statements[service] = {*limit, now, 0};
        return;
    }
    const auto found = m_statements.find(service);
    if (found != m_statements.end() && ++found->second.answersWithout >= answersUntilLifted)
        m_statements.erase(found);
}

std::optional<fleet::RequestRate> RefusalLimits::limitOf(const core::ServiceId &service,
                                                         core::TimePoint now) const
{
    const auto found = m_statements.find(service);
    if (found == m_statements.end() || now - found->second.at > validity)
        return std::nullopt;
    return found->second.limit;
}

core::Duration RefusalLimits::refusalInterval(const core::ServiceId &service, int daemons,
                                              core::TimePoint now) const
{
    const auto limit = limitOf(service, now);
    if (!limit)
        return {};
    const double perDaemon = limit->perSecond / std::max(1, daemons);
    const core::Duration interval = perDaemon > 0
        ? core::scaled(std::chrono::seconds(1), requestsPerRefusal / perDaemon)
        : maxInterval;
    return std::clamp(interval, minInterval, maxInterval);
}

void RefusalLimits::recordRefusal(const core::EndpointId &endpoint, int accepted,
                                  core::TimePoint now)
{
    Window &window = m_windows[endpoint];
    window.size = std::max(1, accepted);
    window.mostInProgress = accepted;
    window.changedAt = now;
}

void RefusalLimits::recordAcceptance(const core::EndpointId &endpoint, int inProgress,
                                     core::Duration refusalInterval, core::TimePoint now)
{
    const auto found = m_windows.find(endpoint);
    if (found == m_windows.end())
        return;
    Window &window = found->second;
    window.acceptedAt = now;
    window.mostInProgress = std::max(window.mostInProgress, inProgress);
    if (now - window.changedAt < refusalInterval)
        return;
    window.size = std::min(window.size, window.mostInProgress) + 1;
    window.mostInProgress = inProgress;
    window.changedAt = now;
}

// Other daemons may have taken the slots that this one did not use for a while.
std::optional<int> RefusalLimits::maxInProgress(const core::EndpointId &endpoint, int inProgress,
                                                core::Duration refusalInterval,
                                                core::TimePoint now) const
{
    const auto found = m_windows.find(endpoint);
    if (found == m_windows.end())
        return std::nullopt;
    const Window &window = found->second;
    const bool isRecent = now - std::max(window.acceptedAt, window.changedAt) <= refusalInterval;
    return isRecent ? window.size : std::min(window.size, inProgress + 1);
}

} // namespace jackdawlead::decisions
