#include "core/error.h"

#include "core/text.h"

#include <absl/strings/cord.h>

namespace jackdawlead::core {

namespace {

constexpr char stepUrl[] = "jackdawlead.dev/step";
constexpr char peerUrl[] = "jackdawlead.dev/peer";
constexpr char retryAfterUrl[] = "jackdawlead.dev/retry-after-us";
constexpr char outcomeUrl[] = "jackdawlead.dev/outcome";

std::string payload(const absl::Status &status, const char *url)
{
    const auto cord = status.GetPayload(url);
    return cord ? std::string(*cord) : std::string();
}

} // namespace

absl::Status makeError(absl::StatusCode code, std::string_view step, std::string_view peer,
                       std::string_view message)
{
    absl::Status status(code, toAbsl(message));
    status.SetPayload(stepUrl, absl::Cord(toAbsl(step)));
    status.SetPayload(peerUrl, absl::Cord(toAbsl(peer)));
    return status;
}

absl::Status withRetryAfter(absl::Status status, Duration delay)
{
    status.SetPayload(retryAfterUrl, absl::Cord(std::to_string(delay.count())));
    return status;
}

absl::Status withOutcome(absl::Status status, Outcome outcome)
{
    status.SetPayload(outcomeUrl, absl::Cord(toAbsl(toString(outcome))));
    return status;
}

std::string stepOf(const absl::Status &status)
{
    return payload(status, stepUrl);
}

std::string peerOf(const absl::Status &status)
{
    return payload(status, peerUrl);
}

std::optional<Duration> retryAfterOf(const absl::Status &status)
{
    const std::string text = payload(status, retryAfterUrl);
    if (text.empty())
        return std::nullopt;
    return Duration(std::stoll(text));
}

Outcome outcomeOf(const absl::Status &status)
{
    const std::string text = payload(status, outcomeUrl);
    if (text == toString(Outcome::Completed))
        return Outcome::Completed;
    if (text == toString(Outcome::NotRun))
        return Outcome::NotRun;
    return Outcome::Unknown;
}

} // namespace jackdawlead::core
