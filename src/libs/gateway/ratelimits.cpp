#include "gateway/ratelimits.h"

#include "core/text.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace jackdawlead::gateway {

namespace {

constexpr core::Duration sweepPeriod = std::chrono::seconds(1);
// An endpoint may send a malformed value in each of its responses.
constexpr observability::LogRateLimits malformedLineLimits {.linesPerSecond = 0.2, .burst = 3};
// An older count of requests that wait elsewhere would refuse requests without need.
constexpr core::Duration maxWaitingAge = std::chrono::seconds(1);
// Without it, the next request after each refusal would wait and be late.
constexpr core::Duration overloadRetention = std::chrono::seconds(2);

constexpr const char *nameOf(decisions::LimitChange change)
{
    switch (change) {
    case decisions::LimitChange::Announced:
        return "announced";
    case decisions::LimitChange::Changed:
        return "changed";
    case decisions::LimitChange::Lifted:
        return "lifted";
    case decisions::LimitChange::None:
        break;
    }
    return "unchanged";
}

/// Time between two requests of all daemons together.
core::Duration intervalOf(fleet::RequestRate rate)
{
    const fleet::RequestRate used = std::max(rate, decisions::PermitIssuer::minRate);
    return core::scaled(std::chrono::seconds(1), 1 / used.perSecond);
}

} // namespace

RateLimits::RateLimits(net::TimerService &timers, observability::GatewayMetrics &metrics,
                       Handlers handlers)
    : m_timers(timers)
    , m_metrics(metrics)
    , m_handlers(std::move(handlers))
    , m_malformedLines(malformedLineLimits)
{
    m_sweepTimer = timers.every(sweepPeriod, [this] { removeExpired(); });
}

void RateLimits::recordResponse(const core::EndpointId &id, fleet::StartTime incarnation,
                                const platform::AnnouncedLimit &limit, bool isOwnAnswer,
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
        recordOwnStatement(
            id, m_known.recordAnnounced(id, incarnation, *limit.rate, sentAt, m_timers.now()));
    else if (isOwnAnswer && m_known.find(id, incarnation) != nullptr)
        recordOwnStatement(id, m_known.recordUnlimited(id, incarnation, sentAt));
}

void RateLimits::recordOwnStatement(const core::EndpointId &id, decisions::LimitChange change)
{
    m_learned[id] = m_known.all().at(id);
    handleChange(id, change, "its own response");
    if (change != decisions::LimitChange::None)
        scheduleReport();
}

void RateLimits::scheduleReport()
{
    m_isReportDue = true;
    m_handlers.onReportDue();
}

void RateLimits::applyUpdates(const Limits &limits, std::string_view source)
{
    for (const auto &[id, limit] : limits) {
        const fleet::Endpoint *endpoint = m_handlers.findEndpoint(id);
        // Another daemon may learn of the new incarnation later.
        const bool isEnded = endpoint != nullptr && limit.incarnation < endpoint->startTime;
        if (!isEnded)
            handleChange(id, m_known.applyUpdate(id, limit), source);
    }
}

void RateLimits::handleChange(const core::EndpointId &id, decisions::LimitChange change,
                              std::string_view source)
{
    if (change == decisions::LimitChange::None)
        return;
    const decisions::EndpointLimit &limit = m_known.all().at(id);
    const auto age
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - limit.statedAt);
    std::string rate;
    if (limit.rate)
        rate = absl::StrCat(", ", limit.rate->perSecond,
                            " requests per second, own share without a coordinator one in ",
                            core::toSeconds(ownInterval(*limit.rate)), " s");
    observability::log(
        {.step = "request limit",
         .message = absl::StrCat(nameOf(change), rate, ", from ", core::toAbsl(source), ", stated ",
                                 age.count(), " ms ago"),
         .peer = id.value()});
    updateMetrics();
    if (change == decisions::LimitChange::Changed)
        return;
    dropPermits(id);
    if (change == decisions::LimitChange::Announced)
        m_handlers.onLimitAnnounced(id);
}

void RateLimits::updateEndpoint(const fleet::Endpoint &endpoint)
{
    const auto known = m_known.all().find(endpoint.id);
    if (known != m_known.all().end() && known->second.incarnation < endpoint.startTime)
        removeEndpoint(endpoint.id);
}

void RateLimits::removeEndpoint(const core::EndpointId &id)
{
    m_known.remove(id);
    m_learned.erase(id);
    dropPermits(id);
    updateMetrics();
}

