#include "simdaemon.h"

#include "decisions/placement.h"

#include <utility>

namespace jackdawlead::faults {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration hopAllowance = 1s;

std::string claimName(const std::string &key)
{
    return "claim/" + key;
}

} // namespace

void SimDaemon::accept(CallerRequest request)
{
    const bool isRepeatable = request.key.empty();
    auto call = std::make_shared<Call>(
        Call {std::move(request), decisions::RetryState({}, isRepeatable), {}});
    m_calls[call->request.id] = call;
    inProcess([this, call, isRepeatable] {
        for (const Step step : {Step::Accept, Step::Authenticate, Step::Resolve, Step::Admit}) {
            passes(step);
            if (!m_isAlive)
                return;
        }
        later(0s, [this, call, isRepeatable] { isRepeatable ? place(call) : claim(call); });
    })();
}

void SimDaemon::place(const CallPtr &call)
{
    passes(Step::Place);
    std::vector<decisions::PlacementCandidate> candidates;
    for (const auto &[endpoint, record] : m_records)
        if ((!m_cluster.leaving.contains(endpoint)
             || m_cluster.mutation == Mutation::LeavingIgnored)
            && !record.holder.isEmpty())
            candidates.push_back({.endpoint = endpoint,
                                  .weight = 1.0,
                                  .outstanding = m_outstanding[endpoint],
                                  .isHomeRegion = isInFirstRegion() == (endpoint.value() != "e3")});
    call->order = decisions::placementOrder(call->request.adapter, candidates, 1, {});
    if (call->order.empty())
        refuse(call, core::Outcome::NotRun, 1s, "place");
    else
        sendNext(call);
}

void SimDaemon::sendNext(const CallPtr &call)
{
    const core::EndpointId endpoint = call->order[call->next++];
    ++m_outstanding[endpoint];
    Work work {call->request.id,
               call->request.adapter,
               call->request.deadline,
               call->request.isCrashing,
               {}};
    // The end of an attempt is taken from the loop, never inside the call that sends it.
    work.done = [this, call, endpoint, weak = weak_from_this()](const WorkEnd &end) {
        if (const auto self = weak.lock())
            later(0s, [this, call, endpoint, end] {
                --m_outstanding[endpoint];
                ended(call, end);
            });
    };
    const core::HostId owner = m_records[endpoint].holder;
    if (owner == m_id)
        fromPeer(endpoint, std::move(work));
    else
        forward(owner, endpoint, std::move(work));
}

void SimDaemon::fromPeer(const core::EndpointId &endpoint, Work work)
{
    const auto owned = m_owned.find(endpoint);
    if (owned == m_owned.end() || m_isStopping) {
        work.done({.outcome = core::Outcome::NotRun, .retryAfter = 1s, .step = "forward"});
        return;
    }
    owned->second->submit(std::move(work));
}

void SimDaemon::forward(const core::HostId &owner, const core::EndpointId &endpoint, Work work)
{
    VirtualTime &time = m_cluster.time;
    auto isDone = std::make_shared<bool>(false);
    const auto once = [isDone, done = work.done](const WorkEnd &end) {
        if (!std::exchange(*isDone, true))
            done(end);
    };
    const WorkEnd notRun {.outcome = core::Outcome::NotRun, .retryAfter = 1s, .step = "forward"};
    const WorkEnd unknown {
        .outcome = core::Outcome::Unknown, .forRequest = {}, .servedBy = {}, .step = "forward"};
    const auto peer = m_cluster.daemons.find(owner);
    const bool isLinked = peer != m_cluster.daemons.end()
        && (m_cluster.isLinked() || peer->second->isInFirstRegion() == isInFirstRegion());
    if (!isLinked) {
        time.after(500ms, [once, notRun] { once(notRun); });
        return;
    }
    time.after(std::max(work.deadline - time.now(), core::Duration(1ms)) + hopAllowance,
               [once, unknown] { once(unknown); });
    const bool isCut = m_cluster.hopsToCut > 0 && m_cluster.hopsToCut-- > 0;
    if (isCut)
        time.after(time.between(1ms, 500ms), [once, unknown] { once(unknown); });
    if (isCut && time.chance(50))
        return;
    time.after(time.between(500us, 3ms),
               [this, owner, endpoint, work = std::move(work), once, notRun, isCut]() mutable {
                   const auto target = m_cluster.daemons.at(owner);
                   if (!target->isAlive()) {
                       once(notRun);
                       return;
                   }
                   const core::RequestId request = work.request;
                   target->m_foreign[request] = once;
                   work.done = [target, request, once, isCut](const WorkEnd &end) {
                       target->m_foreign.erase(request);
                       if (isCut)
                           return;
                       target->m_cluster.time.after(target->m_cluster.time.between(500us, 3ms),
                                                    [once, end] { once(end); });
                   };
                   target->inProcess(
                       [target, endpoint, work] { target->fromPeer(endpoint, work); })();
               });
}

