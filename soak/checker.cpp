#include "checker.h"

#include <algorithm>

namespace jackdawlead::soak {

namespace {

using std::chrono::milliseconds;

/// If the soak's heartbeats are further apart than this, all measured times are inexact.
constexpr core::Duration maxHeartbeatInterval = milliseconds(250);
/// An order sent before its process was frozen arrives within this time after it resumed.
constexpr core::Duration resumeSlack = milliseconds(1000);
/// A daemon keeps a request limit from this time after it received it.
constexpr core::Duration noticeTime = milliseconds(500);
constexpr core::Duration limitWindow = std::chrono::seconds(4);
constexpr double limitFactor = 1.5;
constexpr double limitSlack = 5;

} // namespace

std::string nameOf(Check check)
{
    static const std::map<Check, std::string> names {
        {Check::OwnAnswer, "own-answer"},
        {Check::WholeAnswer, "whole-answer"},
        {Check::RunOnce, "run-once"},
        {Check::NotRun, "not-run"},
        {Check::StreamEvents, "stream-events"},
        {Check::TakeUp, "take-up"},
        {Check::LeftEndpoint, "left-endpoint"},
        {Check::LeftCaller, "left-caller"},
        {Check::Deadline, "deadline"},
        {Check::ConfigurationOrder, "configuration-order"},
        {Check::PlannedStop, "planned-stop"},
        {Check::OneHolder, "one-holder"},
        {Check::RequestLimit, "request-limit"},
        {Check::InTime, "in-time"},
        {Check::AdapterVersion, "adapter-version"},
        {Check::LostAnswer, "lost-answer"},
        {Check::ProcessUp, "process-up"},
        {Check::ServedWithoutLinks, "served-without-links"},
    };
    return names.at(check);
}

Checker::Checker(const Bounds &bounds)
    : m_bounds(bounds)
{
    for (const Check check : allChecks)
        m_counts[check] = 0;
}

void Checker::processStarted(ProcessIncarnation incarnation, core::TimePoint at)
{
    m_processes[incarnation].disturbedUntil = at;
}

void Checker::stopRequested(ProcessIncarnation incarnation, core::TimePoint at)
{
    m_processes[incarnation].stopRequestedAt = at;
}

void Checker::processKilled(ProcessIncarnation incarnation, core::TimePoint at)
{
    m_processes[incarnation].isKilled = true;
    m_kills.push_back({incarnation, at});
}

void Checker::processFrozen(ProcessIncarnation incarnation, bool isFrozen, core::TimePoint at)
{
    m_processes[incarnation].isFrozen = isFrozen;
    m_processes[incarnation].disturbedUntil = m_processes[incarnation].frozenUntil = m_resumedAt
        = at;
}

void Checker::processEnded(ProcessIncarnation incarnation, int code)
{
    const ProcessState &state = m_processes.at(incarnation);
    // The grace time continues while a process is frozen.
    const bool wasFrozenInStop
        = state.stopRequestedAt && state.frozenUntil > *state.stopRequestedAt;
    if (state.isKilled || wasFrozenInStop)
        return;
    count(Check::ProcessUp);
    if (!state.stopRequestedAt || code != 0)
        m_violations.push_back({Check::ProcessUp,
                                "process exited unexpectedly with code " + std::to_string(code),
                                incarnation});
}

void Checker::storeDisturbed(bool isDisturbed, core::TimePoint at)
{
    m_isStoreDisturbed = isDisturbed;
    m_storeDisturbedUntil = at;
    for (auto &[endpoint, countsFrom] : m_leavingEndpoints) {
        if (countsFrom > at)
            countsFrom = at + m_bounds.stableWindow;
    }
}

void Checker::recordHeartbeat(core::TimePoint at)
{
    if (m_lastHeartbeatAt != core::TimePoint {} && at - m_lastHeartbeatAt > maxHeartbeatInterval) {
        m_stalledUntil = at;
        ++m_stalls;
    }
    m_lastHeartbeatAt = at;
}

void Checker::configurationWritten(ConfigurationVersion version,
                                   const std::vector<std::string> &added,
                                   const std::vector<std::string> &removed, core::TimePoint at)
{
    for (const std::string &route : added)
        m_routes[route].added = version;
    for (const std::string &route : removed)
        m_routes.at(route).removed = version;
    m_acknowledgedVersions.emplace_back(version, at);
}

void Checker::endpointLeaving(const core::EndpointId &endpoint, core::TimePoint at)
{
    const core::TimePoint stableFrom
        = (m_isStoreDisturbed ? at : m_storeDisturbedUntil) + m_bounds.stableWindow;
    m_leavingEndpoints.emplace(endpoint, std::max(at, stableFrom));
}

void Checker::endpointLimited(const core::EndpointId &endpoint, std::optional<double> perSecond,
                              core::TimePoint at)
{
    m_limits.erase(endpoint);
    if (perSecond)
        m_limits[endpoint] = {*perSecond, at, {}, {}};
}

void Checker::limitAnnounced(const core::RequestId &id, const core::EndpointId &endpoint,
                             core::TimePoint at)
{
    const auto limit = m_limits.find(endpoint);
    const auto request = m_requests.find(id);
    if (limit != m_limits.end() && request != m_requests.end())
        limit->second.announcedTo.emplace(request->second.sent.incarnation, at);
}

void Checker::checkLimit(const Request &request, const core::EndpointId &endpoint,
                         core::TimePoint at)
{
    const auto found = m_limits.find(endpoint);
    if (found == m_limits.end())
        return;
    count(Check::RequestLimit);
    Limit &limit = found->second;
    if (at - limit.since < m_bounds.stableWindow)
        return;
    const auto named = limit.announcedTo.find(request.sent.incarnation);
    if (named == limit.announcedTo.end() || at - named->second < noticeTime)
        return;
    limit.arrivals.emplace_back(at, request.sent.incarnation);
    // Daemons that were disturbed meanwhile are excused.
    std::erase_if(limit.arrivals, [&](const auto &arrival) {
        return at - arrival.first > limitWindow
            || !isUndisturbed(m_processes.at(arrival.second), at);
    });
    const double allowed
        = limitFactor * limit.perSecond * core::toSeconds(limitWindow) + limitSlack;
    if (static_cast<double>(limit.arrivals.size()) > allowed)
        addViolation(Check::RequestLimit, request,
                     "is number " + std::to_string(limit.arrivals.size()) + " in 4 s at "
                         + endpoint.value() + " with a limit of "
                         + std::to_string(limit.perSecond));
}

void Checker::endpointRemoved(const core::EndpointId &endpoint)
{
    m_leavingEndpoints.erase(endpoint);
    m_limits.erase(endpoint);
}

bool Checker::isUndisturbed(ProcessIncarnation incarnation, core::TimePoint at) const
{
    return isUndisturbed(m_processes.at(incarnation), at);
}

bool Checker::isUndisturbed(const ProcessState &process, core::TimePoint at) const
{
    const core::TimePoint undisturbedSince
        = std::max({process.disturbedUntil, m_storeDisturbedUntil, m_stalledUntil});
    return !process.isFrozen && !process.isKilled && !process.stopRequestedAt && !m_isStoreDisturbed
        && at - undisturbedSince > m_bounds.stableWindow;
}

void Checker::addViolation(Check check, const Request &request, const std::string &description)
{
    m_violations.push_back({check,
                            request.sent.id.value() + " on " + request.sent.route + " at process "
                                + std::to_string(request.sent.incarnation.value()) + ": "
                                + description,
                            request.sent.incarnation});
}

void Checker::requestSent(const SentRequest &request, core::TimePoint at)
{
    ProcessState &process = m_processes.at(request.incarnation);
    if (isUndisturbed(process, at)) {
        for (const auto &[version, acknowledgedAt] : m_acknowledgedVersions) {
            if (at - acknowledgedAt > m_bounds.configuration)
                process.minVersion = std::max(process.minVersion, version);
        }
    }
    Request &recorded = m_requests[request.id] = {request, at, process.minVersion};
    assignToInterruption(recorded);
}

void Checker::requestReceived(const core::RequestId &id, const core::EndpointId &endpoint,
                              core::Duration deadline, core::TimePoint at)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    Request &request = found->second;
    if (areLinksInterrupted(request.sent.incarnation, at))
        request.forwardedAt = at;
    if (!isUndisturbed(m_processes.at(request.sent.incarnation), at))
        return;
    checkEndpoint(request, endpoint, at);
    checkLimit(request, endpoint, at);
    if (request.abandonedAt && at - *request.abandonedAt > answerSlack)
        addViolation(Check::LeftCaller, request,
                     "reached " + endpoint.value() + " after its caller disconnected");
    // The process may have read a long request only when it resumed, several seconds before.
    if (m_processes.at(request.sent.incarnation).frozenUntil > request.sentAt)
        return;
    count(Check::Deadline);
    if (deadline > request.sentAt + request.sent.deadline - at + answerSlack)
        addViolation(Check::Deadline, request,
                     "was forwarded with a deadline of " + std::to_string(core::toSeconds(deadline))
                         + " s, " + std::to_string(core::toSeconds(at - request.sentAt))
                         + " s after it was sent with a deadline of "
                         + std::to_string(core::toSeconds(request.sent.deadline)) + " s");
}

