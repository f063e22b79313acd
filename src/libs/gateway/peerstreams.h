#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "decisions/streams/streamshares.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <vector>

namespace jackdawlead::gateway {

/// What a daemon states about the streams at one endpoint.
struct StreamReport
{
    int requests = 0;     ///< Of this daemon in progress there.
    int promptTokens = 0; ///< That it sent and that are not read yet.
    /// Its estimate of the pause between two events, in the reference batch; empty if it saw none
    /// since its last report.
    std::optional<core::Duration> pause;

    bool operator==(const StreamReport &) const = default;
};
using StreamReports = std::map<core::EndpointId, StreamReport>;

/// What the coordinator tells a daemon about the streams at all endpoints, in the order of their
/// ids.
struct StreamView
{
    std::vector<int> requests;          ///< Of all daemons in progress there.
    std::vector<int> promptTokens;      ///< Of all daemons, that are not read yet.
    std::vector<core::Duration> pauses; ///< In the reference batch; zero if unknown.
    std::vector<double> shares;         ///< The parts that are meant for the receiver.

    bool operator==(const StreamView &) const = default;
};

/// Write the optional field of a report or view, which is absent in other deployments.
void encodeInto(nlohmann::json &message, const std::optional<StreamReports> &streams);
void encodeInto(nlohmann::json &message, const std::optional<StreamView> &streams);
/// Empty if the field is absent, which means that nothing is known. Errors: throw
/// nlohmann::json::exception if the field is malformed.
std::optional<StreamReports> decodeStreamReports(const nlohmann::json &message);
std::optional<StreamView> decodeStreamView(const nlohmann::json &message);

} // namespace jackdawlead::gateway