void SimDaemon::ended(const CallPtr &call, const WorkEnd &end)
{
    passes(Step::Settle);
    if (!m_isAlive)
        return;
    call->pieces += end.isStarted ? 1 : 0;
    if (end.outcome == core::Outcome::Completed) {
        Answer whole;
        whole.outcome = end.outcome;
        whole.forRequest = end.forRequest;
        whole.servedBy = end.servedBy;
        whole.pieces = call->pieces;
        answer(call, whole);
        return;
    }
    const bool ignoresStart = m_cluster.mutation == Mutation::RepeatAfterFirstByte;
    const bool mayRepeat = call->attempts.recordFailedAttempt(
        {.outcome = end.outcome, .isResponseStarted = call->pieces > 0 && !ignoresStart},
        call->request.deadline, m_cluster.time.now());
    if (mayRepeat && call->next < call->order.size())
        sendNext(call);
    else
        refuse(call, end.outcome, end.retryAfter, end.step);
}

void SimDaemon::claim(const CallPtr &call)
{
    passes(Step::Claim);
    if (!m_isAlive)
        return;
    decisions::Claim own;
    own.attempt = core::AttemptId("attempt of " + call->request.id.value());
    own.holder = m_id;
    own.bodyDigest = call->request.key;
    auto run = std::make_shared<ClaimRun>(ClaimRun {call, decisions::ClaimAttempt(own), {}});
    // A claim that is not decided in time is given up; nothing was dispatched.
    later(std::max(call->request.deadline - m_cluster.time.now(), core::Duration::zero()),
          [this, run] {
              if (!run->isDispatched)
                  refuse(run->call, core::Outcome::NotRun, 1s, "claim");
          });
    carryOut(run, run->decisions.start());
}

void SimDaemon::written(const ClaimRunPtr &run, const ApiReply &reply)
{
    if (reply.isOk())
        run->object = reply.object;
    switch (reply.code) {
    case ApiReply::Code::Ok:
        return carryOut(run, run->decisions.writeFinished(decisions::ClaimWriteResult::Stored));
    case ApiReply::Code::NotFound:
    case ApiReply::Code::Conflict:
        return carryOut(run, run->decisions.writeFinished(decisions::ClaimWriteResult::Conflict));
    case ApiReply::Code::NotSent:
        return carryOut(run, run->decisions.writeFinished(decisions::ClaimWriteResult::NotSent));
    case ApiReply::Code::Unanswered:
        break;
    }
    carryOut(run, run->decisions.writeFinished(decisions::ClaimWriteResult::Unanswered));
}

void SimDaemon::carryOut(const ClaimRunPtr &run, const decisions::ClaimStep &step)
{
    using Kind = decisions::ClaimStep::Kind;
    SimApi &api = m_cluster.api;
    const std::string name = claimName(run->call->request.key);
    Stored object = run->object;
    object.claim = step.claim;
    const auto onWritten = [this, run](const ApiReply &reply) { written(run, reply); };
    const auto onRead = [this, run](const ApiReply &reply) {
        if (reply.isOk())
            run->object = reply.object;
        carryOut(run,
                 run->decisions.readFinished(reply.isOk() ? std::optional(reply.object.claim)
                                                          : std::nullopt));
    };
    const auto onLease = [this, run](const ApiReply &reply) {
        carryOut(run, run->decisions.holderLeaseChecked(reply.code != ApiReply::Code::NotFound));
    };
    const bool runsAgain = m_cluster.mutation == Mutation::ClaimRunsAgain
        && step.kind == Kind::Refuse && step.refusal == decisions::ClaimRefusal::OutcomeUnknown;
    if (step.kind == Kind::Create)
        api.create(name, object, isReachable(), apiHandler(onWritten));
    else if (step.kind == Kind::Replace)
        api.update(name, object, isReachable(), apiHandler(onWritten));
    else if (step.kind == Kind::Read)
        api.read(name, isReachable(), apiHandler(onRead));
    else if (step.kind == Kind::ReadHolderLease)
        api.read("lease/" + step.claim.holder.value(), isReachable(), apiHandler(onLease));
    else if (step.kind == Kind::Run || runsAgain)
        runService(run);
    else if (step.kind == Kind::ReplayResponse) {
        Answer stored;
        stored.outcome = core::Outcome::Completed;
        const bool isSameWork = step.claim.answerBody == run->call->request.key;
        stored.forRequest = isSameWork ? run->call->request.id : core::RequestId("another key");
        answer(run->call, stored);
    } else {
        const bool mayComeBack = step.refusal != decisions::ClaimRefusal::KeyReused;
        refuse(run->call, decisions::outcomeOf(step.refusal), 1s, "claim", mayComeBack);
    }
}

