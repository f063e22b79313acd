#include "serving/burntask.h"

#include <nlohmann/json.hpp>

namespace jackdawlead::serving {

namespace {

constexpr core::Duration samplePeriod = std::chrono::seconds(10);
constexpr core::Duration windows[] = {std::chrono::minutes(5), std::chrono::hours(1)};

} // namespace

observability::Objectives objectivesOf(const config::Settings &settings)
{
    return {observability::Objective {settings.firstTokenObjective, settings.firstTokenShare},
            observability::Objective {settings.answerObjective, settings.answerShare},
            observability::Objective {settings.loadStallObjective, settings.loadStallShare}};
}

BurnTask::BurnTask(Context &context)
    : m_context(context)
{ }

void BurnTask::start()
{
    sample();
    m_timer = m_context.timers.every(samplePeriod, [this] { sample(); });
}

void BurnTask::sample()
{
    m_history.add(m_context.timers.now(), m_context.metrics.burnSample());
}

nlohmann::json BurnTask::report()
{
    sample();
    const observability::Objectives objectives = objectivesOf(m_context.settings);
    nlohmann::json indicators = nlohmann::json::array();
    for (const core::Duration length : windows) {
        const observability::BurnWindow window = m_history.window(length);
        for (std::size_t index = 0; index < observability::indicatorCount; ++index) {
            const observability::Objective &objective = objectives[index];
            const observability::BurnCounts &counts = window.counts[index];
            using std::chrono::duration_cast;
            indicators.push_back(
                {{"name", toString(static_cast<observability::Indicator>(index))},
                 {"windowSeconds", duration_cast<std::chrono::seconds>(length).count()},
                 {"coveredSeconds", core::toSeconds(window.covered)},
                 {"limitMs", duration_cast<std::chrono::milliseconds>(objective.limit).count()},
                 {"objective", objective.share},
                 {"total", counts.total},
                 {"good", counts.good},
                 {"burn", observability::burnRate(counts, objective.share)}});
        }
    }
    return {{"host", m_context.settings.host.value()}, {"indicators", std::move(indicators)}};
}

} // namespace jackdawlead::serving
