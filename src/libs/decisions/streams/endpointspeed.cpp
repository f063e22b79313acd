#include "decisions/streams/endpointspeed.h"

#include <algorithm>

namespace jackdawlead::decisions::streams {

namespace {

// More than half of the pauses are without a prompt at the observed load.
constexpr double sampleQuantile = 0.3;
constexpr std::size_t minSamples = 3;
// Four pauses in a row of twice the estimate are rare unless the endpoint turned slow or many
// prompts arrive there, which both are reasons to avoid it for the moment.
constexpr double longPauseRatio = 2;
constexpr int longPausesUntilSlow = 4;
constexpr double minFactor = 0.05;
constexpr double maxFactor = 50;
// Own samples of this age are newer than what is reported.
constexpr core::Duration recentTime = std::chrono::milliseconds(500);
// Three of the slowest reports; the coordinator repeats what it knows with each of them.
constexpr core::Duration reportRetention = std::chrono::milliseconds(2250);
// Without samples an endpoint may have recovered; it is tried again after this time.
constexpr core::Duration retention = std::chrono::seconds(10);

} // namespace

void EndpointSpeed::recordPause(double requests, core::Duration pause, core::TimePoint now)
{
    const double sample
        = std::clamp(core::toSeconds(pause) / core::toSeconds(EngineTimes::pause(requests)),
                     minFactor, maxFactor);
    const double known = m_recorded >= minSamples ? m_ownFactor : timeFactor(now, sample);
    const bool isLong = sample > known * longPauseRatio;
    m_longPauses = isLong ? m_longPauses + 1 : 0;
    if (m_longPauses >= longPausesUntilSlow) {
        // Earlier samples are of the endpoint before it turned slow.
        const double previous = m_samples[(m_recorded + sampleCount - 1) % sampleCount];
        m_samples.fill(m_recorded > 0 ? std::min(previous, sample) : sample);
        m_recorded = std::max(m_recorded, sampleCount);
        m_longPauses = 0;
    }
    m_samples[m_recorded++ % sampleCount] = sample;
    m_sampledAt = now;
    if (m_recorded >= minSamples)
        updateFactor();
}

void EndpointSpeed::updateFactor()
{
    auto samples = m_samples;
    const std::size_t count = std::min(m_recorded, sampleCount);
    const auto nth = samples.begin()
        + static_cast<std::ptrdiff_t>(sampleQuantile * static_cast<double>(count));
    std::nth_element(samples.begin(), nth, samples.begin() + static_cast<std::ptrdiff_t>(count));
    m_ownFactor = *nth;
}

void EndpointSpeed::setReported(core::Duration referencePause, core::TimePoint now)
{
    m_reportedFactor
        = std::clamp(core::toSeconds(referencePause) / core::toSeconds(EngineTimes::referencePause),
                     minFactor, maxFactor);
    m_reportedAt = now;
}

double EndpointSpeed::timeFactor(core::TimePoint now, double unknown) const
{
    const bool isOwnKnown = m_recorded >= minSamples && now - m_sampledAt <= retention;
    const bool isReportKnown
        = m_reportedAt != core::TimePoint() && now - m_reportedAt <= reportRetention;
    const bool isOwnRecent = isOwnKnown && now - m_sampledAt <= recentTime;
    if (isOwnRecent && (m_recorded >= sampleCount || !isReportKnown))
        return m_ownFactor;
    if (isReportKnown)
        return m_reportedFactor;
    return isOwnKnown ? m_ownFactor : unknown;
}

std::optional<core::Duration> EndpointSpeed::ownReferencePause(core::TimePoint since) const
{
    if (m_recorded < minSamples || m_sampledAt < since)
        return std::nullopt;
    return core::scaled(EngineTimes::referencePause, m_ownFactor);
}

} // namespace jackdawlead::decisions::streams
