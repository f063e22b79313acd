#include "gateway/peerstreams.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <string>

namespace jackdawlead::gateway {

namespace {

using nlohmann::json;

constexpr char fieldName[] = "streams";
constexpr int maxRequests = 100'000;
constexpr int maxPromptTokens = 1'000'000;
constexpr int maxPauseMicroseconds = 60'000'000;
constexpr int maxPermille = 1000;

long long microseconds(core::Duration duration)
{
    return duration.count();
}

int boundedInteger(const json &value, int most)
{
    return static_cast<int>(std::clamp(value.get<long long>(), 0LL, static_cast<long long>(most)));
}

core::Duration pauseFrom(const json &value)
{
    return std::chrono::microseconds(boundedInteger(value, maxPauseMicroseconds));
}

} // namespace

// Flat lists: the id, the requests, the tokens, the pause in microseconds or 0.
void encodeInto(json &message, const std::optional<StreamReports> &streams)
{
    if (!streams)
        return;
    json list = json::array();
    for (const auto &[id, report] : *streams) {
        list.push_back(id.value());
        list.push_back(report.requests);
        list.push_back(report.promptTokens);
        list.push_back(microseconds(report.pause.value_or(core::Duration::zero())));
    }
    message[fieldName] = std::move(list);
}

std::optional<StreamReports> decodeStreamReports(const json &message)
{
    const auto list = message.find(fieldName);
    if (list == message.end())
        return std::nullopt;
    StreamReports reports;
    for (std::size_t at = 0; at < list->size(); at += 4) {
        StreamReport report;
        report.requests = boundedInteger(list->at(at + 1), maxRequests);
        report.promptTokens = boundedInteger(list->at(at + 2), maxPromptTokens);
        if (const core::Duration pause = pauseFrom(list->at(at + 3));
            pause > core::Duration::zero())
            report.pause = pause;
        reports[core::EndpointId(list->at(at).get<std::string>())] = report;
    }
    return reports;
}

// Four lists; that of the shares holds position and share of the few endpoints that have one.
void encodeInto(json &message, const std::optional<StreamView> &streams)
{
    if (!streams)
        return;
    json pauses = json::array();
    for (const core::Duration pause : streams->pauses)
        pauses.push_back(microseconds(pause));
    json shares = json::array();
    for (std::size_t at = 0; at < streams->shares.size(); ++at) {
        if (const auto permille = static_cast<int>(streams->shares[at] * maxPermille);
            permille > 0) {
            shares.push_back(at);
            shares.push_back(permille);
        }
    }
    message[fieldName]
        = {streams->requests, streams->promptTokens, std::move(pauses), std::move(shares)};
}

std::optional<StreamView> decodeStreamView(const json &message)
{
    const auto lists = message.find(fieldName);
    if (lists == message.end())
        return std::nullopt;
    StreamView view;
    for (const json &requests : lists->at(0))
        view.requests.push_back(boundedInteger(requests, maxRequests));
    for (const json &tokens : lists->at(1))
        view.promptTokens.push_back(boundedInteger(tokens, maxPromptTokens));
    for (const json &pause : lists->at(2))
        view.pauses.push_back(pauseFrom(pause));
    view.requests.resize(view.promptTokens.size());
    view.shares.resize(view.promptTokens.size());
    view.pauses.resize(view.promptTokens.size());
    const json &shares = lists->at(3);
    for (std::size_t at = 0; at < shares.size(); at += 2) {
        const auto position = shares.at(at).get<std::size_t>();
        const int permille = boundedInteger(shares.at(at + 1), maxPermille);
        if (position < view.shares.size())
            view.shares[position] = static_cast<double>(permille) / maxPermille;
    }
    return view;
}

} // namespace jackdawlead::gateway
