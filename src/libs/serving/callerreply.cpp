#include "serving/callerreply.h"

#include "core/error.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jackdawlead::serving {

namespace {

using nlohmann::json;

constexpr core::Duration defaultRetryAfter = std::chrono::seconds(1);

struct CodeRow
{
    absl::StatusCode code;
    int http;
    const char *type;
};

constexpr CodeRow rows[] = {
    {absl::StatusCode::kInvalidArgument, 400, "invalid_request"},
    {absl::StatusCode::kUnauthenticated, 401, "unauthenticated"},
    {absl::StatusCode::kPermissionDenied, 403, "permission_denied"},
    {absl::StatusCode::kNotFound, 404, "not_found"},
    {absl::StatusCode::kAborted, 409, "conflict"},
    {absl::StatusCode::kAlreadyExists, 422, "key_reused"},
    {absl::StatusCode::kResourceExhausted, 429, "over_limit"},
    {absl::StatusCode::kDeadlineExceeded, 504, "timeout"},
    {absl::StatusCode::kDataLoss, 502, "incomplete_answer"},
    {absl::StatusCode::kInternal, 502, "bad_answer"},
    {absl::StatusCode::kUnavailable, 503, "unavailable"},
};

const CodeRow &rowOf(absl::StatusCode code)
{
    const auto found = std::ranges::find(rows, code, &CodeRow::code);
    return found == std::end(rows) ? *std::prev(std::end(rows)) : *found;
}

} // namespace

int httpStatusOf(const absl::Status &status)
{
    return rowOf(status.code()).http;
}

net::HttpResponse refusalResponse(const absl::Status &status, const core::RequestId &request)
{
    const core::Outcome outcome = core::outcomeOf(status);
    const absl::StatusCode code = status.code();
    json error {{"type", rowOf(status.code()).type},
                {"message", std::string(status.message())},
                {"step", core::stepOf(status)},
                {"peer", core::peerOf(status)},
                {"outcome", core::toString(outcome)}};
    net::HttpResponse response;
    response.status = httpStatusOf(status);
    response.headers.add("Content-Type", "application/json");
    response.headers.add("X-Request-Id", request.value());
    response.headers.add("X-Outcome", std::string(core::toString(outcome)));
    std::optional<core::Duration> delay = core::retryAfterOf(status);
    // The caller of work that was not run is always told when to come back.
    if (!delay && outcome == core::Outcome::NotRun && code == absl::StatusCode::kUnavailable)
        delay = defaultRetryAfter;
    if (delay) {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(*delay).count();
        error["retry_after_ms"] = ms;
        // The header counts whole seconds, so it is rounded up.
        response.headers.add("Retry-After", std::to_string((ms + 999) / 1000));
    }
    response.body
        = json {{"error", std::move(error)}}.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

absl::Status refusalFromPeer(int status, const net::Headers &headers, const std::string &body,
                             const std::string &peer)
{
    const json parsed = json::parse(body, nullptr, false);
    const json error = parsed.is_object() ? parsed.value("error", json::object()) : json::object();
    const auto row = std::ranges::find(rows, status, &CodeRow::http);
    const absl::StatusCode code
        = row == std::end(rows) ? absl::StatusCode::kUnavailable : row->code;
    absl::Status result = core::makeError(
        code, error.value("step", std::string("forward")), error.value("peer", peer),
        error.value("message", "status " + std::to_string(status)));
    const bool isNotRun = headers.value("X-Outcome") == core::toString(core::Outcome::NotRun);
    result = core::withOutcome(result, isNotRun ? core::Outcome::NotRun : core::Outcome::Unknown);
    if (error.contains("retry_after_ms"))
        result = core::withRetryAfter(
            result, std::chrono::milliseconds(error["retry_after_ms"].get<std::int64_t>()));
    return result;
}

} // namespace jackdawlead::serving
