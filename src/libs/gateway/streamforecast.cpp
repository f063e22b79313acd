#include "gateway/streamforecast.h"

#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstddef>

namespace jackdawlead::gateway {

namespace {

// Speeds of sound endpoints differ by a factor of 2.5 at most; the lower bound keeps an endpoint
// at the limit from filling the log.
constexpr double slowRatio = 3;
constexpr double soundRatio = 2;

core::Duration medianOf(std::vector<core::Duration> pauses)
{
    std::erase(pauses, core::Duration::zero());
    if (pauses.empty())
        return {};
    const auto middle = pauses.begin() + static_cast<std::ptrdiff_t>((pauses.size() - 1) / 2);
    std::ranges::nth_element(pauses, middle);
    return *middle;
}

} // namespace

StreamForecast::Entry &StreamForecast::entryFor(const core::EndpointId &id,
                                                fleet::StartTime incarnation)
{
    Entry &entry = m_entries[id];
    if (entry.incarnation != incarnation) {
        entry = {};
        entry.incarnation = incarnation;
    }
    return entry;
}

double StreamForecast::requestsAt(const core::EndpointId &id) const
{
    const auto entry = m_entries.find(id);
    return m_pool.inProgress(id) + (entry == m_entries.end() ? 0 : entry->second.otherRequests);
}

// A prompt of this daemon that is being read lengthens the pauses of its streams there; those of
// other daemons are not known.
void StreamForecast::recordPause(const core::EndpointId &id, fleet::StartTime incarnation,
                                 core::Duration pause, core::TimePoint now)
{
    if (m_pool.pendingPrefillTokens(id) == 0)
        entryFor(id, incarnation).speed.recordPause(requestsAt(id), pause, now);
}

void StreamForecast::recordFirstEvent(const core::EndpointId &id, fleet::StartTime incarnation,
                                      int promptTokens, core::Duration time, core::TimePoint now)
{
    Entry &entry = entryFor(id, incarnation);
    entry.prompts.recordRead(promptTokens, now);
    if (m_pool.pendingPrefillTokens(id) != promptTokens)
        return;
    const double factor = entry.speed.timeFactor(now, m_times.typicalFactor());
    m_times.recordFirstEvent(promptTokens, requestsAt(id), core::scaled(time, 1 / factor));
}

decisions::streams::EndpointState StreamForecast::stateOf(const fleet::Endpoint &endpoint,
                                                          core::TimePoint now) const
{
    decisions::streams::EndpointState state;
    state.slots = std::max(1, endpoint.slots);
    state.requests = m_pool.inProgress(endpoint.id);
    state.ownTokens = m_pool.pendingPrefillTokens(endpoint.id);
    state.timeFactor = m_times.typicalFactor();
    const auto found = m_entries.find(endpoint.id);
    if (found == m_entries.end() || found->second.incarnation != endpoint.startTime)
        return state;
    state.requests += found->second.otherRequests;
    state.timeFactor = found->second.speed.timeFactor(now, m_times.typicalFactor());
    state.ownTokens += found->second.prompts.recentlyRead(now);
    state.otherTokens = found->second.prompts.tokens(now);
    state.share = found->second.share;
    return state;
}

StreamReports StreamForecast::makeReports(const Endpoints &endpoints, core::TimePoint now)
{
    std::erase_if(m_entries,
                  [&endpoints](const auto &entry) { return !endpoints.contains(entry.first); });
    StreamReports reports;
    for (const auto &[id, endpoint] : endpoints) {
        StreamReport report;
        report.requests = m_pool.inProgress(id);
        report.promptTokens = m_pool.pendingPrefillTokens(id);
        const auto entry = m_entries.find(id);
        if (entry != m_entries.end() && entry->second.incarnation == endpoint.startTime)
            report.pause = entry->second.speed.ownReferencePause(m_lastReportAt);
        if (report != StreamReport())
            reports[id] = report;
    }
    m_lastReportAt = now;
    return reports;
}

void StreamForecast::applyView(const StreamView &view, const Endpoints &endpoints,
                               core::TimePoint now)
{
    const core::Duration medianPause = medianOf(view.pauses);
    if (medianPause > core::Duration::zero())
        m_times.setTypicalFactor(
            core::toSeconds(medianPause)
            / core::toSeconds(decisions::streams::EngineTimes::referencePause));
    std::size_t index = 0;
    for (const auto &[id, endpoint] : endpoints) {
        Entry &entry = entryFor(id, endpoint.startTime);
        const int others = view.promptTokens[index] - m_pool.pendingPrefillTokens(id);
        entry.prompts.setReported(std::max(0, others), now);
        entry.otherRequests = std::max(0, view.requests[index] - m_pool.inProgress(id));
        entry.share = view.shares[index];
        const core::Duration pause = view.pauses[index++];
        if (pause <= core::Duration::zero())
            continue;
        entry.speed.setReported(pause, now);
        logSpeed(id, entry, pause, medianPause);
    }
}

void StreamForecast::logSpeed(const core::EndpointId &id, Entry &entry, core::Duration pause,
                              core::Duration medianPause)
{
    const double ratio = core::toSeconds(pause) / core::toSeconds(medianPause);
    const bool isSlow = ratio > (entry.isSlow ? soundRatio : slowRatio);
    if (isSlow == entry.isSlow)
        return;
    entry.isSlow = isSlow;
    observability::log(
        {.step = isSlow ? "endpoint is slow" : "endpoint recovered",
         .message
         = absl::StrCat("pause between events ", core::toMilliseconds(pause),
                        " ms, median of the endpoints ", core::toMilliseconds(medianPause), " ms"),
         .peer = id.value()});
}

} // namespace jackdawlead::gateway
