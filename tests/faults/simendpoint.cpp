#include "simendpoint.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace jackdawlead::faults {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration settleTime = 2s; // The longest time-out of an order.
constexpr core::Duration reportLag = 2s;
constexpr core::Duration pollPeriod = 1s;

} // namespace

SimEndpoint::SimEndpoint(OwnerProcess process, SimEngine &engine, core::FencingToken token)
    : m_process(std::move(process))
    , m_engine(engine)
    , m_token(token)
    , m_scheduler({.slots = SimEngine::slots, .maxRunning = 4, .maxQueued = 16})
{ }

void SimEndpoint::later(core::Duration delay, std::function<void()> event)
{
    m_process.time.after(delay,
                         m_process.inProcess([weak = weak_from_this(), event = std::move(event)] {
                             if (const auto self = weak.lock())
                                 event();
                         }));
}

void SimEndpoint::start()
{
    later(m_token == core::FencingToken(1) ? 0s : settleTime, [this] { readAdapters(); });
}

void SimEndpoint::readAdapters()
{
    const core::TimePoint now = m_process.time.now();
    const auto &held = m_engine.adapters();
    const std::vector<core::AdapterVersion> resident(held.begin(), held.end());
    m_instance = m_engine.instance();
    m_pinned.clear();
    for (const core::AdapterVersion &adapter : resident)
        m_pinned[adapter] = now + reportLag;
    m_isReady = true;
    const bool ignoresPins = m_process.mutation == Mutation::PinsIgnored;
    carryOut(m_scheduler.syncResidentAdapters(
        resident, ignoresPins ? std::vector<core::AdapterVersion>() : resident, now));
    pollLater();
}

void SimEndpoint::pollLater()
{
    later(pollPeriod, [this, poll = ++m_polls] {
        if (poll == m_polls)
            this->poll();
    });
}

void SimEndpoint::poll()
{
    const EngineReport report = m_engine.report();
    if (report.instance > m_instance) {
        readAdapters();
        return;
    }
    pollLater();
    const core::TimePoint now = m_process.time.now();
    std::erase_if(m_pinned, [&](const auto &entry) {
        if (report.running.contains(entry.first) || now < entry.second)
            return false;
        carryOut(m_scheduler.unpinned(entry.first, now));
        return true;
    });
}

void SimEndpoint::submit(Work work)
{
    if (!m_isReady || m_isDraining) {
        work.done({.outcome = core::Outcome::NotRun,
                   .retryAfter = settleTime,
                   .step = "wait-for-adapter"});
        return;
    }
    auto run = std::make_shared<Run>(Run {std::move(work), std::nullopt, {}});
    m_runs[run->work.request] = run;
    m_process.passes(Step::WaitForAdapter, m_engine);
    carryOut(m_scheduler.submit(run->work.request, run->work.adapter, run->work.deadline,
                                m_process.time.now()));
}

void SimEndpoint::drain()
{
    m_isDraining = true;
    carryOut(m_scheduler.drain(m_process.time.now()));
}

void SimEndpoint::setLeaving(bool isLeaving)
{
    if (isLeaving == std::exchange(m_isLeaving, isLeaving)
        || m_process.mutation == Mutation::LeavingIgnored)
        return;
    if (m_isLeaving)
        carryOut(m_scheduler.drain(m_process.time.now()));
    else if (!m_isDraining)
        m_scheduler.resume();
}

void SimEndpoint::connectionsClosed()
{
    for (const auto &[request, run] : m_runs)
        m_engine.closed(request);
}

void SimEndpoint::tick()
{
    if (m_process.mutation != Mutation::RefusalHeldBack)
        carryOut(m_scheduler.tick(m_process.time.now()));
}

void SimEndpoint::carryOut(const decisions::SchedulerCommands &commands)
{
    for (const decisions::SchedulerCommand &command : commands)
        std::visit([this](const auto &typed) { carryOut(typed); }, command);
}

void SimEndpoint::carryOut(const decisions::LoadAdapter &command)
{
    m_process.passes(Step::Load, m_engine);
    if (!m_process.hasLease()) {
        later(0s, [this, command] { loadEnded(command.adapter, OrderEnd::Refused); });
        return;
    }
    m_engine.order(true, command.adapter, m_token,
                   [this, command, weak = weak_from_this()](OrderEnd end) {
                       if (const auto self = weak.lock())
                           later(0s, [this, command, end] { loadEnded(command.adapter, end); });
                   });
}

void SimEndpoint::loadEnded(const core::AdapterVersion &adapter, OrderEnd end)
{
    const core::TimePoint now = m_process.time.now();
    carryOut(end == OrderEnd::Done ? m_scheduler.loaded(adapter, now)
                                   : m_scheduler.loadFailed(adapter, now));
    // The order may still take effect; the engine's own list shows whether it did.
    if (end == OrderEnd::Unanswered)
        later(settleTime, [this] { readAdapters(); });
}

