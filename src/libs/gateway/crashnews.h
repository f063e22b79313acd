#pragma once

#include "decisions/promptparttracker.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace jackdawlead::gateway {

/// What a daemon reports about crashes of endpoints and the requests that may have caused them.
struct CrashNews
{
    std::vector<decisions::CrashReport> crashes; ///< Recently observed or received.
    std::vector<decisions::CrashEvidence> evidence;
    std::vector<core::PromptPartId> soundParts;     ///< Suspects with which requests ran well.
    std::vector<core::PromptPartId> requestedParts; ///< Blocked parts that were asked for.
    std::vector<decisions::PartState> states;
};

/// What the coordinator tells the daemons about the crashes that any daemon reported.
struct FleetCrashNews
{
    std::vector<decisions::CrashReport> crashes; ///< Recently reported by any daemon.
    /// Crashes that a blocked part explains, so that they count against no request.
    std::vector<decisions::CrashId> explainedCrashes;
    /// Daemons report with which of these parts requests ran well.
    std::vector<core::PromptPartId> suspects;
    std::vector<decisions::PartState> states;
};

/// Adds the fields to a message between daemons. Fields that are missing, as in messages of the
/// previous release, are decoded as empty.
void encodeInto(nlohmann::json &message, const CrashNews &news);
void encodeInto(nlohmann::json &message, const FleetCrashNews &news);
/// Errors: nlohmann::json::exception if the message is malformed.
CrashNews decodeCrashNews(const nlohmann::json &message);
FleetCrashNews decodeFleetCrashNews(const nlohmann::json &message);

nlohmann::json encodeStates(const std::vector<decisions::PartState> &states);
/// Errors: nlohmann::json::exception if the value is malformed.
std::vector<decisions::PartState> decodeStates(const nlohmann::json &value);

} // namespace jackdawlead::gateway
