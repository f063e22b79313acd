#include "platform/endpointcodec.h"

#include "core/text.h"
#include "platform/wirenames.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace jackdawlead::platform {

namespace {

// RFC 9110, 7.6.1: these fields apply to one connection only and are not forwarded.
constexpr const char *hopByHopFields[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",     "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect",
};

// Names of the fields that are not forwarded, in lower case.
std::set<std::string> hopByHopNames(const net::Headers &headers)
{
    std::set<std::string> names;
    for (const char *name : hopByHopFields)
        names.insert(absl::AsciiStrToLower(name));
    for (const absl::string_view name : absl::StrSplit(headers.value("Connection"), ','))
        names.insert(absl::AsciiStrToLower(absl::StripAsciiWhitespace(name)));
    return names;
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    if (text.empty() || !absl::SimpleAtoi(text, &number))
        return std::nullopt;
    return number;
}

// Limits how long one response of an endpoint keeps the daemon from using it.
constexpr double maxRetryAfterSeconds = 300;

std::optional<core::Duration> parseRetryAfter(const http::MessageHead &head)
{
    double seconds = 0;
    const bool isNumber = absl::SimpleAtod(head.headers.value(wire::retryAfter), &seconds);
    if (head.status != 503 || !isNumber || !std::isfinite(seconds) || seconds <= 0)
        return std::nullopt;
    return core::scaled(std::chrono::seconds(1), std::min(seconds, maxRetryAfterSeconds));
}

constexpr int misdirectedStatus = 421;
// Larger values have the same effect as no limit; the bound keeps computed times finite.
constexpr double maxRequestsPerSecond = 1e6;

std::optional<fleet::RequestRate> parseRequestRate(const std::string &text)
{
    double perSecond = 0;
    if (!absl::SimpleAtod(text, &perSecond) || !std::isfinite(perSecond) || perSecond < 0)
        return std::nullopt;
    return fleet::RequestRate {std::min(perSecond, maxRequestsPerSecond)};
}

// Prompts of the deployments have two or three parts; the bounds limit the memory for others.
constexpr std::size_t maxPromptParts = 64;
constexpr std::size_t maxPartIdLength = 64;

std::vector<core::PromptPartId> parsePromptParts(const std::string &text)
{
    std::vector<core::PromptPartId> parts;
    for (const absl::string_view entry : absl::StrSplit(text, ',')) {
        std::string id
            = absl::AsciiStrToLower(absl::StripAsciiWhitespace(entry.substr(0, entry.find(':'))));
        const bool isHexadecimal = !id.empty() && std::ranges::all_of(id, absl::ascii_isxdigit);
        id.erase(0, std::min(id.find_first_not_of('0'), id.size() - 1));
        if (!isHexadecimal || id.size() > maxPartIdLength)
            continue;
        parts.emplace_back(std::move(id));
        if (parts.size() == maxPromptParts)
            break;
    }
    return parts;
}

bool isFromOtherEndpoint(const net::Headers &headers, const core::EndpointId &endpoint)
{
    const std::string sender = headers.value(wire::instanceId);
    return !sender.empty() && sender != endpoint.value();
}

} // namespace

RequestFields parseRequestFields(const http::MessageHead &head)
{
    RequestFields fields;
    fields.id = core::RequestId(head.headers.value(wire::requestId));
    if (const auto deadline = parseNumber(head.headers.value(wire::deadlineMs)))
        fields.deadline = std::chrono::milliseconds(*deadline);
    const std::vector<std::string> model
        = absl::StrSplit(head.headers.value(wire::model), absl::MaxSplits('/', 1));
    fields.model = core::ModelId(model[0]);
    if (model.size() == 2)
        fields.adapter = core::AdapterId(model[1]);
    const std::vector<std::string> tokens
        = absl::StrSplit(head.headers.value(wire::tokenCount), ',');
    if (tokens.size() == 2) {
        const auto prompt = parseNumber(tokens[0]);
        const auto answer = parseNumber(tokens[1]);
        fields.promptTokens = static_cast<int>(prompt.value_or(0));
        if (prompt && answer)
            fields.totalTokens = static_cast<double>(*prompt) + static_cast<double>(*answer);
    }
    fields.lastEventId = parseNumber(head.headers.value(wire::lastEventId));
    fields.begunBy = core::RequestId(head.headers.value(wire::resumes));
    fields.promptParts = parsePromptParts(head.headers.value(wire::promptPrefix));
    return fields;
}

