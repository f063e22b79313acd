#include "decisions/streams/prefillforecast.h"

#include <cmath>

namespace jackdawlead::decisions::streams {

namespace {

// The time to read two of the longer prompts.
constexpr core::Duration readTime = std::chrono::milliseconds(150);
// Two thirds of the target gap of the observed deployment. With 1 ms several prompts that follow
// each other closely fall into one gap: in bench/streambench, 450 streams/s, a share of 0.048 of
// the streams was late instead of 0.025.
constexpr core::Duration gapTime = std::chrono::milliseconds(200);
constexpr core::Duration meanTime = std::chrono::seconds(2);
// Three of the slowest reports; without them the number of requests is unknown as well.
constexpr core::Duration retention = std::chrono::milliseconds(2250);

double remaining(core::Duration age, core::Duration timeConstant)
{
    return std::exp(-core::toSeconds(age) / core::toSeconds(timeConstant));
}

} // namespace

void PrefillForecast::setReported(double tokens, core::TimePoint now)
{
    const double kept = isKnown(now) ? remaining(now - m_reportedAt, meanTime) : 0;
    m_mean = kept * m_mean + (1 - kept) * tokens;
    m_last = tokens;
    m_reportedAt = now;
}

void PrefillForecast::recordRead(int tokens, core::TimePoint now)
{
    m_read = recentlyRead(now) + tokens;
    m_readAt = now;
}

double PrefillForecast::recentlyRead(core::TimePoint now) const
{
    return m_read > 0 ? m_read * remaining(now - m_readAt, gapTime) : 0;
}

bool PrefillForecast::isKnown(core::TimePoint now) const
{
    return m_reportedAt != core::TimePoint() && now - m_reportedAt <= retention;
}

double PrefillForecast::tokens(core::TimePoint now) const
{
    if (!isKnown(now))
        return 0;
    return m_mean + (m_last - m_mean) * remaining(now - m_reportedAt, readTime);
}

} // namespace jackdawlead::decisions::streams
