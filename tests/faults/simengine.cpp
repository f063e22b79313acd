#include "simengine.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::faults {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration orderTimeout = 2s;
constexpr core::Duration byteTimeout = 3s;
constexpr core::Duration reportPeriod = 1500ms;

std::string eventOf(const EngineCall &call, const std::string &model)
{
    return R"(data: {"model":")" + model + R"(","for":")" + call.request.value() + "\"}\n\n";
}

} // namespace

SimEngine::SimEngine(core::EndpointId id, VirtualTime &time, Checker &checker)
    : m_id(std::move(id))
    , m_time(time)
    , m_checker(checker)
{ }

bool SimEngine::isFenced(core::FencingToken token)
{
    if (ignoresTokens)
        return false;
    m_highest = std::max(m_highest, token);
    return token < m_highest;
}

void SimEngine::order(bool isLoad, const core::AdapterVersion &adapter, core::FencingToken token,
                      OrderHandler handler)
{
    auto isAnswered = std::make_shared<bool>(false);
    const auto once = [isAnswered, handler = std::move(handler)](OrderEnd end) {
        if (!std::exchange(*isAnswered, true))
            handler(end);
    };
    m_time.after(orderTimeout, [once] { once(OrderEnd::Unanswered); });
    const bool isSilent = callsToSilence > 0 && callsToSilence-- > 0;
    // A silent order can still take effect, within the time-out of an order.
    const core::Duration delay
        = isSilent ? m_time.between(1ms, 1900ms) : m_time.between(200us, 5ms);
    const OrderHandler answered = isSilent ? OrderHandler([](OrderEnd) {}) : OrderHandler(once);
    m_time.after(delay, [this, isLoad, adapter, token, answered] {
        carryOutOrder(isLoad, adapter, token, answered);
    });
}

void SimEngine::carryOutOrder(bool isLoad, const core::AdapterVersion &adapter,
                              core::FencingToken token, const OrderHandler &answered)
{
    if (isFenced(token)) {
        answered(OrderEnd::Refused);
        return;
    }
    if (!isLoad) {
        const auto running = std::ranges::count_if(
            m_runs, [&](const auto &entry) { return entry.second->call.adapter == adapter; });
        m_checker.evicted(adapter, static_cast<std::size_t>(running));
        m_resident.erase(adapter);
        answered(OrderEnd::Done);
        return;
    }
    if (m_time.now() < loadsFailUntil) {
        m_time.after(50ms, [answered] { answered(OrderEnd::Refused); });
        return;
    }
    const core::Duration loadTime
        = m_time.now() < storeSlowUntil ? m_time.between(500ms, 4s) : m_time.between(200ms, 300ms);
    m_time.after(loadTime, [this, adapter, answered, instance = m_instance] {
        if (instance != m_instance)
            return;
        m_resident.insert(adapter);
        answered(OrderEnd::Done);
    });
}

void SimEngine::run(EngineCall call, core::FencingToken token)
{
    m_time.after(m_time.between(200us, 5ms),
                 [this, call = std::move(call), token] { arrived(call, token); });
}

void SimEngine::arrived(const EngineCall &call, core::FencingToken token)
{
    const bool isCut = callsToCut > 0 && callsToCut-- > 0;
    if (isCut && m_time.chance(40)) {
        call.onEnd(core::Outcome::Unknown, false);
        return;
    }
    m_checker.engineAsked(m_id, m_time.now());
    if (isFenced(token) || !m_resident.contains(call.adapter)) {
        call.onEnd(core::Outcome::NotRun, !m_resident.contains(call.adapter));
        return;
    }
    auto run = std::make_shared<Run>(Run {call, ++m_serial, m_instance});
    m_runs.emplace(run->serial, run);
    m_open[call.request] = run;
    m_checker.ran(call.request);
    if (call.isCrashing)
        m_time.after(5ms, [this, run] {
            if (run->instance == m_instance)
                restart();
        });
    if (isCut)
        m_time.after(m_time.between(1ms, 300ms), [this, run] {
            if (!run->isOpen)
                return;
            end(run, core::Outcome::Unknown);
            closed(run->call.request);
        });
    answer(run);
}

void SimEngine::answer(const RunPtr &run)
{
    const bool isSilent = callsToSilence > 0 && callsToSilence-- > 0;
    const bool isLate = answersToDelay > 0 && answersToDelay-- > 0;
    const bool isCrossed = answersToCross > 0 && answersToCross-- > 0;
    const core::Duration work
        = isSilent || m_time.chance(10) ? m_time.between(1s, 4s) : m_time.between(50ms, 400ms);
    const core::Duration wayBack = isLate ? m_time.between(500ms, 5s) : m_time.between(200us, 5ms);
    const std::string model = isCrossed ? "other@1" : run->call.adapter.toString();
    m_time.after(work, [this, run] { ended(run); });
    if (isSilent) {
        m_time.after(byteTimeout, [this, run] { end(run, core::Outcome::Unknown); });
        return;
    }
    const core::Duration first = work / 3 + wayBack;
    if (first > byteTimeout) {
        m_time.after(byteTimeout, [this, run] { end(run, core::Outcome::Unknown); });
        return;
    }
    m_time.after(first, [run, model] {
        if (run->isOpen)
            run->call.onData(eventOf(run->call, model));
    });
    m_time.after(work + wayBack, [this, run] {
        if (!run->isOpen)
            return;
        run->call.onData("data: [DONE]\n\n");
        end(run, core::Outcome::Completed);
    });
}

void SimEngine::end(const RunPtr &run, core::Outcome outcome)
{
    if (std::exchange(run->isOpen, false))
        run->call.onEnd(outcome, false);
}

void SimEngine::ended(const RunPtr &run)
{
    m_runs.erase(run->serial);
    if (const auto open = m_open.find(run->call.request);
        open != m_open.end() && open->second == run)
        m_open.erase(open);
}

void SimEngine::closed(const core::RequestId &request)
{
    const auto open = m_open.find(request);
    if (open == m_open.end())
        return;
    const RunPtr run = open->second;
    run->isOpen = false;
    m_time.after(m_time.between(1ms, 1s), [this, run] { ended(run); });
}

void SimEngine::restart()
{
    ++m_instance;
    m_resident.clear();
    for (const auto &[serial, run] : std::exchange(m_runs, {}))
        m_time.after(m_time.between(1ms, 2s),
                     [this, run = run] { end(run, core::Outcome::Unknown); });
    m_open.clear();
}

EngineReport SimEngine::report()
{
    if (m_time.now() >= m_reportedAt + reportPeriod) {
        m_reportedAt = m_time.now();
        m_report = {m_instance, {}};
        for (const auto &[serial, run] : m_runs)
            m_report.running.insert(run->call.adapter);
    }
    return m_report;
}

} // namespace jackdawlead::faults