KeyField keyFieldOf(const http::MessageHead &head)
{
    KeyField key;
    for (const auto &[name, value] : head.headers.fields()) {
        if (absl::EqualsIgnoreCase(name, wire::apiKey) && key.count++ == 0)
            key.value = value;
    }
    return key;
}

std::string formatForwardedRequest(const http::MessageHead &head, std::string_view body,
                                   const ForwardFields &fields)
{
    std::set<std::string> dropped = hopByHopNames(head.headers);
    for (const char *name : wire::systemFields)
        dropped.insert(absl::AsciiStrToLower(name));
    if (fields.dropsCustomerFields) {
        dropped.insert(absl::AsciiStrToLower(wire::apiKey));
        dropped.insert(absl::AsciiStrToLower(wire::customer));
    }
    if (fields.lastEventId)
        dropped.insert(absl::AsciiStrToLower(wire::lastEventId));
    std::string text = absl::StrCat(head.method, " ", head.target, " HTTP/1.1\r\n");
    for (const auto &[name, value] : head.headers.fields()) {
        if (!dropped.contains(absl::AsciiStrToLower(name)))
            absl::StrAppend(&text, name, ": ", value, "\r\n");
    }
    absl::StrAppend(&text, wire::expectInstance, ": ", fields.endpoint.value(), "\r\n",
                    wire::deadlineMs, ": ", core::toMilliseconds(fields.deadline), "\r\n");
    if (fields.adapterVersion)
        absl::StrAppend(&text, wire::expectVersion, ": ", *fields.adapterVersion, "\r\n");
    if (!fields.customer.isEmpty())
        absl::StrAppend(&text, wire::customer, ": ", fields.customer.value(), "\r\n");
    if (fields.priority)
        absl::StrAppend(&text, wire::requestPriority, ": ", *fields.priority, "\r\n");
    if (fields.lastEventId)
        absl::StrAppend(&text, wire::lastEventId, ": ", *fields.lastEventId, "\r\n");
    if (!body.empty() || head.isChunked || head.hasLength)
        absl::StrAppend(&text, "Content-Length: ", body.size(), "\r\n");
    absl::StrAppend(&text, "\r\n");
    text.append(body);
    return text;
}

bool hasKeyField(std::string_view request)
{
    const std::string_view head = request.substr(0, request.find("\r\n\r\n"));
    for (const absl::string_view line : absl::StrSplit(core::toAbsl(head), "\r\n")) {
        if (absl::EqualsIgnoreCase(line.substr(0, line.find(':')), wire::apiKey))
            return true;
    }
    return false;
}

bool shortenDeadline(std::string &request, core::Duration by)
{
    const std::string name = absl::StrCat("\r\n", wire::deadlineMs, ": ");
    const std::string_view head = std::string_view(request).substr(0, request.find("\r\n\r\n"));
    const std::size_t found = head.find(name);
    if (found == std::string_view::npos)
        return true;
    const std::size_t begin = found + name.size();
    const std::string text(head.substr(begin, head.find("\r\n", begin) - begin));
    std::int64_t deadline = 0;
    if (!absl::SimpleAtoi(text, &deadline))
        return true;
    const std::int64_t left = core::toMilliseconds(std::chrono::milliseconds(deadline) - by);
    if (left <= 0)
        return false;
    request.replace(begin, text.size(), std::to_string(left));
    return true;
}