void SimEndpoint::carryOut(const decisions::EvictAdapter &command)
{
    m_process.passes(Step::Evict, m_engine);
    if (!m_process.hasLease()) {
        later(0s, [this, command] { evictionEnded(command.adapter, OrderEnd::Refused); });
        return;
    }
    m_engine.order(false, command.adapter, m_token,
                   [this, command, weak = weak_from_this()](OrderEnd end) {
                       if (const auto self = weak.lock())
                           later(0s, [this, command, end] { evictionEnded(command.adapter, end); });
                   });
}

void SimEndpoint::evictionEnded(const core::AdapterVersion &adapter, OrderEnd end)
{
    const core::TimePoint now = m_process.time.now();
    if (end == OrderEnd::Done)
        carryOut(m_scheduler.evicted(adapter, now));
    else if (end == OrderEnd::Refused)
        carryOut(m_scheduler.evictionFailed(adapter, now));
    else
        carryOut(m_scheduler.evictionUnanswered(adapter, now));
}

void SimEndpoint::carryOut(const decisions::DispatchRequest &command)
{
    const auto found = m_runs.find(command.request);
    if (found == m_runs.end())
        return;
    const RunPtr run = found->second;
    m_process.passes(Step::Dispatch, m_engine);
    if (!m_process.hasLease()) {
        later(0s, [this, run] { ended(run, core::Outcome::NotRun, false); });
        return;
    }
    run->check.emplace(run->work.adapter, true);
    EngineCall call {.request = run->work.request,
                     .adapter = run->work.adapter,
                     .isCrashing = run->work.isCrashing,
                     .onData = {},
                     .onEnd = {}};
    const auto weak = weak_from_this();
    call.onData = [this, weak, run](const std::string &data) {
        if (const auto self = weak.lock())
            later(0s, [this, run, data] { dataReceived(run, data); });
    };
    call.onEnd = [this, weak, run](core::Outcome outcome, bool isMissing) {
        if (const auto self = weak.lock())
            later(0s, [this, run, outcome, isMissing] { ended(run, outcome, isMissing); });
    };
    m_engine.run(std::move(call), m_token);
}

void SimEndpoint::carryOut(const decisions::RefuseRequest &command)
{
    const auto found = m_runs.find(command.request);
    if (found == m_runs.end())
        return;
    const RunPtr run = found->second;
    const bool hasNoTime = m_process.mutation == Mutation::NoRetryTime;
    settle(run,
           {.outcome = core::Outcome::NotRun,
            .retryAfter = hasNoTime ? core::Duration::zero() : command.retryAfter,
            .step = "wait-for-adapter"});
}

void SimEndpoint::dataReceived(const RunPtr &run, const std::string &data)
{
    if (!m_runs.contains(run->work.request))
        return;
    m_process.passes(Step::Relay, m_engine);
    if (m_process.mutation != Mutation::AnswerNotChecked && !run->check->accept(data).ok()) {
        m_engine.closed(run->work.request);
        ended(run, core::Outcome::Unknown, false);
        return;
    }
    run->received += data;
    run->isStarted = true;
}

void SimEndpoint::ended(const RunPtr &run, core::Outcome outcome, bool isMissing)
{
    if (!m_runs.contains(run->work.request))
        return;
    const core::TimePoint now = m_process.time.now();
    WorkEnd end {
        .outcome = outcome, .retryAfter = 1s, .step = "dispatch", .isStarted = run->isStarted};
    if (isMissing)
        carryOut(m_scheduler.adapterMissing(run->work.adapter, now));
    if (outcome == core::Outcome::Completed) {
        const auto event = nlohmann::json::parse(
            run->received.substr(6, run->received.find('\n') - 6), nullptr, false);
        const std::string model = event.value("model", std::string());
        end.servedBy = {core::AdapterId(model.substr(0, model.find('@'))),
                        model.substr(model.find('@') + 1)};
        end.forRequest = core::RequestId(event.value("for", std::string()));
    }
    settle(run, end);
    if (outcome == core::Outcome::Unknown && m_process.mutation != Mutation::PinsIgnored) {
        m_pinned[run->work.adapter] = now + reportLag;
        carryOut(m_scheduler.aborted(run->work.request, now));
    } else {
        carryOut(m_scheduler.finished(run->work.request, now));
    }
}

void SimEndpoint::settle(const RunPtr &run, const WorkEnd &end)
{
    if (m_runs.erase(run->work.request) > 0)
        run->work.done(end);
}

} // namespace jackdawlead::faults
