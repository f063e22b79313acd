#include "gateway/ratelimits.h"

#include "core/text.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jackdawlead::gateway {

namespace {

constexpr core::Duration sweepPeriod = std::chrono::seconds(1);
// An endpoint may send a malformed value in each of its responses.
constexpr observability::LogRateLimits malformedLineLimits {.linesPerSecond = 0.2, .burst = 3};

constexpr const char *nameOf(decisions::LimitChange change)
{
    switch (change) {
    case decisions::LimitChange::Named:
        return "named";
    case decisions::LimitChange::Changed:
        return "changed";
    case decisions::LimitChange::Lifted:
        return "lifted";
    case decisions::LimitChange::None:
        break;
    }
    return "unchanged";
}

} // namespace

RateLimits::RateLimits(net::TimerService &timers, observability::GatewayMetrics &metrics)
    : m_timers(timers)
    , m_metrics(metrics)
    , m_malformedLines(malformedLineLimits)
{
    m_sweepTimer = timers.every(sweepPeriod, [this] { m_known.removeExpired(m_timers.now()); });
}

void RateLimits::recordResponse(const core::EndpointId &id, fleet::StartTime incarnation,
                                const platform::NamedLimit &limit, bool isStamped,
                                core::TimePoint sentAt)
{
    if (limit.isMalformed) {
        if (m_malformedLines.tryTake(m_timers.now()))
            observability::log({.level = observability::LogLevel::Warn,
                                .step = "request limit",
                                .message = "malformed value ignored",
                                .peer = id.value()});
        return;
    }
    if (limit.rate)
        logChange(id, m_known.recordNamed(id, incarnation, *limit.rate, sentAt, m_timers.now()),
                  "its own response");
    else if (isStamped)
        logChange(id, m_known.recordUnlimited(id, incarnation, sentAt), "its own response");
}

void RateLimits::removeEndpoint(const core::EndpointId &id)
{
    m_known.remove(id);
    updateMetrics();
}

void RateLimits::logChange(const core::EndpointId &id, decisions::LimitChange change,
                           std::string_view source)
{
    if (change == decisions::LimitChange::None)
        return;
    const decisions::EndpointLimit &limit = m_known.all().at(id);
    const std::string rate
        = limit.rate ? absl::StrCat(", ", limit.rate->perSecond, " requests per second") : "";
    const auto age
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - limit.statedAt);
    observability::log(
        {.step = "request limit",
         .message = absl::StrCat(nameOf(change), rate, ", from ", core::toAbsl(source), ", stated ",
                                 age.count(), " ms ago"),
         .peer = id.value()});
    updateMetrics();
}

void RateLimits::updateMetrics()
{
    const auto limited = std::ranges::count_if(
        m_known.all(), [](const auto &entry) { return entry.second.rate.has_value(); });
    m_metrics.setLimitedEndpoints(static_cast<double>(limited));
}

} // namespace jackdawlead::gateway