void Checker::checkEndpoint(const Request &request, const core::EndpointId &endpoint,
                            core::TimePoint at)
{
    // The bound is shorter than the stable window, so that an undisturbed daemon had all of that
    // time.
    const bool isAnyPastBound = std::ranges::any_of(
        m_leavingEndpoints, [&](const auto &left) { return at - left.second > m_bounds.drain; });
    if (isAnyPastBound)
        count(Check::LeftEndpoint);
    const auto left = m_leavingEndpoints.find(endpoint);
    if (left != m_leavingEndpoints.end() && at - left->second > m_bounds.drain)
        addViolation(Check::LeftEndpoint, request,
                     "reached " + endpoint.value() + " "
                         + std::to_string(core::toSeconds(at - left->second))
                         + " s after it began to leave");
}

void Checker::setLatestEndpoint(Request &request, const core::EndpointId &endpoint)
{
    request.latestEndpoint = endpoint;
    request.isInterruptedThere = wasOnItsWay(request);
    request.isInterrupted |= request.isInterruptedThere;
}

void Checker::requestAccepted(const core::RequestId &id, const core::EndpointId &endpoint)
{
    if (const auto request = m_requests.find(id); request != m_requests.end())
        setLatestEndpoint(request->second, endpoint);
}

void Checker::requestRan(const core::RequestId &id, const core::EndpointId &endpoint)
{
    count(Check::RunOnce);
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        m_violations.push_back(
            {Check::RunOnce, "unknown request ran: " + id.value(), ProcessIncarnation {}});
        return;
    }
    Request &request = found->second;
    ++request.runs;
    setLatestEndpoint(request, endpoint);
    if (request.runs > 1 && !isRepeatable(request.sent.kind))
        addViolation(Check::RunOnce, request, "ran a second time, at " + endpoint.value());
    if (request.isReportedNotRun)
        addViolation(Check::NotRun, request, "ran after an answer that it did not run");
    const Route &route = m_routes.at(request.sent.route);
    if (route.added.value() > 1 || route.removed)
        count(Check::ConfigurationOrder);
    if (route.removed && *route.removed <= request.minVersion)
        addViolation(Check::ConfigurationOrder, request,
                     "ran on a route removed in version " + std::to_string(route.removed->value())
                         + " at a process that must use version "
                         + std::to_string(request.minVersion.value()));
    ProcessState &process = m_processes.at(request.sent.incarnation);
    process.minVersion = std::max(process.minVersion, route.added);
}