ResponseTraits parseResponseTraits(const http::MessageHead &head)
{
    ResponseTraits traits;
    traits.isMisdirected = head.status == misdirectedStatus;
    traits.isStamped = head.headers.contains(wire::responseStamp);
    traits.isNotRun
        = head.headers.contains(wire::notExecuted) || (traits.isMisdirected && !traits.isStamped);
    traits.hasContentEncoding = head.headers.contains("Content-Encoding");
    traits.retryAfter = parseRetryAfter(head);
    int version = 0;
    if (absl::SimpleAtoi(head.headers.value(wire::weightVersions), &version) && version > 0)
        traits.version = version;
    return traits;
}

bool announcesLeaving(const net::Headers &headers, const core::EndpointId &endpoint)
{
    return headers.value(wire::serverLeaving) == "1" && !isFromOtherEndpoint(headers, endpoint);
}

std::optional<fleet::RequestRate> parseRefusalLimit(const net::Headers &headers,
                                                    const core::EndpointId &endpoint)
{
    if (isFromOtherEndpoint(headers, endpoint))
        return std::nullopt;
    return parseRequestRate(headers.value(wire::serverBrittle));
}

AnnouncedLimit parseRequestLimit(int status, const net::Headers &headers,
                                 const core::EndpointId &endpoint)
{
    AnnouncedLimit limit;
    const bool isSenderUnknown = status == misdirectedStatus && !headers.contains(wire::instanceId);
    if (!headers.contains(wire::serverLimit) || isSenderUnknown
        || isFromOtherEndpoint(headers, endpoint))
        return limit;
    const std::string fieldName = absl::AsciiStrToLower(wire::serverLimit);
    for (const auto &[name, value] : headers.fields()) {
        if (absl::AsciiStrToLower(name) != fieldName)
            continue;
        const auto rate = parseRequestRate(value);
        if (rate && (!limit.rate || *rate < *limit.rate))
            limit.rate = rate;
    }
    limit.isMalformed = !limit.rate;
    return limit;
}

net::Headers forwardedResponseHeaders(const http::MessageHead &head)
{
    const std::set<std::string> dropped = hopByHopNames(head.headers);
    net::Headers headers;
    for (const auto &[name, value] : head.headers.fields()) {
        if (!dropped.contains(absl::AsciiStrToLower(name)))
            headers.add(name, value);
    }
    return headers;
}

const char *requestIdField()
{
    return wire::requestId;
}

net::Headers retryAfterFields(core::Duration delay)
{
    return {{wire::retryAfter, absl::StrFormat("%.3f", core::toSeconds(delay))}};
}

bool isReadinessRequest(const http::MessageHead &head)
{
    return head.target == wire::readinessPath;
}

net::HttpRequest makeOrderRequest(const Order &order)
{
    // "expected_rev" is the order revision of the endpoint, not a revision of the store.
    nlohmann::json body {
        {"operation", order.operation == OrderOperation::Load ? "load" : "unload"},
        {"model", order.model.value()},
        {"expected_rev", order.orderRevision},
        {"holder", order.holder.value()},
        {"fencing_token", order.token.value()},
    };
    if (!order.adapter.isEmpty())
        body["adapter"] = order.adapter.value();
    if (order.version)
        body["version"] = *order.version;
    net::HttpRequest request;
    request.method = "POST";
    request.path = wire::orderPath;
    request.headers.add("Content-Type", "application/json");
    request.headers.add(wire::expectInstance, order.endpoint.value());
    request.body = body.dump();
    return request;
}

OrderResult orderResultFromStatus(int status)
{
    switch (status) {
    case 202:
        return OrderResult::Accepted;
    case 200:
        return OrderResult::AlreadyApplied;
    case 409:
        return OrderResult::Conflict;
    default:
        return OrderResult::Refused;
    }
}

net::HttpRequest makeHealthRequest(const core::EndpointId &endpoint, const std::string &path)
{
    net::HttpRequest request;
    request.path = path;
    request.headers.add(wire::expectInstance, endpoint.value());
    return request;
}

net::HttpRequest makeReportRequest(const core::EndpointId &endpoint)
{
    net::HttpRequest request;
    request.path = wire::reportPath;
    request.headers.add(wire::expectInstance, endpoint.value());
    return request;
}

} // namespace jackdawlead::platform
