#include "serving/outagetask.h"

#include "observability/log.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

namespace jackdawlead::serving {

namespace {

using decisions::ApiReachability;
using nlohmann::json;

constexpr decisions::OutageLimits limits;
constexpr core::Duration tickPeriod = std::chrono::milliseconds(250);
// A report counts for 3 s; it has to be made and passed on within that time.
constexpr core::Duration checkPeriod = std::chrono::seconds(1);
constexpr core::Duration pullPeriod = std::chrono::milliseconds(500);
constexpr std::ptrdiff_t pullTargets = 2;
constexpr core::Duration activeTime = std::chrono::seconds(5);

bool isUnanswered(const absl::Status &status)
{
    return status.code() == absl::StatusCode::kUnavailable
        || status.code() == absl::StatusCode::kDeadlineExceeded
        || status.code() == absl::StatusCode::kInternal;
}

} // namespace

OutageTask::OutageTask(Context &context, PeerTask &peers, LeaseTask &lease)
    : m_context(context)
    , m_peers(peers)
    , m_lease(lease)
    , m_mode(limits)
    , m_random(std::random_device()())
{
    m_peers.server().bind(peermethods::apiStates, [this](const json &) {
        m_activeUntil = m_context.timers.now() + activeTime;
        return json {{"states", states()}};
    });
}

void OutageTask::start()
{
    m_tick = m_context.timers.every(tickPeriod, [this] { tick(); });
}

void OutageTask::fleetChanged(const FleetView &listed)
{
    std::set<core::HostId> region {m_context.settings.host};
    for (const auto &[host, entry] : listed.daemons)
        if (entry.region == m_context.settings.region)
            region.insert(host);
    m_mode.setDaemons(std::move(region));
}

void OutageTask::apiAnswered(const absl::Status &status, core::TimePoint sentAt)
{
    const bool isUp = !isUnanswered(status);
    const ApiReachability report = isUp ? ApiReachability::Reachable : ApiReachability::Unreachable;
    // An answer proves only that the object API was reachable when the call was sent.
    const core::TimePoint reportedAt = isUp ? sentAt : m_context.timers.now();
    if (m_own && reportedAt <= m_own->reportedAt)
        return;
    const bool isSame = m_own && m_own->report == report;
    m_own = decisions::ApiState {report, reportedAt, isSame ? m_own->since : reportedAt};
    m_mode.recordReport(m_context.settings.host, *m_own);
}

void OutageTask::tick()
{
    const core::TimePoint now = m_context.timers.now();
    mayDispatch();
    const bool isDown = m_own && m_own->report == ApiReachability::Unreachable;
    if (now >= m_activeUntil && m_lease.isValid() && !isDown)
        return;
    if (now >= m_nextCheck)
        checkApi();
    if (now >= m_nextPull)
        pull();
}

void OutageTask::checkApi()
{
    const core::TimePoint sentAt = m_context.timers.now();
    m_nextCheck = sentAt + checkPeriod;
    m_context.objects.read(
        objectapi::kinds::hostLeases, m_context.settings.host.value(),
        [this, sentAt](const auto &result) { apiAnswered(result.status(), sentAt); });
}

void OutageTask::pull()
{
    const core::TimePoint sentAt = m_context.timers.now();
    m_nextPull = sentAt + pullPeriod;
    const std::vector<core::HostId> peers = m_peers.usableInRegion();
    std::vector<core::HostId> chosen;
    std::ranges::sample(peers, std::back_inserter(chosen), pullTargets, m_random);
    for (const core::HostId &peer : chosen)
        if (const auto address = m_peers.addressOf(peer))
            m_peers.client().call(*address, peermethods::apiStates, json::object(),
                                  limits.maxReportAge, [this, sentAt](const auto &reply) {
                                      if (reply.ok())
                                          take(*reply, sentAt);
                                  });
}

json OutageTask::states() const
{
    const core::TimePoint now = m_context.timers.now();
    const auto ms = [now](core::TimePoint time) {
        return std::chrono::ceil<std::chrono::milliseconds>(now - time).count();
    };
    json list = json::array();
    for (const auto &[host, state] : m_mode.currentStates(now))
        // The age is rounded up and the time without a gap down, so that neither is overstated.
        list.push_back({host.value(), state.report == ApiReachability::Reachable,
                        ms(state.reportedAt), std::max<std::int64_t>(ms(state.since) - 1, 0)});
    return list;
}

void OutageTask::take(const json &reply, core::TimePoint sentAt)
{
    try {
        for (const json &entry : reply.at("states")) {
            const core::HostId host(entry.at(0).get<std::string>());
            const core::Duration age = std::chrono::milliseconds(entry.at(2).get<std::uint32_t>());
            const core::Duration lasted
                = std::chrono::milliseconds(entry.at(3).get<std::uint32_t>());
            // The reply was written after `sentAt` and before now: the age is counted from the one
            // and the time without a gap from the other, so that neither is overstated.
            const core::TimePoint reportedAt = sentAt - age;
            const core::TimePoint since = m_context.timers.now() - lasted;
            if (host != m_context.settings.host)
                m_mode.recordReport(host,
                                    {entry.at(1).get<bool>() ? ApiReachability::Reachable
                                                             : ApiReachability::Unreachable,
                                     reportedAt, since});
        }
    } catch (const json::exception &error) {
        observability::log({.level = observability::LogLevel::Warn,
                            .step = "api-states",
                            .message = error.what(),
                            .peer = "daemon"});
    }
}

bool OutageTask::mayDispatch()
{
    const core::TimePoint now = m_context.timers.now();
    return m_permit.evaluate(m_lease.isValid(), m_mode.isOutage(now), now);
}

bool OutageTask::mayObserve()
{
    const core::TimePoint now = m_context.timers.now();
    m_activeUntil = now + activeTime;
    return m_mode.isReachableSince(now, now);
}

decisions::LeaseLimits OutageTask::takerLimits() const
{
    return {.duration = m_context.settings.leaseDuration,
            .guard = m_context.settings.leaseGuard + limits.maxReportAge};
}

bool OutageTask::mayTakeOver() const
{
    const core::TimePoint now = m_context.timers.now();
    const decisions::LeaseLimits observation = takerLimits();
    return m_mode.isReachableSince(now - observation.duration - observation.guard, now);
}

} // namespace jackdawlead::serving
