#include "decisions/loadwaitestimator.h"

#include <cmath>

namespace jackdawlead::decisions {

namespace {

constexpr double sampleWeight = 0.5;
constexpr core::Duration halfLife = std::chrono::seconds(2);

} // namespace

void LoadWaitEstimator::addSample(core::Duration wait, core::TimePoint now)
{
    const core::Duration previous = estimate(now);
    m_estimate = previous + core::scaled(wait - previous, previous > wait ? 1.0 : sampleWeight);
    m_updatedAt = now;
}

void LoadWaitEstimator::setEstimate(core::Duration wait, core::TimePoint now)
{
    m_estimate = wait;
    m_updatedAt = now;
}

core::Duration LoadWaitEstimator::estimate(core::TimePoint now) const
{
    const double halvings = std::chrono::duration<double>(now - m_updatedAt) / halfLife;
    return core::scaled(m_estimate, std::exp2(-halvings));
}

} // namespace jackdawlead::decisions
