#include "decisions/loadwaitestimator.h"

#include <cmath>

namespace jackdawlead::decisions {

namespace {

constexpr double newShare = 0.5;
constexpr core::Duration halfLife = std::chrono::seconds(2);

} // namespace

void LoadWaitEstimator::addSample(core::Duration wait, core::TimePoint now)
{
    const core::Duration before = estimate(now);
    m_mean = before + core::scaled(wait - before, before > wait ? 1.0 : newShare);
    m_measuredAt = now;
}

void LoadWaitEstimator::setEstimate(core::Duration wait, core::TimePoint now)
{
    m_mean = wait;
    m_measuredAt = now;
}

core::Duration LoadWaitEstimator::estimate(core::TimePoint now) const
{
    const double halvings = std::chrono::duration<double>(now - m_measuredAt) / halfLife;
    return core::scaled(m_mean, std::exp2(-halvings));
}

} // namespace jackdawlead::decisions
