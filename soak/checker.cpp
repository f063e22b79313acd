#include "checker.h"

#include "expectedbytes.h"

#include <algorithm>

namespace jackdawlead::soak {

namespace {

using std::chrono::milliseconds;

/// If the soak's heartbeats are further apart than this, all measured times are inexact.
constexpr core::Duration maxHeartbeatInterval = milliseconds(250);
/// Whatever blocked the soak may block daemons for up to this much longer.
constexpr core::Duration stallSlack = milliseconds(1000);
/// An answer may arrive this long after its time limit, and a request may arrive at an endpoint
/// this long after its caller disconnected. The deadline sent to an endpoint may exceed the time
/// left to the caller by as much.
constexpr core::Duration answerSlack = milliseconds(500);
/// A stopping process may close a connection while a request that it has not read is on its way. A
/// request that was sent longer ago than this counts as read.
constexpr core::Duration closeSlack = milliseconds(1000);
/// Requests sent at most this long after the start of a planned stop must end before the process.
constexpr core::Duration earlyStopPhase = std::chrono::seconds(3);
/// An order sent before its process was frozen arrives within this time after it resumed.
constexpr core::Duration resumeSlack = milliseconds(1000);
/// A daemon keeps a request limit from this time after it received it.
constexpr core::Duration noticeTime = milliseconds(500);
constexpr core::Duration limitWindow = std::chrono::seconds(4);
constexpr double limitFactor = 1.5;
constexpr double limitSlack = 5;
/// After this share of the grace time, requests that began early in the stop may be cut off.
constexpr double earlyGraceShare = 5.0 / 6;

bool meansNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

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
        {Check::ProcessUp, "process-up"},
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

void Checker::processKilled(ProcessIncarnation incarnation)
{
    m_processes[incarnation].isKilled = true;
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

bool Checker::isUndisturbed(const ProcessState &process, core::TimePoint at) const
{
    const core::TimePoint undisturbedSince
        = std::max({process.disturbedUntil, m_storeDisturbedUntil, m_stalledUntil});
    return !process.isFrozen && !process.isKilled && !process.stopRequestedAt && !m_isStoreDisturbed
        && at - undisturbedSince > m_bounds.stableWindow;
}

bool Checker::wasDisturbed(const ProcessState &process, core::TimePoint from) const
{
    return process.isFrozen || process.frozenUntil + m_bounds.stableWindow > from
        || m_stalledUntil + stallSlack > from;
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
    m_requests[request.id] = {request, at, process.minVersion};
}

void Checker::requestReceived(const core::RequestId &id, const core::EndpointId &endpoint,
                              core::Duration deadline, core::TimePoint at)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    const Request &request = found->second;
    if (!isUndisturbed(m_processes.at(request.sent.incarnation), at))
        return;
    checkEndpoint(request, endpoint, at);
    checkLimit(request, endpoint, at);
    if (request.abandonedAt && at - *request.abandonedAt > answerSlack)
        addViolation(Check::LeftCaller, request,
                     "reached " + endpoint.value() + " after its caller disconnected");
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

void Checker::answerInterrupted(const core::RequestId &id)
{
    if (const auto request = m_requests.find(id); request != m_requests.end())
        request->second.isInterrupted = true;
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

void Checker::requestAbandoned(const core::RequestId &id, core::TimePoint at)
{
    count(Check::LeftCaller);
    m_requests.at(id).abandonedAt = at;
}

void Checker::requestEnded(const core::RequestId &id, const ReceivedAnswer &answer,
                           core::TimePoint at)
{
    if (m_lastHeartbeatAt != core::TimePoint {})
        recordHeartbeat(at);
    Request &request = m_requests.at(id);
    if (!answer.requestId.empty() && answer.requestId != id.value())
        addViolation(Check::OwnAnswer, request, "received the answer to " + answer.requestId);
    if (!answer.stamp.empty() && answer.stamp != expectedStamp(id, answer.status))
        addViolation(Check::OwnAnswer, request,
                     std::to_string(answer.status) + " carries the stamp " + answer.stamp);
    if (answer.status == 200)
        checkSuccess(request, answer);
    if (answer.status == 404)
        checkNotFound(request);
    else if (answer.status >= 300 && answer.status < 500 && !meansNotRun(answer.status))
        addViolation(Check::OwnAnswer, request,
                     std::to_string(answer.status) + " for a valid request");
    if (meansNotRun(answer.status) && answer.isComplete) {
        count(Check::NotRun);
        request.isReportedNotRun = true;
        if (request.runs > 0)
            addViolation(Check::NotRun, request,
                         std::to_string(answer.status) + " although it had run");
    }
    checkEnd(request, answer, at);
}

void Checker::checkSuccess(const Request &request, const ReceivedAnswer &answer)
{
    count(Check::OwnAnswer);
    if (answer.requestId.empty() || answer.stamp.empty())
        addViolation(Check::OwnAnswer, request, "success without id or stamp");
    if (request.runs == 0)
        addViolation(Check::OwnAnswer, request, "success although it never ran");
    if (isStream(request.sent.kind)) {
        checkEvents(request, answer);
        return;
    }
    if (!answer.isComplete)
        return;
    count(Check::WholeAnswer);
    if (answer.body != expectedBody(request.sent.id))
        addViolation(Check::WholeAnswer, request,
                     "complete answer with a wrong body: " + answer.body);
}

void Checker::checkEvents(const Request &request, const ReceivedAnswer &answer)
{
    const SentRequest &sent = request.sent;
    const bool isTakeUp = !sent.begunBy.isEmpty();
    const Check check = isTakeUp ? Check::TakeUp : Check::StreamEvents;
    count(check);
    const core::RequestId &id = isTakeUp ? sent.begunBy : sent.id;
    const std::string expected
        = expectedEvents(id, sent.firstEvent, eventCount(id),
                         isTakeUp ? sent.softwareVersion : softwareVersionOf(answer.body));
    if (!expected.starts_with(answer.body))
        addViolation(check, request,
                     "unexpected events instead of " + expected + " received: " + answer.body);
    else if (answer.isComplete && answer.body != expected)
        addViolation(check, request, "complete stream without its last events: " + answer.body);
}

void Checker::checkNotFound(const Request &request)
{
    const Route &route = m_routes.at(request.sent.route);
    count(Check::ConfigurationOrder);
    if (request.minVersion >= route.added && !route.removed)
        addViolation(Check::ConfigurationOrder, request,
                     "404 for a route of all versions that its process may use");
    ProcessState &process = m_processes.at(request.sent.incarnation);
    // Only the removal of the route explains the 404, so the process uses that version.
    if (request.minVersion >= route.added && route.removed)
        process.minVersion = std::max(process.minVersion, *route.removed);
}

void Checker::checkEnd(const Request &request, const ReceivedAnswer &answer, core::TimePoint at)
{
    const ProcessState &process = m_processes.at(request.sent.incarnation);
    const bool isTimeOver = at - request.sentAt >= request.sent.timeLeft;
    // After its head was sent, an interrupted stream can only end incomplete. Any other request can
    // still be answered with an error.
    const bool mayBeIncomplete = isStream(request.sent.kind) && answer.status != 0
        && (request.isInterrupted || isTimeOver);
    const bool isCut = !mayBeIncomplete && (answer.status == 0 || !answer.isComplete);
    if (process.isKilled || !answer.wasConnected || wasDisturbed(process, request.sentAt))
        return;
    count(Check::InTime);
    if (at - request.sentAt > request.sent.timeLeft + answerSlack)
        addViolation(Check::InTime, request,
                     "ended after " + std::to_string(core::toSeconds(at - request.sentAt))
                         + " s, the limit is "
                         + std::to_string(core::toSeconds(request.sent.timeLeft)) + " s");
    if (process.stopRequestedAt) {
        checkPlannedStop(request, isCut, at);
        return;
    }
    if (isCut)
        addViolation(Check::InTime, request,
                     "cut off with " + std::to_string(answer.body.size()) + " bytes of status "
                         + std::to_string(answer.status) + " after "
                         + std::to_string(core::toSeconds(at - request.sentAt)) + " s");
}

void Checker::checkPlannedStop(const Request &request, bool isCut, core::TimePoint at)
{
    const core::TimePoint stopRequestedAt
        = *m_processes.at(request.sent.incarnation).stopRequestedAt;
    count(Check::PlannedStop);
    const bool isLateInGrace = request.sentAt - stopRequestedAt <= earlyStopPhase
        && at - stopRequestedAt >= core::scaled(m_bounds.grace, earlyGraceShare);
    const bool crossedClose = request.runs == 0 && at - request.sentAt <= closeSlack;
    if (isCut && !isLateInGrace && !crossedClose)
        addViolation(Check::PlannedStop, request,
                     "cut off " + std::to_string(core::toSeconds(at - stopRequestedAt))
                         + " s after SIGTERM, "
                         + std::to_string(core::toSeconds(at - request.sentAt))
                         + " s after it was sent, runs: " + std::to_string(request.runs));
}

} // namespace jackdawlead::soak
