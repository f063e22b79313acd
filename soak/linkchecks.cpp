// The check that a daemon without links to the endpoints serves through others.

#include "checker.h"

#include <algorithm>

namespace jackdawlead::soak {

namespace {

/// From the interruption on, until requests must be served again.
constexpr core::Duration detectionTime = std::chrono::seconds(4);
/// Of what the other daemons serve. Requests that endpoints refuse or interrupt fail at all daemons
/// alike, so that the shares differ by chance only.
constexpr double minServedRatio = 2.0 / 3;
constexpr int minRequests = 20; ///< At the daemons without links, and at the others.
/// After an interruption a daemon sends through others until a connection of its own has worked.
constexpr core::Duration restoreTime = std::chrono::seconds(1);

} // namespace

void Checker::linksInterrupted(const std::map<ProcessIncarnation, bool> &interrupted,
                               core::TimePoint at)
{
    m_interruptions.push_back({at, {}, {}, {}, {}, {}});
    bool areAnswersBroken = false;
    for (const auto &[incarnation, isAnswerBroken] : interrupted) {
        m_interruptions.back().incarnations.insert(incarnation);
        m_processes.at(incarnation).hadInterruption = true;
        areAnswersBroken |= isAnswerBroken;
        if (isAnswerBroken)
            m_interruptions.back().withBrokenAnswers.insert(incarnation);
    }
    if (!areAnswersBroken)
        return;
    // A request from an earlier interruption may pass through a daemon of this one.
    for (auto &[id, request] : m_requests) {
        if (m_processes.at(request.sent.incarnation).hadInterruption)
            request.isInterrupted = request.isInterruptedThere = true;
    }
}

void Checker::answersInterrupted(const std::set<core::RequestId> &ids)
{
    for (const core::RequestId &id : ids) {
        if (const auto request = m_requests.find(id); request != m_requests.end())
            request->second.isInterrupted = request->second.isInterruptedThere = true;
    }
}

void Checker::linksRestored(core::TimePoint at)
{
    m_interruptions.back().until = at;
}

void Checker::assignToInterruption(Request &request)
{
    if (m_interruptions.empty() || !request.sent.begunBy.isEmpty())
        return;
    const Interruption &latest = m_interruptions.back();
    const ProcessState &process = m_processes.at(request.sent.incarnation);
    // A process that has started since then may have no links either.
    if (!latest.until && request.sentAt - latest.from >= detectionTime
        && process.disturbedUntil < latest.from && isUndisturbed(process, request.sentAt))
        request.interruption = m_interruptions.size() - 1;
}

void Checker::countServed(const Request &request, const ReceivedAnswer &answer)
{
    if (!request.interruption || !answer.wasConnected)
        return;
    Interruption &interruption = m_interruptions[*request.interruption];
    ServedCount &served = interruption.incarnations.contains(request.sent.incarnation)
        ? interruption.servedWithoutLinks
        : interruption.servedByOthers;
    ++served.requests;
    if (answer.status == 200)
        ++served.served;
}

bool Checker::wasOnItsWay(const Request &request) const
{
    return !m_interruptions.empty() && !m_interruptions.back().until
        && request.sentAt <= m_interruptions.back().from
        && m_interruptions.back().withBrokenAnswers.contains(request.sent.incarnation);
}

bool Checker::areLinksInterrupted(ProcessIncarnation incarnation, core::TimePoint at) const
{
    return std::ranges::any_of(m_interruptions, [&](const Interruption &interruption) {
        return interruption.incarnations.contains(incarnation)
            && (!interruption.until || at - *interruption.until <= restoreTime);
    });
}

bool Checker::isForwarderKilled(const Request &request, core::TimePoint at) const
{
    return std::ranges::any_of(m_kills, [&](const Kill &kill) {
        return request.forwardedAt && kill.incarnation != request.sent.incarnation
            && kill.at >= *request.forwardedAt && kill.at <= at;
    });
}

bool Checker::Interruption::isCounted() const
{
    return std::min(servedWithoutLinks.requests, servedByOthers.requests) >= minRequests;
}

bool Checker::hasCountedInterruption() const
{
    return std::ranges::any_of(m_interruptions, &Interruption::isCounted);
}

void Checker::checkInterruptions()
{
    for (const Interruption &interruption : m_interruptions) {
        const ServedCount &own = interruption.servedWithoutLinks;
        const ServedCount &others = interruption.servedByOthers;
        if (!interruption.isCounted())
            continue;
        count(Check::ServedWithoutLinks);
        if (own.share() < minServedRatio * others.share())
            m_violations.push_back({Check::ServedWithoutLinks,
                                    std::to_string(own.served) + " of "
                                        + std::to_string(own.requests)
                                        + " requests served at daemons without links to endpoints, "
                                        + std::to_string(others.served) + " of "
                                        + std::to_string(others.requests) + " at the others",
                                    *interruption.incarnations.begin()});
    }
}

} // namespace jackdawlead::soak
