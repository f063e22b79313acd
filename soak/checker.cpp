#include "checker.h"

#include <algorithm>
#include <functional>

namespace jackdawlead::soak {

namespace {

using std::chrono::milliseconds;

/// A turn of the soak's own loop that is later than this makes the times of all others inexact.
constexpr core::Duration longestGap = milliseconds(250);
/// What stopped the soak for a while may hold daemons up a little longer.
constexpr core::Duration gapSlack = milliseconds(1000);
/// How much later than its time an answer, or than its caller's end a request, may come.
constexpr core::Duration answerSlack = milliseconds(500);
/// A connection that a stopping process closes crosses requests that it has not read; later than
/// this after its sending a request counts as read.
constexpr core::Duration closeSlack = milliseconds(1000);
/// Requests that came this long after the start of a planned stop must end before the process.
constexpr core::Duration earlyInStop = std::chrono::seconds(3);
/// An order that was on its way when its process was frozen arrives within this time afterwards.
constexpr core::Duration thawSlack = milliseconds(1000);
/// The share of the grace time after which work that began early may be cut off.
constexpr double lastPartOfGrace = 5.0 / 6;

bool isPromiseNotRun(int status)
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
        {Check::LeftEndpoint, "left-endpoint"},
        {Check::LeftCaller, "left-caller"},
        {Check::Deadline, "deadline"},
        {Check::ConfigurationOrder, "configuration-order"},
        {Check::PlannedStop, "planned-stop"},
        {Check::OneHolder, "one-holder"},
        {Check::InTime, "in-time"},
        {Check::ProcessUp, "process-up"},
    };
    return names.at(check);
}

std::string expectedBody(const core::RequestId &id)
{
    constexpr std::size_t padding = 300;
    return "answer to " + id.value() + " " + std::string(padding, '.') + " end";
}

std::string expectedEvents(const core::RequestId &id, int from, int to)
{
    std::string text;
    for (int number = from; number <= to; ++number)
        text += "id: " + std::to_string(number) + "\ndata: " + id.value() + " "
            + std::to_string(number) + "\n\n";
    return text;
}

int eventCount(const core::RequestId &id)
{
    constexpr int least = 4;
    constexpr std::size_t range = 8;
    return least + static_cast<int>(std::hash<std::string> {}(id.value()) % range);
}

std::string expectedStamp(const core::RequestId &id, int status)
{
    return id.value() + "." + std::to_string(status);
}

Checker::Checker(const Bounds &bounds)
    : m_bounds(bounds)
{
    for (const Check check : allChecks)
        m_counts[check] = 0;
}

void Checker::processStarted(ProcessLife life, core::TimePoint at)
{
    m_lives[life].disturbedUntil = at;
}

void Checker::stopAsked(ProcessLife life, core::TimePoint at)
{
    m_lives[life].stoppedAt = at;
}

void Checker::processKilled(ProcessLife life)
{
    m_lives[life].isKilled = true;
}

void Checker::processFrozen(ProcessLife life, bool isFrozen, core::TimePoint at)
{
    m_lives[life].isFrozen = isFrozen;
    m_lives[life].disturbedUntil = m_lives[life].frozenUntil = m_thawedAt = at;
}

void Checker::processEnded(ProcessLife life, int code)
{
    const Life &state = m_lives.at(life);
    // The grace time goes on while a process is frozen.
    const bool wasFrozenInStop = state.stoppedAt && state.frozenUntil > *state.stoppedAt;
    if (state.isKilled || wasFrozenInStop)
        return;
    count(Check::ProcessUp);
    if (!state.stoppedAt || code != 0)
        m_violations.push_back({Check::ProcessUp,
                                "a process ended by itself with code " + std::to_string(code),
                                life});
}

void Checker::storeDisturbed(bool isDisturbed, core::TimePoint at)
{
    m_isStoreDisturbed = isDisturbed;
    m_storeDisturbedUntil = at;
}

void Checker::alive(core::TimePoint at)
{
    if (m_aliveAt != core::TimePoint {} && at - m_aliveAt > longestGap) {
        m_heldUpUntil = at;
        ++m_gaps;
    }
    m_aliveAt = at;
}

void Checker::configured(ConfigurationVersion version, const std::vector<std::string> &added,
                         const std::vector<std::string> &removed, core::TimePoint at)
{
    for (const std::string &route : added)
        m_routes[route].added = version;
    for (const std::string &route : removed)
        m_routes.at(route).removed = version;
    m_acknowledged.emplace_back(version, at);
}

void Checker::endpointLeft(const core::EndpointId &endpoint, core::TimePoint at)
{
    m_left.emplace(endpoint, at);
}

void Checker::endpointGone(const core::EndpointId &endpoint)
{
    m_left.erase(endpoint);
}

