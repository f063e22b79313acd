#pragma once

#include "core/ids.h"
#include "decisions/quota/quotatypes.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace jackdawlead::gateway::customers {

/// The JSON-RPC method with which a daemon asks for allowances between its regular reports. Daemons
/// of earlier releases answer it with an error.
inline constexpr char quotaMethod[] = "quota";

/// The parameters of quotaMethod; its result is a decisions::quota::QuotaAnswer.
struct QuotaCall
{
    core::HostId host;
    decisions::quota::QuotaReport report;
};

/// Adds the field `quota` to a message between daemons, unless there is nothing to state: messages
/// of deployments without quotas stay the same. Thread safety: any thread.
void encodeInto(nlohmann::json &message,
                const std::optional<decisions::quota::QuotaReport> &report);
void encodeInto(nlohmann::json &message,
                const std::optional<decisions::quota::QuotaAnswer> &answer);
/// Empty, which means unknown, if the message lacks the field or if a number is negative or not
/// finite. Errors: nlohmann::json::exception if the field is malformed. Thread safety: any thread.
std::optional<decisions::quota::QuotaReport> decodeQuotaReport(const nlohmann::json &message);
std::optional<decisions::quota::QuotaAnswer> decodeQuotaAnswer(const nlohmann::json &message);

std::string encode(const QuotaCall &call);
std::string encode(const decisions::quota::QuotaAnswer &answer);
/// Errors: the message is malformed. Thread safety: any thread.
absl::StatusOr<QuotaCall> decodeQuotaCall(const std::string &text);
absl::StatusOr<decisions::quota::QuotaAnswer> decodeQuotaAnswer(const std::string &text);

} // namespace jackdawlead::gateway::customers
