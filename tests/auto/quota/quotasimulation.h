#pragma once

#include "auto/quota/quotapolicies.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jackdawlead::testsupport {

/// Cost of a request: of a chat, a summary or another one, with the means and maxima of the load.
inline double drawRequestCost(std::mt19937_64 &random)
{
    const double kind = std::uniform_real_distribution<double>(0, 1)(random);
    if (kind < 0.15)
        return 200;
    const bool isChat = kind < 0.85;
    std::gamma_distribution<double> draw(2, (isChat ? 1118 : 2391) / 2.0);
    return std::round(std::clamp(draw(random), 20.0, isChat ? 4798.0 : 8492.0));
}
inline constexpr double meanRequestCost = 0.15 * 200 + 0.7 * 1118 + 0.15 * 2391;

template <typename Policy> class QuotaSimulation
{
public:
    explicit QuotaSimulation(const QuotaScenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed + 1)
    { }

    QuotaResult run()
    {
        std::lognormal_distribution<double> weight(0, m_scenario.skew);
        std::vector<double> weights;
        m_nodes.resize(static_cast<std::size_t>(m_scenario.daemons));
        for (int i = 0; i < m_scenario.daemons; ++i) {
            Node &node = at(i);
            node.isFar = draw(0, 1) < m_scenario.farDaemons;
            weights.push_back(weight(m_random));
            start(i);
        }
        m_pick = std::discrete_distribution<int>(weights.begin(), weights.end());
        beginTerm();
        scheduleFaults();
        scheduleLowering();
        schedule(simulationStart, [this] { scheduleArrival(); });
        schedule(simulationStart, [this] { writeRecords(); });
        schedule(simulationStart, [this] { compareHeld(); });
        while (!m_events.empty() && m_events.top().at < end()) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        return result();
    }

private:
    struct Request
    {
        double tokens = 0;
        core::TimePoint arrivedAt;
    };
    struct Node
    {
        std::optional<typename Policy::Daemon> daemon;
        int incarnation = 0;
        bool isFar = false;
        bool isCallInFlight = false;
        core::TimePoint frozenUntil;
        core::Duration frozenTime {};
        std::deque<Request> waiting;
        double asked = 0;
        double served = 0;
    };
    struct Event
    {
        core::TimePoint at;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };
    struct Served
    {
        core::TimePoint at;
        double tokens = 0;
    };

    core::TimePoint end() const { return simulationStart + m_scenario.length; }
    Node &at(int i) { return m_nodes[static_cast<std::size_t>(i)]; }
    double draw(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(m_random);
    }
    core::Duration drawTime(double from, double to)
    {
        return core::scaled(std::chrono::seconds(1), draw(from, to));
    }
    void schedule(core::TimePoint time, std::function<void()> action)
    {
        m_events.push({time, m_sequence++, std::move(action)});
    }
    /// Runs the action at the daemon, after it has woken up, unless it has been restarted.
    void scheduleAt(int i, core::TimePoint time, std::function<void()> action)
    {
        schedule(time, [this, i, incarnation = at(i).incarnation, action] {
            if (at(i).incarnation != incarnation || !at(i).daemon)
                return;
            if (at(i).frozenUntil > m_now)
                scheduleAt(i, at(i).frozenUntil, action);
            else
                action();
        });
    }
    core::TimePoint clockOf(int i)
    {
        if (!Policy::isClockPaused)
            return m_now;
        const core::TimePoint running = std::max(m_now, at(i).frozenUntil);
        return running - at(i).frozenTime;
    }
    const fleet::Quota &quota(bool isLowered) const
    {
        return isLowered ? m_scenario.lowered : m_scenario.quota;
    }
    core::HostId host(int i) const { return core::HostId("h" + std::to_string(i)); }

    void start(int i)
    {
        Node &node = at(i);
        ++node.incarnation;
        node.isCallInFlight = false;
        node.waiting.clear();
        node.daemon.emplace(fleet::StartTime(1000 * i + node.incarnation));
        if constexpr (requires { node.daemon->setScenario(m_scenario); })
            node.daemon->setScenario(m_scenario);
        node.daemon->setTolerance(m_scenario.tolerance);
        setQuota(i, m_now - simulationStart >= m_scenario.loweredAt);
        scheduleAt(i, m_now + drawTime(0, 0.5), [this, i] { reportRegularly(i); });
    }
    void setQuota(int i, bool isLowered)
    {
        at(i).daemon->setQuotas({{simulatedCustomer, quota(isLowered)}}, clockOf(i));
    }

    void beginTerm()
    {
        m_coordinatorIndex
            = std::uniform_int_distribution<int>(0, m_scenario.daemons - 1)(m_random);
        m_token = m_token.next();
        m_coordinator.emplace(m_scenario, quota(m_isLoweredAtCoordinator), m_records, m_token,
                              m_now);
    }
    void writeRecords()
    {
        if (m_coordinator)
            m_records = m_coordinator->records();
        schedule(m_now + std::chrono::seconds(1), [this] { writeRecords(); });
    }
    /// Tokens that daemons can spend and those in the bucket must not exceed the capacity.
    void compareHeld()
    {
        schedule(m_now + std::chrono::milliseconds(100), [this] { compareHeld(); });
        const core::Duration time = m_now - simulationStart;
        const bool isLowered = time >= m_scenario.loweredAt;
        // Allowances of the former capacity expire first.
        if (!m_coordinator || (isLowered && time - m_scenario.loweredAt < std::chrono::seconds(4)))
            return;
        double held = m_coordinator->available();
        for (int i = 0; i < m_scenario.daemons; ++i)
            held += at(i).daemon ? at(i).daemon->held(simulatedCustomer, clockOf(i)) : 0;
        const double capacity = QuotaIssuer(m_scenario.tolerance).capacityOf(quota(isLowered));
        m_worstHeld = std::max(m_worstHeld, held / capacity);
    }
    void scheduleLowering()
    {
        if (m_scenario.loweredAt >= m_scenario.length)
            return;
        const core::TimePoint acknowledged = simulationStart + m_scenario.loweredAt;
        for (int i = 0; i < m_scenario.daemons; ++i) {
            schedule(acknowledged + drawTime(0, 4), [this, i] {
                if (at(i).daemon)
                    scheduleAt(i, m_now, [this, i] { setQuota(i, true); });
            });
        }
        // Allowances that were issued before expire within 1.5 s, inside the 4 s.
        schedule(acknowledged + drawTime(0, 2.4), [this] {
            m_isLoweredAtCoordinator = true;
            if (m_coordinator)
                m_coordinator->setQuota(quota(true), m_now);
        });
    }
    void scheduleFaults()
    {
        for (const QuotaFault &fault : m_scenario.faults)
            schedule(simulationStart + fault.at, [this, &fault] { begin(fault); });
    }
    void begin(const QuotaFault &fault)
    {
        using Kind = QuotaFault::Kind;
        if (fault.kind == Kind::Freeze) {
            for (const int i : fault.daemons)
                freeze(i, fault.length);
        } else if (fault.kind == Kind::LoseCoordinator || fault.kind == Kind::KillAll) {
            if (!m_coordinator)
                return;
            m_coordinator.reset();
            schedule(m_now + fault.length, [this] { beginTerm(); });
            for (int i = 0; fault.kind == Kind::KillAll && i < m_scenario.daemons; ++i) {
                at(i).daemon.reset();
                schedule(m_now + drawTime(0.5, 3), [this, i] { start(i); });
            }
        } else {
            m_active.push_back(&fault);
            schedule(m_now + fault.length, [this, &fault] { std::erase(m_active, &fault); });
        }
    }
    void freeze(int i, core::Duration length)
    {
        // The coordinator's own process is replaced if it stands still.
        if (i == m_coordinatorIndex && m_scenario.daemons > 1)
            return;
        at(i).frozenTime += m_now + length - std::max(m_now, at(i).frozenUntil);
        at(i).frozenUntil = m_now + length;
    }
    bool isLost(int i, QuotaFault::Kind direction)
    {
        if (draw(0, 1) < m_scenario.loss)
            return true;
        return i != m_coordinatorIndex
            && std::ranges::any_of(m_active, [i, direction](const QuotaFault *fault) {
                   return (fault->kind == direction || fault->kind == QuotaFault::Kind::Cut)
                       && std::ranges::find(fault->daemons, i) != fault->daemons.end();
               });
    }

    core::Duration delay(int i)
    {
        const bool isNear = at(i).isFar == at(m_coordinatorIndex).isFar;
        return core::scaled(std::chrono::milliseconds(isNear ? 3 : 60), draw(0.45, 0.6));
    }
    void reportRegularly(int i)
    {
        send(i, true);
        scheduleAt(i, m_now + drawTime(0.25, 0.75), [this, i] { reportRegularly(i); });
    }
    void call(int i)
    {
        Node &node = at(i);
        if (node.isCallInFlight || !node.daemon->isReportDue())
            return;
        node.isCallInFlight = true;
        ++m_calls;
        send(i, false);
    }
    void send(int i, bool isRegular)
    {
        const QuotaReport report = at(i).daemon->takeReport(isRegular, clockOf(i));
        const core::TimePoint sentAt = m_now;
        const core::TimePoint clockAtSending = clockOf(i);
        const auto isDone = std::make_shared<bool>(false);
        if (!isRegular) {
            scheduleAt(i, m_now + std::chrono::milliseconds(300), [this, i, isDone] {
                if (*isDone)
                    return;
                *isDone = true;
                at(i).isCallInFlight = false;
                at(i).daemon->recordLostReport();
                call(i);
            });
        }
        if (isLost(i, QuotaFault::Kind::CutReports))
            return;
        schedule(
            sentAt + delay(i),
            [this, i, report, clockAtSending, isRegular, isDone, incarnation = at(i).incarnation] {
                if (!m_coordinator)
                    return;
                ++m_reports;
                const QuotaAnswer answer = m_coordinator->handle(host(i), report, m_now);
                if (isLost(i, QuotaFault::Kind::CutAnswers) || at(i).incarnation != incarnation)
                    return;
                scheduleAt(i, m_now + delay(i),
                           [this, i, answer, clockAtSending, isRegular, isDone] {
                               receive(i, answer, clockAtSending, isRegular, *isDone);
                               *isDone = true;
                           });
            });
    }
    void receive(int i, const QuotaAnswer &answer, core::TimePoint sentAt, bool isRegular,
                 bool isTimedOut)
    {
        if (!isRegular && isTimedOut)
            return;
        if (!isRegular)
            at(i).isCallInFlight = false;
        at(i).daemon->apply(answer, sentAt, clockOf(i));
        retryWaiting(i);
        call(i);
    }

    void scheduleArrival()
    {
        const core::Duration time = m_now - simulationStart;
        double factor = 0;
        core::Duration until = m_scenario.length;
        for (const QuotaLoad &load : m_scenario.loads) {
            if (load.from <= time)
                factor = load.factor;
            else
                until = std::min(until, load.from);
        }
        const double rate = factor * m_scenario.quota.tokensPerSecond / meanRequestCost;
        const core::TimePoint change = simulationStart + until;
        const core::TimePoint next = rate > 0 ? m_now
                + core::scaled(std::chrono::seconds(1),
                               std::exponential_distribution<double>(rate)(m_random))
                                              : change;
        if (next >= change) {
            if (change < end())
                schedule(change, [this] { scheduleArrival(); });
            return;
        }
        schedule(next, [this] {
            const int i = m_pick(m_random);
            const double tokens = drawRequestCost(m_random);
            if (at(i).daemon)
                scheduleAt(i, m_now, [this, i, tokens] { arrive(i, tokens); });
            scheduleArrival();
        });
    }
    bool isCounted() const { return m_now >= simulationStart + m_scenario.warmUp; }
    void arrive(int i, double tokens)
    {
        if (isCounted()) {
            ++m_askedRequests;
            m_asked += tokens;
            at(i).asked += tokens;
        }
        const auto decision = at(i).daemon->trySpend(simulatedCustomer, tokens, true, clockOf(i));
        if (decide(i, {tokens, m_now}, decision.verdict))
            return;
        at(i).daemon->addWaiting(simulatedCustomer, tokens);
        at(i).waiting.push_back({tokens, m_now});
        scheduleAt(i, m_now + m_scenario.maxWait, [this, i] { retryWaiting(i); });
        call(i);
    }
    /// Returns whether the request no longer waits.
    bool decide(int i, const Request &request, QuotaAllowance::Verdict verdict)
    {
        using Verdict = QuotaAllowance::Verdict;
        if (verdict == Verdict::Granted) {
            serve(i, request);
            return true;
        }
        if (verdict == Verdict::Wait && m_now - request.arrivedAt < m_scenario.maxWait)
            return false;
        if (!isCounted())
            return true;
        if (verdict == Verdict::Exhausted) {
            ++m_exhausted;
            m_last429 = m_now;
        } else {
            ++m_unavailable;
        }
        return true;
    }
    void retryWaiting(int i)
    {
        std::deque<Request> kept;
        for (const Request &request : std::exchange(at(i).waiting, {})) {
            auto &daemon = *at(i).daemon;
            const auto verdict
                = daemon.trySpend(simulatedCustomer, request.tokens, false, clockOf(i)).verdict;
            if (decide(i, request, verdict))
                daemon.removeWaiting(simulatedCustomer, request.tokens);
            else
                kept.push_back(request);
        }
        at(i).waiting = kept;
    }
    void serve(int i, const Request &request)
    {
        if (isCounted()) {
            ++m_servedRequests;
            const core::Duration wait = m_now - request.arrivedAt;
            m_waited += wait > core::Duration(0) ? 1 : 0;
            m_waitTime += core::toSeconds(wait);
            m_servedTokens += request.tokens;
            at(i).served += request.tokens;
        }
        const bool isRefused = std::ranges::any_of(m_active, [](const QuotaFault *fault) {
            return fault->kind == QuotaFault::Kind::RefuseRequests;
        });
        if (isRefused || draw(0, 1) < m_scenario.notRun) {
            scheduleAt(i, m_now + drawTime(0.01, 5), [this, i, tokens = request.tokens] {
                at(i).daemon->refund(simulatedCustomer, tokens);
            });
            return;
        }
        m_served.push_back({m_now, request.tokens});
    }

    void findWorstWindow(QuotaResult &result) const
    {
        double sum = 0;
        std::size_t last = 0;
        for (std::size_t first = 0; first < m_served.size(); ++first) {
            const core::TimePoint begin = m_served[first].at;
            while (last < m_served.size()
                   && m_served[last].at < begin + m_scenario.tolerance.window)
                sum += m_served[last++].tokens;
            const bool isLowered = m_scenario.loweredAt < m_scenario.length
                && begin > simulationStart + m_scenario.loweredAt + std::chrono::seconds(4);
            const double part = sum / m_scenario.bound(quota(isLowered));
            if (part > result.worstWindow) {
                result.worstWindow = part;
                result.worstTokens = sum;
                result.worstFrom = core::toSeconds(begin - simulationStart);
            }
            sum -= m_served[first].tokens;
        }
    }
    QuotaResult result() const
    {
        QuotaResult result;
        findWorstWindow(result);
        result.worstHeld = m_worstHeld;
        const double length = core::toSeconds(m_scenario.length - m_scenario.warmUp);
        const auto part = [](double count, double of) { return of > 0 ? count / of : 0; };
        result.servedOfLimit = m_servedTokens / (m_scenario.quota.tokensPerSecond * length);
        result.servedOfDemand = part(m_servedTokens, m_asked);
        result.waited = part(m_waited, m_servedRequests);
        result.meanWaitMs = 1000 * part(m_waitTime, m_servedRequests);
        result.exhausted = part(m_exhausted, m_askedRequests);
        result.unavailable = part(m_unavailable, m_askedRequests);
        result.reportsPerSecond = m_reports / core::toSeconds(m_scenario.length);
        result.callsPerSecond = m_calls / core::toSeconds(m_scenario.length);
        double deviation = 0;
        for (const Node &node : m_nodes)
            deviation += std::abs(node.served - node.asked * result.servedOfDemand);
        result.unfairness = part(deviation, m_servedTokens);
        result.last429 = core::toSeconds(m_last429 - simulationStart);
        return result;
    }

    QuotaScenario m_scenario;
    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    std::discrete_distribution<int> m_pick;
    std::optional<typename Policy::Coordinator> m_coordinator;
    int m_coordinatorIndex = 0;
    core::FencingToken m_token;
    QuotaHolders::Records m_records;
    bool m_isLoweredAtCoordinator = false;
    std::vector<const QuotaFault *> m_active;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    core::TimePoint m_now = simulationStart;
    std::vector<Served> m_served; ///< Requests that ran.
    double m_worstHeld = 0;
    double m_askedRequests = 0;
    double m_servedRequests = 0;
    double m_asked = 0;
    double m_servedTokens = 0;
    double m_waited = 0;
    double m_waitTime = 0;
    double m_exhausted = 0;
    double m_unavailable = 0;
    double m_reports = 0;
    double m_calls = 0;
    core::TimePoint m_last429 = simulationStart;
};

} // namespace jackdawlead::testsupport
