#include "decisions/runtimeestimator.h"

#include <algorithm>

namespace jackdawlead::decisions {

namespace {

constexpr std::size_t minSamples = 8;
// Endpoints become slower while they take over the requests of a daemon that stops.
constexpr double likelyFactor = 1.25;
constexpr double nearlyCertainFactor = 10;
// Also of work that has always been short: one pause of its endpoint may take that long.
constexpr core::Duration minNearlyCertain = std::chrono::seconds(2);
// An endpoint that hangs does not refute the prediction while others answer in time.
constexpr double maxSlowShare = 0.5;

} // namespace

void RunTimeEstimator::record(core::TimePoint sentAt, core::TimePoint now)
{
    m_samples[m_recorded++ % sampleCount] = now - sentAt;
    if (m_observedFrom && sentAt >= *m_observedFrom)
        m_answered.push_back({sentAt, now - sentAt});
}

core::Duration RunTimeEstimator::longestSample() const
{
    // Samples that were not recorded yet are zero.
    return *std::ranges::max_element(m_samples);
}

std::optional<core::Duration> RunTimeEstimator::longestExpected(Confidence confidence) const
{
    if (m_recorded < minSamples || (m_isRefuted && confidence != Confidence::Possible))
        return std::nullopt;
    return scaledLongest(confidence);
}

core::Duration RunTimeEstimator::scaledLongest(Confidence confidence) const
{
    switch (confidence) {
    case Confidence::Likely:
        return core::scaled(longestSample(), likelyFactor);
    case Confidence::NearlyCertain:
        return std::max(minNearlyCertain, core::scaled(longestSample(), nearlyCertainFactor));
    case Confidence::Possible:
        break;
    }
    return longestSample();
}

void RunTimeEstimator::beginObservation(core::TimePoint now, core::Duration negligible)
{
    m_observedFrom = now;
    m_answered.clear();
    m_isRefuted = false;
    m_slowTime = std::max(longestSample(), negligible);
}

void RunTimeEstimator::checkInProgress(const std::vector<core::TimePoint> &inProgress,
                                       core::TimePoint now)
{
    if (!m_observedFrom)
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
    m_isRefuted = slow > maxSlowShare * compared;
}

bool canEndBy(core::TimePoint end, core::TimePoint now, core::Duration limit,
              const std::optional<core::Duration> &expected)
{
    return now + std::min(limit, expected.value_or(limit)) <= end;
}

} // namespace jackdawlead::decisions
