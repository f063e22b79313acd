#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace jackdawlead::tools {

/// The history of one request, collected from the logs of any number of daemons.
struct RequestHistory
{
    std::vector<nlohmann::json> events; ///< Log lines of the request, ordered by time.
    /// Log lines about the endpoints of the request and about daemons, close to the events in time.
    std::vector<nlohmann::json> contextEvents;
    std::string cause; ///< Of the last refusal, failure, retry or delay; empty if there was none.
};

/// Reads JSON log lines; text before the JSON object of a line and other lines are ignored.
std::vector<nlohmann::json> readLogLines(std::istream &stream);

/// Selects the log lines that concern the request. Thread safety: any thread.
RequestHistory explainRequest(const std::string &requestId, std::vector<nlohmann::json> lines);

/// Formats the history as text: one event per line, then the cause.
std::string historyText(const RequestHistory &history);

} // namespace jackdawlead::tools
