#pragma once

#include "core/ids.h"

#include <map>
#include <string>

namespace jackdawlead::serving {

/// What an engine publishes about itself on its metrics page. It lags behind the truth.
struct EngineReport
{
    std::string instance; ///< Changes when the engine restarts.
    std::map<core::AdapterVersion, int> running;
};

/// Reads the metrics page of an engine; unknown lines are skipped. Thread safety: any thread.
EngineReport parseEngineReport(const std::string &text);

/// Reads `adapter@version`; the adapter is empty if the text has no `@`.
core::AdapterVersion parseAdapterVersion(const std::string &text);

} // namespace jackdawlead::serving