void RateLimits::dropPermits(const core::EndpointId &id)
{
    m_permits.clear(id);
    m_waitingElsewhere.erase(id);
    m_refusedAt.erase(id);
}

// Another daemon may still report a limit of an endpoint that is gone here already.
void RateLimits::removeExpired()
{
    const core::TimePoint now = m_timers.now();
    m_known.removeExpired(now);
    std::vector<core::EndpointId> gone;
    for (const auto &[id, limit] : m_known.all()) {
        if (m_handlers.findEndpoint(id) == nullptr
            && now - limit.statedAt > decisions::EndpointLimits::liftedRetention)
            gone.push_back(id);
    }
    for (const core::EndpointId &id : gone)
        removeEndpoint(id);
}

void RateLimits::updateMetrics()
{
    const auto limited = std::ranges::count_if(
        m_known.all(), [](const auto &entry) { return entry.second.rate.has_value(); });
    m_metrics.setLimitedEndpoints(static_cast<double>(limited));
}

std::optional<fleet::RequestRate> RateLimits::limitOf(const fleet::Endpoint &endpoint) const
{
    const decisions::EndpointLimit *limit = m_known.find(endpoint.id, endpoint.startTime);
    return limit == nullptr ? std::nullopt : limit->rate;
}

core::Duration RateLimits::ownInterval(fleet::RequestRate rate) const
{
    return intervalOf(rate) * m_daemonCount;
}

bool RateLimits::hasPermit(const fleet::Endpoint &endpoint)
{
    const auto limit = limitOf(endpoint);
    if (!limit || m_permits.hasIssued(endpoint.id, m_timers.now()))
        return true;
    return usesOwnPermits()
        && m_permits.hasOwn(endpoint.id, ownInterval(*limit), m_handlers.uniformRandom(),
                            m_timers.now());
}

void RateLimits::takePermit(const fleet::Endpoint &endpoint)
{
    const auto limit = limitOf(endpoint);
    if (!limit)
        return;
    m_permits.take(endpoint.id, ownInterval(*limit), m_timers.now());
    m_metrics.recordLimitedSend();
}

void RateLimits::addWaiting(const core::EndpointId &id)
{
    const bool isFirst = m_permits.waiting(id) == 0;
    m_permits.addWaiting(id);
    if (isFirst)
        scheduleReport();
}

void RateLimits::recordRefusal(const core::EndpointId &id)
{
    m_permits.recordPreference(id);
    m_refusedAt[id] = m_timers.now();
}

RateLimits::Queue RateLimits::queueFor(const fleet::Endpoint &endpoint) const
{
    const auto limit = limitOf(endpoint);
    if (!limit)
        return {};
    Queue queue;
    queue.ahead = m_permits.waiting(endpoint.id);
    core::Duration interval = ownInterval(*limit);
    if (!usesOwnPermits()) {
        interval = intervalOf(*limit);
        const auto elsewhere = m_waitingElsewhere.find(endpoint.id);
        if (elsewhere != m_waitingElsewhere.end()
            && m_timers.now() - elsewhere->second.knownAt < maxWaitingAge)
            queue.ahead += elsewhere->second.requests;
    }
    queue.expectedWait = interval * (queue.ahead + 1);
    const auto refused = m_refusedAt.find(endpoint.id);
    queue.isOverloaded = queue.ahead > 0
        || (refused != m_refusedAt.end() && m_timers.now() - refused->second < overloadRetention);
    return queue;
}

RateLimits::Limits RateLimits::takeLearned()
{
    return std::exchange(m_learned, {});
}

void RateLimits::restoreLearned(const Limits &limits)
{
    m_learned.insert(limits.begin(), limits.end());
}

std::map<core::EndpointId, decisions::PermitDemand> RateLimits::takeDemand()
{
    m_isReportDue = false;
    return m_permits.takeDemand(m_timers.now());
}

void RateLimits::applyGrants(const std::map<core::EndpointId, decisions::PermitGrant> &grants,
                             core::TimePoint reportedAt)
{
    for (const auto &[id, grant] : grants) {
        m_permits.addIssued(id, grant.count, reportedAt + decisions::RequestPermits::lifetime);
        m_waitingElsewhere[id] = {grant.waitingElsewhere, m_timers.now()};
    }
}

} // namespace jackdawlead::gateway
