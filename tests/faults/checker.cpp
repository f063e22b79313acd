#include "checker.h"

namespace jackdawlead::faults {

namespace {

constexpr core::Duration leavingLimit = std::chrono::seconds(5);
// The scheduler's tick, the hop and the jitter of the event queue.
constexpr core::Duration answerSlack = std::chrono::milliseconds(1500);

} // namespace

void Checker::report(Promise promise, const std::string &what)
{
    m_violations.push_back({promise, what});
}

void Checker::accepted(const core::RequestId &request, const core::AdapterVersion &adapter,
                       core::TimePoint deadline)
{
    m_requests[request] = {.adapter = adapter, .deadline = deadline, .answer = {}};
}

void Checker::checkNotRun(const core::RequestId &request)
{
    const Request &facts = m_requests[request];
    if (facts.runs > 0 && facts.answer && !facts.answer->isCut
        && facts.answer->outcome == core::Outcome::NotRun)
        report(Promise::P4, request.value() + " was told not run and ran");
}

void Checker::ran(const core::RequestId &request)
{
    ++m_requests[request].runs;
    checkNotRun(request);
}

void Checker::serviceRan(const std::string &key, const core::RequestId &request)
{
    if (++m_serviceRuns[key] > 1)
        report(Promise::P5, "key " + key + " ran again for " + request.value());
    ran(request);
}

void Checker::answered(const core::RequestId &request, const Answer &answer, core::TimePoint now)
{
    Request &facts = m_requests[request];
    if (facts.answer) {
        // After its connection broke a caller cannot be reached; there is nothing to check.
        if (!facts.answer->isCut)
            report(Promise::P3, request.value() + " was answered twice");
        return;
    }
    facts.answer = answer;
    if (answer.isCut)
        return;
    checkNotRun(request);
    if (answer.outcome == core::Outcome::Completed) {
        ++m_completed;
        if (answer.servedBy != facts.adapter)
            report(Promise::P1,
                   request.value() + " asked for " + facts.adapter.toString() + " and got "
                       + answer.servedBy.toString());
        if (answer.pieces != 1)
            report(Promise::P3, request.value() + " got an answer made of several runs");
        if (answer.forRequest != request)
            report(Promise::P3,
                   request.value() + " got the answer of " + answer.forRequest.value());
        return;
    }
    if (answer.step.empty())
        report(Promise::P10, request.value() + " got an error without a step");
    if (answer.outcome != core::Outcome::NotRun)
        return;
    if (answer.mayComeBack && answer.retryAfter <= core::Duration::zero())
        report(Promise::P9, request.value() + " was refused without a time to come back");
    if (now > std::max(facts.deadline, m_excusedUntil) + answerSlack)
        report(Promise::P9, request.value() + " was refused after its deadline");
}

void Checker::evicted(const core::AdapterVersion &adapter, std::size_t running)
{
    if (running > 0)
        report(Promise::P2, adapter.toString() + " was evicted in use");
}

void Checker::engineAsked(const core::EndpointId &endpoint, core::TimePoint now)
{
    const auto since = m_leavingSince.find(endpoint);
    if (since != m_leavingSince.end() && now > since->second + leavingLimit)
        report(Promise::P6, endpoint.value() + " got new work while leaving");
}

void Checker::leaving(const core::EndpointId &endpoint, std::optional<core::TimePoint> since)
{
    if (since)
        m_leavingSince[endpoint] = *since;
    else
        m_leavingSince.erase(endpoint);
}

void Checker::stopped(const core::HostId &daemon, std::size_t running)
{
    if (running > 0)
        report(Promise::P7, daemon.value() + " stopped with requests in progress");
}

void Checker::inForce(const std::string &process, core::Generation generation)
{
    core::Generation &last = m_inForce[process];
    if (generation < last)
        report(Promise::P8, process + " went back to an earlier generation");
    last = generation;
}

void Checker::wantsInForce(const core::HostId &daemon, core::Generation accepted,
                           core::Generation inForce)
{
    if (inForce != accepted)
        report(Promise::P8, daemon.value() + " does not have the accepted generation in time");
}

void Checker::finish()
{
    for (const auto &[request, facts] : m_requests)
        if (!facts.answer)
            report(Promise::P3, request.value() + " was never answered");
}

} // namespace jackdawlead::faults
