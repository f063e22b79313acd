#pragma once

#include "observability/burn.h"
#include "serving/context.h"

#include <nlohmann/json_fwd.hpp>

namespace jackdawlead::serving {

/// The objectives that the settings declare.
observability::Objectives objectivesOf(const config::Settings &settings);

/// Samples this daemon's histograms for the report on service-level burn.
/// Thread safety: the loop's thread only.
class BurnTask
{
public:
    explicit BurnTask(Context &context);

    void start();
    /// The counts of each indicator over 5 min and 1 h, as `/admin/v1/burn` serves them.
    nlohmann::json report();

private:
    void sample();

    Context &m_context;
    observability::BurnHistory m_history;
    net::TimerService::Subscription m_timer;
};

} // namespace jackdawlead::serving
