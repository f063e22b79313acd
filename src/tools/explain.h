#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace jackdawlead::tools {

/// The history of one request, read from the logs of any number of daemons.
struct RequestHistory
{
    std::vector<nlohmann::json> events; ///< Log lines of the request, in order of time.
    /// What daemons noted about the endpoints of the request around its time.
    std::vector<nlohmann::json> surroundings;
    std::string cause; ///< Of the last refusal, failure or lateness; empty if there was none.
};

/// Reads log lines; text in front of a line's JSON and lines that are none are passed over.
std::vector<nlohmann::json> readLogLines(std::istream &stream);

/// Picks out what concerns the request. Thread safety: any thread.
RequestHistory explainRequest(const std::string &requestId, std::vector<nlohmann::json> lines);

/// The history for people, one event a line, the cause last.
std::string historyText(const RequestHistory &history);

} // namespace jackdawlead::tools