void SimDaemon::runService(const ClaimRunPtr &run)
{
    passes(Step::Dispatch);
    if (!m_isAlive)
        return;
    if (!m_calls.contains(run->call->request.id)) {
        settleClaim(run, decisions::ClaimState::Released, [] {});
        return;
    }
    run->isDispatched = true;
    VirtualTime &time = m_cluster.time;
    const bool isCut = m_cluster.serviceCallsToCut > 0 && m_cluster.serviceCallsToCut-- > 0;
    const bool isRefused = time.chance(5);
    const bool isDelivered = !isRefused && (!isCut || time.chance(50));
    const core::Outcome outcome = isRefused ? core::Outcome::NotRun
        : isCut                             ? core::Outcome::Unknown
                                            : core::Outcome::Completed;
    const core::Duration there = time.between(500us, 3ms);
    if (isDelivered)
        time.after(there, [this, run, weak = weak_from_this()] {
            m_cluster.checker.serviceRan(run->call->request.key, run->call->request.id);
        });
    time.after(there + time.between(5ms, 600ms),
               inProcess([this, run, outcome] { serviceEnded(run, outcome); }));
}

void SimDaemon::serviceEnded(const ClaimRunPtr &run, core::Outcome outcome)
{
    passes(Step::Settle);
    if (!m_isAlive)
        return;
    if (outcome != core::Outcome::Completed
        && run->call->attempts.recordFailedAttempt(
            {.outcome = outcome}, run->call->request.deadline, m_cluster.time.now())) {
        runService(run);
        return;
    }
    if (outcome != core::Outcome::Completed) {
        // The refusal is not held back by the object API.
        refuse(run->call, outcome, 1s, "dispatch");
        settleClaim(run,
                    outcome == core::Outcome::NotRun ? decisions::ClaimState::Released
                                                     : decisions::ClaimState::Unknown,
                    [] {});
        return;
    }
    settleClaim(run, decisions::ClaimState::Completed, [this, run] {
        Answer whole;
        whole.outcome = core::Outcome::Completed;
        whole.forRequest = run->call->request.id;
        answer(run->call, whole);
    });
}

void SimDaemon::settleClaim(const ClaimRunPtr &run, decisions::ClaimState state,
                            std::function<void()> done)
{
    Stored object = run->object;
    object.claim.state = state;
    object.claim.answerBody = run->call->request.key;
    m_cluster.api.update(claimName(run->call->request.key), object, isReachable(),
                         apiHandler([done = std::move(done)](const ApiReply &) { done(); }));
}

void SimDaemon::refuse(const CallPtr &call, core::Outcome last, core::Duration retryAfter,
                       const std::string &step, bool mayComeBack)
{
    Answer refusal;
    refusal.outcome = call->attempts.finalOutcome(last);
    if (m_cluster.mutation == Mutation::UnknownToldAsNotRun)
        refusal.outcome = core::Outcome::NotRun;
    refusal.retryAfter = retryAfter;
    refusal.step = m_cluster.mutation == Mutation::ErrorWithoutStep ? std::string() : step;
    refusal.mayComeBack = mayComeBack;
    answer(call, refusal);
}

void SimDaemon::answer(const CallPtr &call, const Answer &answer)
{
    if (m_calls.erase(call->request.id) == 0)
        return;
    m_cluster.checker.answered(call->request.id, answer, m_cluster.time.now());
    call->request.answered(answer);
}

} // namespace jackdawlead::faults
