#include "decisions/runtimeestimator.h"

#include <algorithm>

namespace jackdawlead::decisions {

namespace {

constexpr std::size_t minSamples = 8;
// Endpoints become slower while they take over the requests of a daemon that stops.
constexpr double slowdownFactor = 1.25;

} // namespace

void RunTimeEstimator::record(core::Duration duration)
{
    m_samples[m_recorded++ % sampleCount] = duration;
}

std::optional<core::Duration> RunTimeEstimator::longestExpected() const
{
    if (m_recorded < minSamples)
        return std::nullopt;
    const auto end
        = m_samples.begin() + static_cast<std::ptrdiff_t>(std::min(m_recorded, sampleCount));
    return core::scaled(*std::max_element(m_samples.begin(), end), slowdownFactor);
}

bool canEndBy(core::TimePoint end, core::TimePoint now, core::Duration limit,
              const std::optional<core::Duration> &expected)
{
    return now + std::min(limit, expected.value_or(limit)) <= end;
}

} // namespace jackdawlead::decisions
