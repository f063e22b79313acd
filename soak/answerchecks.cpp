// The checks of what a caller received, which are made when its request ends.

#include "checker.h"

#include "expectedbytes.h"

#include <algorithm>

namespace jackdawlead::soak {

namespace {

using std::chrono::milliseconds;

/// Whatever blocked the soak may block daemons for up to this much longer.
constexpr core::Duration stallSlack = milliseconds(1000);
/// A stopping process may close a connection while a request that it has not read is on its way. A
/// request that was sent longer ago than this counts as read.
constexpr core::Duration closeSlack = milliseconds(1000);
/// Requests sent at most this long after the start of a planned stop must end before the process.
constexpr core::Duration earlyStopPhase = std::chrono::seconds(3);
/// After this share of the grace time, requests that began early in the stop may be cut off.
constexpr double earlyGraceShare = 5.0 / 6;

bool meansNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

bool Checker::wasDisturbed(const ProcessState &process, core::TimePoint from) const
{
    return process.isFrozen || process.frozenUntil + m_bounds.stableWindow > from
        || m_stalledUntil + stallSlack > from;
}

void Checker::requestAbandoned(const core::RequestId &id, core::TimePoint at)
{
    count(Check::LeftCaller);
    Request &request = m_requests.at(id);
    request.abandonedAt = at;
    if (!request.latestEndpoint.isEmpty())
        ++m_unfinishedAnswers["the caller left"];
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
    countServed(request, answer);
    checkEnd(request, answer, at);
    checkLostAnswer(request, answer, at);
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

std::string Checker::expectedStream(const Request &request, const ReceivedAnswer &answer)
{
    const SentRequest &sent = request.sent;
    const bool isTakeUp = !sent.begunBy.isEmpty();
    const core::RequestId &id = isTakeUp ? sent.begunBy : sent.id;
    return expectedEvents(id, sent.firstEvent, eventCount(id),
                          isTakeUp ? sent.softwareVersion : softwareVersionOf(answer.body));
}

bool Checker::hasAllEvents(const Request &request, const ReceivedAnswer &answer)
{
    return isStream(request.sent.kind) && answer.status == 200
        && answer.body == expectedStream(request, answer);
}

void Checker::checkEvents(const Request &request, const ReceivedAnswer &answer)
{
    const bool isTakeUp = !request.sent.begunBy.isEmpty();
    const Check check = isTakeUp ? Check::TakeUp : Check::StreamEvents;
    count(check);
    const std::string expected = expectedStream(request, answer);
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
    const bool isCut = !mayBeIncomplete && (answer.status == 0 || !answer.isComplete)
        && !isForwarderKilled(request, at);
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
    const bool crossedClose = request.runs == 0 && at - request.sentAt <= closeSlack;
    if (isCut && !isLateInGrace(request, at) && !crossedClose)
        addViolation(Check::PlannedStop, request,
                     "cut off " + std::to_string(core::toSeconds(at - stopRequestedAt))
                         + " s after SIGTERM, "
                         + std::to_string(core::toSeconds(at - request.sentAt))
                         + " s after it was sent, runs: " + std::to_string(request.runs));
}

bool Checker::isLateInGrace(const Request &request, core::TimePoint at) const
{
    const auto stopRequestedAt = m_processes.at(request.sent.incarnation).stopRequestedAt;
    return stopRequestedAt && request.sentAt - *stopRequestedAt <= earlyStopPhase
        && at - *stopRequestedAt >= core::scaled(m_bounds.grace, earlyGraceShare);
}

void Checker::checkLostAnswer(const Request &request, const ReceivedAnswer &answer,
                              core::TimePoint at)
{
    if (request.latestEndpoint.isEmpty())
        return;
    // An endpoint's own failure, which carries its stamp, is a whole answer as well.
    const bool isWhole = answer.isComplete && !answer.stamp.empty();
    std::string excuse = excuseOf(request, at);
    // The next endpoint has no rest, from which the daemon can't tell that the stream was whole.
    if (excuse.empty() && request.isInterrupted && hasAllEvents(request, answer))
        excuse = "the stream broke off after its last event";
    if (isWhole || excuse.empty())
        count(Check::LostAnswer);
    if (isWhole)
        return;
    ++m_unfinishedAnswers[excuse.empty() ? "lost" : excuse];
    if (!excuse.empty())
        return;
    const auto stopRequestedAt = m_processes.at(request.sent.incarnation).stopRequestedAt;
    const std::string inStop = stopRequestedAt
        ? ", " + std::to_string(core::toSeconds(request.sentAt - *stopRequestedAt))
            + " s after SIGTERM when it was sent"
        : "";
    addViolation(Check::LostAnswer, request,
                 "ended with status " + std::to_string(answer.status) + " and "
                     + std::to_string(answer.body.size()) + " bytes after "
                     + std::to_string(core::toSeconds(at - request.sentAt)) + " s while "
                     + request.latestEndpoint.value() + " worked on it" + inStop);
}

std::string Checker::excuseOf(const Request &request, core::TimePoint at) const
{
    const ProcessState &process = m_processes.at(request.sent.incarnation);
    const core::TimePoint stableSince = request.sentAt - m_bounds.stableWindow;
    if (process.isKilled)
        return "the process was killed";
    if (wasDisturbed(process, request.sentAt))
        return "the process was frozen or the soak held up";
    if (at - request.sentAt >= request.sent.timeLeft)
        return "the time limit was reached";
    if (request.isInterruptedThere)
        return "the endpoint interrupted it";
    if (isForwarderKilled(request, at))
        return "a daemon that may have sent it on was killed";
    if (isLateInGrace(request, at))
        return "the grace time of a planned stop ended";
    if (m_isStoreDisturbed || m_storeDisturbedUntil > stableSince)
        return "the store was disturbed";
    if (process.disturbedUntil > stableSince)
        return "the process had just started";
    return {};
}

} // namespace jackdawlead::soak