bool Checker::isInTouch(const Life &life, core::TimePoint at) const
{
    const core::TimePoint calmSince
        = std::max({life.disturbedUntil, m_storeDisturbedUntil, m_heldUpUntil});
    return !life.isFrozen && !life.isKilled && !life.stoppedAt && !m_isStoreDisturbed
        && at - calmSince > m_bounds.stableWindow;
}

bool Checker::wasDisturbed(const Life &life, core::TimePoint from) const
{
    return life.isFrozen || life.frozenUntil + m_bounds.stableWindow > from
        || m_heldUpUntil + gapSlack > from;
}

void Checker::violate(Check check, const Request &request, const std::string &what)
{
    m_violations.push_back({check,
                            request.sent.id.value() + " on " + request.sent.route + " at process "
                                + std::to_string(request.sent.life.value()) + ": " + what,
                            request.sent.life});
}

void Checker::sent(const SentRequest &request, core::TimePoint at)
{
    Life &life = m_lives.at(request.life);
    if (isInTouch(life, at)) {
        for (const auto &[version, acknowledgedAt] : m_acknowledged) {
            if (at - acknowledgedAt > m_bounds.configuration)
                life.least = std::max(life.least, version);
        }
    }
    m_requests[request.id] = {request, at, life.least};
}

void Checker::reached(const core::RequestId &id, const core::EndpointId &endpoint,
                      core::Duration deadline, core::TimePoint at)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    const Request &request = found->second;
    if (!isInTouch(m_lives.at(request.sent.life), at))
        return;
    checkEndpoint(request, endpoint, at);
    if (request.abandonedAt && at - *request.abandonedAt > answerSlack)
        violate(Check::LeftCaller, request,
                "reached " + endpoint.value() + " after its caller left");
    count(Check::Deadline);
    if (deadline > request.sentAt + request.sent.deadline - at + answerSlack)
        violate(Check::Deadline, request,
                "was handed on with " + std::to_string(core::toSeconds(deadline)) + " s, "
                    + std::to_string(core::toSeconds(at - request.sentAt))
                    + " s after it was sent with "
                    + std::to_string(core::toSeconds(request.sent.deadline)));
}

void Checker::checkEndpoint(const Request &request, const core::EndpointId &endpoint,
                            core::TimePoint at)
{
    // The bound is shorter than the stable window, so that a daemon in touch has had it in full.
    const bool isCheck = std::ranges::any_of(
        m_left, [&](const auto &left) { return at - left.second > m_bounds.drain; });
    if (isCheck)
        count(Check::LeftEndpoint);
    const auto left = m_left.find(endpoint);
    if (left != m_left.end() && at - left->second > m_bounds.drain)
        violate(Check::LeftEndpoint, request,
                "reached " + endpoint.value() + " "
                    + std::to_string(core::toSeconds(at - left->second)) + " s after it left");
}

void Checker::ran(const core::RequestId &id, const core::EndpointId &endpoint)
{
    count(Check::RunOnce);
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        m_violations.push_back(
            {Check::RunOnce, "an unknown request ran: " + id.value(), ProcessLife {}});
        return;
    }
    Request &request = found->second;
    ++request.runs;
    if (request.runs > 1 && !mayRepeat(request.sent.kind))
        violate(Check::RunOnce, request, "ran again, at " + endpoint.value());
    if (request.isPromisedNotRun)
        violate(Check::NotRun, request, "ran after the answer that it did not");
    const Route &route = m_routes.at(request.sent.route);
    if (route.added.value() > 1 || route.removed)
        count(Check::ConfigurationOrder);
    if (route.removed && *route.removed <= request.least)
        violate(Check::ConfigurationOrder, request,
                "ran on a route removed in version " + std::to_string(route.removed->value())
                    + " at a process that must follow version "
                    + std::to_string(request.least.value()));
    Life &life = m_lives.at(request.sent.life);
    life.least = std::max(life.least, route.added);
}

void Checker::brokeOff(const core::RequestId &id)
{
    if (const auto request = m_requests.find(id); request != m_requests.end())
        request->second.isBrokenOff = true;
}

void Checker::ordered(const core::EndpointId &endpoint, const core::HostId &holder,
                      core::FencingToken token, core::TimePoint at)
{
    if (at - m_thawedAt <= thawSlack)
        return;
    count(Check::OneHolder);
    const std::string order = "order of " + holder.value() + " with token "
        + std::to_string(token.value()) + " at " + endpoint.value();
    if (m_holders.emplace(token, holder).first->second != holder)
        m_violations.push_back({Check::OneHolder, order + ": another has this token", {}});
    core::FencingToken &highest = m_tokens[endpoint];
    if (token < highest)
        m_violations.push_back({Check::OneHolder, order + ": a higher one came before", {}});
    highest = std::max(highest, token);
}

void Checker::abandoned(const core::RequestId &id, core::TimePoint at)
{
    count(Check::LeftCaller);
    m_requests.at(id).abandonedAt = at;
}

