#include "serving/filters.h"

#include "config/release.h"
#include "core/error.h"
#include "serving/enginereport.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace jackdawlead::serving {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view servicesPrefix = "/services/";
constexpr std::int64_t maxDeadlineMs = 3'600'000;

absl::Status refusal(absl::StatusCode code, const char *step, std::string_view message)
{
    return core::withOutcome(core::makeError(code, step, "caller", message), core::Outcome::NotRun);
}

absl::StatusOr<core::Duration> deadlineOf(const net::Headers &headers, core::Duration fallback)
{
    const std::string text = headers.value("X-Request-Deadline-Ms");
    if (text.empty())
        return fallback;
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber = error == std::errc() && end == text.data() + text.size();
    if (!isNumber || value < 1 || value > maxDeadlineMs)
        return refusal(absl::StatusCode::kInvalidArgument, "authenticate",
                       "X-Request-Deadline-Ms must be a whole number from 1 to 3600000");
    return std::chrono::milliseconds(value);
}

} // namespace

absl::StatusOr<AuthenticatedCall> authenticate(AcceptedCall call,
                                               std::shared_ptr<const config::Catalog> catalog,
                                               core::Duration defaultDeadline)
{
    if (!catalog)
        return core::withRetryAfter(refusal(absl::StatusCode::kUnavailable, "authenticate",
                                            "no configuration is in force yet"),
                                    std::chrono::seconds(1));
    const std::string authorization = call.request.headers.value("Authorization");
    if (!authorization.starts_with(bearerPrefix))
        return refusal(absl::StatusCode::kUnauthenticated, "authenticate",
                       "Authorization must be a bearer token");
    const std::string digest = config::sha256Hex(authorization.substr(bearerPrefix.size()));
    const config::Customer *customer = catalog->customerByTokenDigest(digest);
    if (!customer)
        return refusal(absl::StatusCode::kUnauthenticated, "authenticate", "unknown bearer token");
    const auto limit = deadlineOf(call.request.headers, defaultDeadline);
    if (!limit.ok())
        return limit.status();
    const core::TimePoint deadline = call.acceptedAt + *limit;
    return AuthenticatedCall {std::move(call), std::move(catalog), customer->name, deadline};
}

absl::StatusOr<ResolvedAdapterCall> resolveAdapterCall(AuthenticatedCall call)
{
    const auto invalid = [](std::string_view message) {
        return refusal(absl::StatusCode::kInvalidArgument, "resolve", message);
    };
    const auto body = nlohmann::json::parse(call.call.request.body, nullptr, false);
    if (!body.is_object())
        return invalid("body must be a JSON object");
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string())
        return invalid("model must be a string of the form adapter@version");
    const core::AdapterVersion adapter = parseAdapterVersion(*model);
    if (adapter.adapter.isEmpty() || adapter.version.empty())
        return invalid("model must be of the form adapter@version");
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean())
        return invalid("stream must be true or false");
    const config::Version *version = call.catalog->version(adapter);
    const config::Service *service = call.catalog->serviceFor(call.customer, adapter.adapter);
    // The same answer for an unknown adapter and one of another customer, so that names do not
    // leak.
    if (!service || !version)
        return refusal(absl::StatusCode::kNotFound, "resolve",
                       "model " + adapter.toString() + " is not available to this customer");
    ResolvedAdapterCall resolved;
    resolved.adapter = adapter;
    resolved.weightSource = version->source;
    resolved.pool = service->pool;
    resolved.isStream = stream != body.end() && stream->get<bool>();
    resolved.call = std::move(call);
    return resolved;
}

absl::StatusOr<ResolvedServiceCall> resolveServiceCall(AuthenticatedCall call)
{
    const std::string &path = call.call.request.path;
    const std::size_t end = path.find('/', servicesPrefix.size());
    const core::ServiceId name(path.substr(servicesPrefix.size(), end - servicesPrefix.size()));
    const config::Service *service = call.catalog->service(name);
    if (!service || !service->adapters.empty() || !config::isCaller(*service, call.customer))
        return refusal(absl::StatusCode::kNotFound, "resolve",
                       "service '" + name.value() + "' is not available to this customer");
    ResolvedServiceCall resolved;
    resolved.service = name;
    resolved.pool = service->pool;
    resolved.path = end == std::string::npos ? "/" : path.substr(end);
    resolved.isRepeatable = service->isRepeatable || call.call.request.method == "GET";
    resolved.idempotencyKey = call.call.request.headers.value("Idempotency-Key");
    if (!resolved.isRepeatable && resolved.idempotencyKey.empty())
        return refusal(absl::StatusCode::kInvalidArgument, "resolve",
                       "Idempotency-Key is required by service '" + name.value() + "'");
    resolved.call = std::move(call);
    return resolved;
}

} // namespace jackdawlead::serving
