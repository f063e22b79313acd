#include "gateway/customers/quotamessages.h"

#include "core/error.h"
#include "gateway/messageencoding.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace jackdawlead::gateway::customers {

namespace {

using decisions::quota::QuotaAnswer;
using decisions::quota::QuotaGrant;
using decisions::quota::QuotaReport;
using decisions::quota::QuotaUse;
using nlohmann::json;

constexpr char quotaField[] = "quota";
constexpr char hostField[] = "host";

// Most values are whole tokens, which take half the bytes as integers.
json encodeNumber(double value)
{
    constexpr double maxWhole = 1e15;
    if (std::abs(value) < maxWhole && std::trunc(value) == value)
        return static_cast<std::int64_t>(value);
    return value;
}

/// The order of a use's amounts in messages.
constexpr double QuotaUse::*amountsOfUse[]
    = {&QuotaUse::spentTotal,      &QuotaUse::returnedTotal,
       &QuotaUse::refundedTotal,   &QuotaUse::held,
       &QuotaUse::waiting,         &QuotaUse::smallestWaiting,
       &QuotaUse::demandPerSecond, &QuotaUse::wanted,
       &QuotaUse::meanCost};
static_assert(sizeof(QuotaUse) == std::size(amountsOfUse) * sizeof(double),
              "an amount would not be sent");

/// Reads numbers of a flat list and records whether all of them can be amounts.
class AmountReader
{
public:
    double read(const json &value)
    {
        const auto amount = value.get<double>();
        m_isValid &= std::isfinite(amount) && amount >= 0;
        return amount;
    }
    bool isValid() const { return m_isValid; }

private:
    bool m_isValid = true;
};

// Flat lists, because the number of values causes most of a message's cost: the incarnation, the
// token, the last answer, the share; then the name and the amounts of each customer.
json encodeReport(const QuotaReport &report)
{
    json value = json::array({report.incarnation.count(), report.token.value(), report.lastAnswer,
                              encodeNumber(report.share)});
    for (const auto &[customer, use] : report.uses) {
        value.push_back(customer.value());
        for (const auto amount : amountsOfUse)
            value.push_back(encodeNumber(use.*amount));
    }
    return value;
}

std::optional<QuotaReport> decodeReport(const json &value)
{
    QuotaReport report;
    AmountReader amounts;
    std::size_t at = 0;
    report.incarnation = fleet::StartTime(value.at(at++).get<std::int64_t>());
    report.token = core::FencingToken(value.at(at++).get<std::uint64_t>());
    report.lastAnswer = value.at(at++).get<std::uint64_t>();
    report.share = amounts.read(value.at(at++));
    while (at < value.size()) {
        QuotaUse &use = report.uses[core::CustomerId(value.at(at++).get<std::string>())];
        for (const auto amount : amountsOfUse)
            use.*amount = amounts.read(value.at(at++));
    }
    return amounts.isValid() ? std::optional(std::move(report)) : std::nullopt;
}

std::int64_t encodeFillTime(core::Duration time)
{
    constexpr std::chrono::milliseconds longest = std::chrono::hours(1);
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(
        std::clamp<core::Duration>(time, core::Duration::zero(), longest));
    return rounded.count();
}

// The token, the number, the share; then the name, the allowance, whether the quota is used up and
// the fill time in milliseconds of each customer.
json encodeAnswer(const QuotaAnswer &answer)
{
    json value = json::array({answer.token.value(), answer.number, encodeNumber(answer.share)});
    for (const auto &[customer, grant] : answer.grants) {
        value.push_back(customer.value());
        value.push_back(encodeNumber(grant.tokens));
        value.push_back(grant.isExhausted);
        value.push_back(encodeFillTime(grant.fillTime));
    }
    return value;
}

std::optional<QuotaAnswer> decodeAnswer(const json &value)
{
    QuotaAnswer answer;
    AmountReader amounts;
    std::size_t at = 0;
    answer.token = core::FencingToken(value.at(at++).get<std::uint64_t>());
    answer.number = value.at(at++).get<std::uint64_t>();
    answer.share = amounts.read(value.at(at++));
    while (at < value.size()) {
        QuotaGrant &grant = answer.grants[core::CustomerId(value.at(at++).get<std::string>())];
        grant.tokens = amounts.read(value.at(at++));
        grant.isExhausted = value.at(at++).get<bool>();
        grant.fillTime = std::chrono::milliseconds(value.at(at++).get<std::uint32_t>());
    }
    return amounts.isValid() ? std::optional(std::move(answer)) : std::nullopt;
}

absl::Status malformed(const char *cause)
{
    return core::makeError(absl::StatusCode::kInvalidArgument, "read quota message", "peer", cause);
}

} // namespace

void encodeInto(json &message, const std::optional<QuotaReport> &report)
{
    if (report)
        message[quotaField] = encodeReport(*report);
}

void encodeInto(json &message, const std::optional<QuotaAnswer> &answer)
{
    if (answer)
        message[quotaField] = encodeAnswer(*answer);
}

std::optional<QuotaReport> decodeQuotaReport(const json &message)
{
    const auto value = message.find(quotaField);
    return value == message.end() ? std::nullopt : decodeReport(*value);
}

std::optional<QuotaAnswer> decodeQuotaAnswer(const json &message)
{
    const auto value = message.find(quotaField);
    return value == message.end() ? std::nullopt : decodeAnswer(*value);
}

std::string encode(const QuotaCall &call)
{
    return packMessage({{hostField, call.host.value()}, {quotaField, encodeReport(call.report)}});
}

std::string encode(const QuotaAnswer &answer)
{
    return packMessage({{quotaField, encodeAnswer(answer)}});
}

absl::StatusOr<QuotaCall> decodeQuotaCall(const std::string &text)
{
    try {
        const json message = unpackMessage(text);
        auto report = decodeQuotaReport(message);
        if (!report)
            return malformed("no report");
        return QuotaCall {core::HostId(message.at(hostField).get<std::string>()),
                          *std::move(report)};
    } catch (const json::exception &error) {
        return malformed(error.what());
    }
}

absl::StatusOr<QuotaAnswer> decodeQuotaAnswer(const std::string &text)
{
    try {
        auto answer = decodeQuotaAnswer(unpackMessage(text));
        if (!answer)
            return malformed("no answer");
        return *std::move(answer);
    } catch (const json::exception &error) {
        return malformed(error.what());
    }
}

} // namespace jackdawlead::gateway::customers