void Checker::ended(const core::RequestId &id, const CallerAnswer &answer, core::TimePoint at)
{
    if (m_aliveAt != core::TimePoint {})
        alive(at);
    Request &request = m_requests.at(id);
    if (!answer.requestId.empty() && answer.requestId != id.value())
        violate(Check::OwnAnswer, request, "got the answer to " + answer.requestId);
    if (!answer.stamp.empty() && answer.stamp != expectedStamp(id, answer.status))
        violate(Check::OwnAnswer, request,
                std::to_string(answer.status) + " bears the stamp " + answer.stamp);
    if (answer.status == 200)
        checkSuccess(request, answer);
    if (answer.status == 404)
        checkNotFound(request);
    else if (answer.status >= 300 && answer.status < 500 && !isPromiseNotRun(answer.status))
        violate(Check::OwnAnswer, request, std::to_string(answer.status) + " to a proper request");
    if (isPromiseNotRun(answer.status) && answer.isWhole) {
        count(Check::NotRun);
        request.isPromisedNotRun = true;
        if (request.runs > 0)
            violate(Check::NotRun, request, std::to_string(answer.status) + " though it had run");
    }
    checkEnd(request, answer, at);
}

void Checker::checkSuccess(const Request &request, const CallerAnswer &answer)
{
    count(Check::OwnAnswer);
    if (answer.requestId.empty() || answer.stamp.empty())
        violate(Check::OwnAnswer, request, "a success without id or stamp");
    if (request.runs == 0)
        violate(Check::OwnAnswer, request, "a success though it never ran");
    if (isStream(request.sent.kind)) {
        checkEvents(request, answer);
        return;
    }
    if (!answer.isWhole)
        return;
    count(Check::WholeAnswer);
    if (answer.body != expectedBody(request.sent.id))
        violate(Check::WholeAnswer, request, "a complete answer with another body: " + answer.body);
}

void Checker::checkEvents(const Request &request, const CallerAnswer &answer)
{
    count(Check::StreamEvents);
    const core::RequestId &id = request.sent.id;
    const std::string expected = expectedEvents(id, 1, eventCount(id));
    if (!expected.starts_with(answer.body))
        violate(Check::StreamEvents, request, "other events than its own: " + answer.body);
    else if (answer.isWhole && answer.body != expected)
        violate(Check::StreamEvents, request,
                "a complete stream without its last events: " + answer.body);
}

void Checker::checkNotFound(const Request &request)
{
    const Route &route = m_routes.at(request.sent.route);
    count(Check::ConfigurationOrder);
    if (request.least >= route.added && !route.removed)
        violate(Check::ConfigurationOrder, request,
                "404 for a route of all versions that may be in force");
    Life &life = m_lives.at(request.sent.life);
    // Only a removal explains it.
    if (request.least >= route.added && route.removed)
        life.least = std::max(life.least, *route.removed);
}

void Checker::checkEnd(const Request &request, const CallerAnswer &answer, core::TimePoint at)
{
    const Life &life = m_lives.at(request.sent.life);
    const bool isTimeOver = at - request.sentAt >= request.sent.timeLeft;
    // A stream that began can only be left incomplete; all else can still be answered as failed.
    const bool mayBeCut
        = isStream(request.sent.kind) && answer.status != 0 && (request.isBrokenOff || isTimeOver);
    const bool isCut = !mayBeCut && (answer.status == 0 || !answer.isWhole);
    if (life.isKilled || !answer.wasConnected || wasDisturbed(life, request.sentAt))
        return;
    count(Check::InTime);
    if (at - request.sentAt > request.sent.timeLeft + answerSlack)
        violate(Check::InTime, request,
                "ended after " + std::to_string(core::toSeconds(at - request.sentAt)) + " s of "
                    + std::to_string(core::toSeconds(request.sent.timeLeft)));
    if (life.stoppedAt) {
        checkStop(request, isCut, at);
        return;
    }
    if (isCut)
        violate(Check::InTime, request,
                "cut off with " + std::to_string(answer.body.size()) + " bytes of status "
                    + std::to_string(answer.status) + " after "
                    + std::to_string(core::toSeconds(at - request.sentAt)) + " s");
}

void Checker::checkStop(const Request &request, bool isCut, core::TimePoint at)
{
    const core::TimePoint stoppedAt = *m_lives.at(request.sent.life).stoppedAt;
    count(Check::PlannedStop);
    const bool isLateInGrace = request.sentAt - stoppedAt <= earlyInStop
        && at - stoppedAt >= core::scaled(m_bounds.grace, lastPartOfGrace);
    const bool crossedTheClose = request.runs == 0 && at - request.sentAt <= closeSlack;
    if (isCut && !isLateInGrace && !crossedTheClose)
        violate(Check::PlannedStop, request,
                "cut off " + std::to_string(core::toSeconds(at - stoppedAt)) + " s after SIGTERM, "
                    + std::to_string(core::toSeconds(at - request.sentAt))
                    + " s after it was sent, runs: " + std::to_string(request.runs));
}

} // namespace jackdawlead::soak