void Checker::versionAnnounced(const core::AdapterId &adapter, int version, core::TimePoint at)
{
    m_announcedVersions[adapter].emplace(version, at);
}

void Checker::adapterRan(const core::RequestId &id, const core::AdapterId &adapter, int version,
                         core::TimePoint at)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || !m_announcedVersions.contains(adapter))
        return;
    const Request &request = found->second;
    if (!isUndisturbed(m_processes.at(request.sent.incarnation), at))
        return;
    count(Check::AdapterVersion);
    const auto &announced = m_announcedVersions.at(adapter);
    const auto next = announced.upper_bound(version);
    if (next == announced.end())
        return;
    // The time counts in one stretch in which the store served.
    const core::Duration late = at - std::max(next->second, m_storeDisturbedUntil);
    if (late > m_bounds.version)
        addViolation(Check::AdapterVersion, request,
                     "ran on version " + std::to_string(version) + " of " + adapter.value() + ", "
                         + std::to_string(core::toSeconds(late)) + " s after version "
                         + std::to_string(next->first) + " was announced");
}

void Checker::answerInterrupted(const core::RequestId &id, const core::EndpointId &endpoint)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    Request &request = found->second;
    request.isInterrupted = true;
    request.isInterruptedThere |= request.latestEndpoint == endpoint;
}

void Checker::orderReceived(const core::EndpointId &endpoint, const core::HostId &holder,
                            core::FencingToken token, core::TimePoint at)
{
    if (at - m_resumedAt <= resumeSlack)
        return;
    count(Check::OneHolder);
    const std::string order = "order of " + holder.value() + " with token "
        + std::to_string(token.value()) + " at " + endpoint.value();
    if (m_tokenHolders.emplace(token, holder).first->second != holder)
        m_violations.push_back({Check::OneHolder, order + ": another holder has this token", {}});
    core::FencingToken &highest = m_highestTokens[endpoint];
    if (token < highest)
        m_violations.push_back(
            {Check::OneHolder, order + ": a higher token was received before", {}});
    highest = std::max(highest, token);
}

} // namespace jackdawlead::soak
