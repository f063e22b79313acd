#include "decisions/runtimeestimator.h"

#include <algorithm>

namespace jackdawlead::decisions {

namespace {

constexpr std::size_t minSamples = 8;
// Endpoints become slower while they take over the requests of a daemon that stops.
constexpr double likelyFactor = 1.25;
constexpr double nearlyCertainFactor = 10;
// A single endpoint that hangs must not refute the prediction for all others.
constexpr double maxSlowShare = 0.5;
constexpr int minCompared = 4;

} // namespace

void RunTimeEstimator::record(core::TimePoint sentAt, core::TimePoint now)
{
    m_samples[m_recorded++ % sampleCount] = now - sentAt;
    if (m_observedFrom && sentAt >= *m_observedFrom)
        m_answered.push_back({sentAt, now - sentAt});
}

core::Duration RunTimeEstimator::longestSample() const
{
    const auto end
        = m_samples.begin() + static_cast<std::ptrdiff_t>(std::min(m_recorded, sampleCount));
    return *std::max_element(m_samples.begin(), end);
}

std::optional<core::Duration> RunTimeEstimator::longestExpected(Confidence confidence) const
{
    if (m_recorded < minSamples || m_isRefuted)
        return std::nullopt;
    return core::scaled(longestSample(),
                        confidence == Confidence::Likely ? likelyFactor : nearlyCertainFactor);
}

void RunTimeEstimator::beginObservation(core::TimePoint now, core::Duration negligible)
{
    m_observedFrom = now;
    m_answered.clear();
    m_isRefuted = false;
    m_slowTime = m_recorded > 0 ? std::max(longestSample(), negligible) : negligible;
}

void RunTimeEstimator::checkInProgress(const std::vector<core::TimePoint> &inProgress,
                                       core::TimePoint now)
{
    if (!m_observedFrom || m_recorded < minSamples || m_isRefuted)
        return;
    // Later requests have had no time to be slow.
    const core::TimePoint latest = now - m_slowTime;
    int compared = 0;
    int slow = 0;
    for (const core::TimePoint sentAt : inProgress) {
        if (sentAt < *m_observedFrom || sentAt > latest)
            continue;
        ++compared;
        ++slow;
    }
    for (const Request &request : m_answered) {
        if (request.sentAt > latest)
            continue;
        ++compared;
        slow += request.duration > m_slowTime ? 1 : 0;
    }
    m_isRefuted = compared >= minCompared && slow > maxSlowShare * compared;
}

bool canEndBy(core::TimePoint end, core::TimePoint now, core::Duration limit,
              const std::optional<core::Duration> &expected)
{
    return now + std::min(limit, expected.value_or(limit)) <= end;
}

} // namespace jackdawlead::decisions
