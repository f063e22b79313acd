#pragma once

#include "auto/domainoverflow/overflowscenario.h"
#include "decisions/endpointchooser.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace jackdawlead::testsupport {

/// A request of a simulation.
struct SimulatedRequest
{
    int daemon = 0;
    int adapter = 0;
    core::TimePoint arrivedAt;
    core::TimePoint sentAt;
    core::Duration work {}; ///< Time in a slot of an endpoint of ordinary speed.
    double draw = 0;        ///< Uniform in [0, 1).
    int endpoint = -1;
    std::vector<int> tried;
};

/// What daemons know and what is true, for the rule under test.
struct SimulatedState
{
    explicit SimulatedState(const OverflowScenario &scenario)
        : scenario(scenario)
        , trueLoad(scenario.endpoints())
        , own(scenario.daemons(), std::vector<int>(scenario.endpoints()))
        , reported(own)
        , others(scenario.daemons(), std::vector<double>(scenario.endpoints()))
        , viewAt(scenario.daemons())
    { }

    decisions::Distance distance(int daemon, int endpoint) const
    {
        const int from = scenario.domainOfDaemon(daemon);
        const int to = scenario.domainOfEndpoint(endpoint);
        if (from == to)
            return decisions::Distance::SameDomain;
        return scenario.regionOf(from) == scenario.regionOf(to) ? decisions::Distance::SameRegion
                                                                : decisions::Distance::OtherRegion;
    }
    core::Duration roundTrip(decisions::Distance distance) const
    {
        switch (distance) {
        case decisions::Distance::SameDomain:
            return std::chrono::microseconds(400);
        case decisions::Distance::SameRegion:
            return std::chrono::microseconds(2800);
        case decisions::Distance::OtherRegion:
            break;
        }
        return std::chrono::milliseconds(60);
    }
    bool holds(int endpoint, const SimulatedRequest &request) const
    {
        return copies.empty() || copies[request.adapter][endpoint];
    }
    double knownLoad(int daemon, int endpoint) const
    {
        return others[daemon][endpoint] + own[daemon][endpoint];
    }

    const OverflowScenario &scenario;
    std::vector<int> trueLoad;
    std::vector<std::vector<int>> own;         ///< Requests in progress, by daemon and endpoint.
    std::vector<std::vector<int>> reported;    ///< The same as of the last report.
    std::vector<std::vector<double>> others;   ///< From the last view.
    std::vector<core::TimePoint> viewAt;       ///< State that the last view shows.
    std::vector<std::vector<bool>> copies;     ///< By adapter and endpoint.
    std::map<int, core::TimePoint> linkFreeAt; ///< Link between regions, by region that answers.
};

/// Daemons in front of the endpoints of six domains, in virtual time. `Policy` decides where a
/// request goes: choose() returns an endpoint or nothing, and it is told of sends, first events,
/// ends and failures.
template <typename Policy> class OverflowSimulation
{
public:
    explicit OverflowSimulation(const OverflowScenario &scenario)
        : m_scenario(scenario)
        , m_state(m_scenario)
        , m_random(scenario.seed)
        , m_policy(m_state)
        , m_queues(scenario.endpoints())
        , m_running(scenario.endpoints())
    { }

    OverflowResult run()
    {
        placeCopies();
        std::uniform_real_distribution<double> uniform(0, 1);
        for (int daemon = 0; daemon < m_scenario.daemons(); ++daemon) {
            const auto range = m_scenario.longestReportPeriod - m_scenario.shortestReportPeriod;
            const auto period
                = m_scenario.shortestReportPeriod + core::scaled(range, uniform(m_random));
            scheduleReport(daemon, core::TimePoint(core::scaled(period, uniform(m_random))),
                           period);
        }
        for (int domain = 0; domain < m_scenario.domains; ++domain)
            scheduleArrival(domain, core::TimePoint());
        const core::TimePoint end(m_scenario.length + std::chrono::seconds(6));
        while (!m_events.empty() && m_events.top().at < end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.handler();
        }
        m_result.shortCredit = m_credit[0] / std::max(1.0, m_counts[0]);
        m_result.otherCredit = m_credit[1] / std::max(1.0, m_counts[1]);
        m_result.requests = m_counts[0] + m_counts[1];
        m_result.bytes = m_result.domainBytes + 4 * m_result.regionBytes;
        return m_result;
    }

    const Policy &policy() const { return m_policy; }

private:
    struct Event
    {
        core::TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> handler;
        bool operator>(const Event &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    void schedule(core::TimePoint at, std::function<void()> handler)
    {
        m_events.push({at, m_nextEvent++, std::move(handler)});
    }

    bool isMeasured(core::TimePoint at) const
    {
        return at.time_since_epoch() >= m_scenario.warmUp
            && at.time_since_epoch() < m_scenario.length;
    }

    void placeCopies()
    {
        std::vector<int> order(m_scenario.endpoints());
        for (int endpoint = 0; endpoint < m_scenario.endpoints(); ++endpoint)
            order[endpoint] = endpoint;
        for (int adapter = 0; adapter < m_scenario.adapters; ++adapter) {
            std::ranges::shuffle(order, m_random);
            // Adapter i belongs to the callers of domain i modulo the number of domains; the
            // planner places copies in their region, or, if told so, in their domain.
            const int home = adapter % m_scenario.domains;
            std::ranges::stable_sort(order, {}, [this, home](int endpoint) {
                const int domain = m_scenario.domainOfEndpoint(endpoint);
                if (m_scenario.areCopiesAtHome && domain == home)
                    return 0;
                return m_scenario.regionOf(domain) == m_scenario.regionOf(home) ? 1 : 2;
            });
            std::vector<bool> holders(m_scenario.endpoints());
            for (int copy = 0; copy < m_scenario.copies; ++copy)
                holders[order[copy]] = true;
            m_state.copies.push_back(std::move(holders));
        }
    }

    void scheduleReport(int daemon, core::TimePoint at, core::Duration period)
    {
        schedule(at, [this, daemon, period] {
            const auto isLost = [this](const std::optional<Window> &window) {
                return window && window->contains(m_now);
            };
            if (!isLost(m_scenario.coordinatorLost))
                exchangeLoads(daemon);
            scheduleReport(daemon, m_now + period, period);
        });
    }

    void exchangeLoads(int daemon)
    {
        m_state.reported[daemon] = m_state.own[daemon];
        std::vector<double> others(m_scenario.endpoints());
        for (int other = 0; other < m_scenario.daemons(); ++other) {
            for (int endpoint = 0; other != daemon && endpoint < m_scenario.endpoints(); ++endpoint)
                others[endpoint] += m_state.reported[other][endpoint];
        }
        const core::TimePoint at = m_now;
        schedule(m_now + m_scenario.viewDelay, [this, daemon, at, others = std::move(others)] {
            m_state.others[daemon] = others;
            m_state.viewAt[daemon] = at;
        });
    }

    void scheduleArrival(int domain, core::TimePoint from)
    {
        double demand = m_scenario.demand[domain];
        if (domain == 0 && m_scenario.burst && !m_scenario.burst->contains(from))
            demand = m_scenario.demandOutsideBurst;
        const double perSecond = demand * m_scenario.endpointsPerDomain * m_scenario.slots
            / core::toSeconds(m_scenario.slotTime);
        const double wait = std::exponential_distribution<double>(perSecond)(m_random);
        const core::TimePoint at = from + core::scaled(std::chrono::seconds(1), wait);
        if (at.time_since_epoch() >= m_scenario.length)
            return;
        schedule(at, [this, domain] {
            const int first = domain * m_scenario.daemonsPerDomain;
            std::uniform_int_distribution<int> any(0, m_scenario.daemonsPerDomain - 1);
            SimulatedRequest request;
            request.daemon = first + any(m_random);
            request.arrivedAt = m_now;
            request.draw = std::uniform_real_distribution<double>(0, 1)(m_random);
            // Between half and one and a half of the mean, like streams of bounded length.
            request.work = core::scaled(m_scenario.slotTime,
                                        std::uniform_real_distribution<double>(0.5, 1.5)(m_random));
            if (m_scenario.adapters > 0) {
                const int own = (m_scenario.adapters - 1 - domain) / m_scenario.domains + 1;
                request.adapter = domain
                    + m_scenario.domains * std::uniform_int_distribution<int>(0, own - 1)(m_random);
            }
            if (isMeasured(m_now))
                ++m_counts[domain == 0 ? 0 : 1];
            dispatch(std::move(request));
            scheduleArrival(domain, m_now);
        });
    }

    void dispatch(SimulatedRequest request)
    {
        const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
        const auto endpoint = m_policy.choose(request, m_now, draw);
        if (!endpoint) {
            if (m_now - request.arrivedAt > m_scenario.target)
                recordCredit(request, 0);
            else
                schedule(m_now + std::chrono::milliseconds(20),
                         [this, request = std::move(request)] { dispatch(request); });
            return;
        }
        request.endpoint = *endpoint;
        request.sentAt = m_now;
        request.tried.push_back(*endpoint);
        ++m_state.own[request.daemon][*endpoint];
        m_policy.recordSend(request, m_now);
        const auto distance = m_state.distance(request.daemon, *endpoint);
        const bool isOtherRegion = distance == decisions::Distance::OtherRegion;
        std::uniform_real_distribution<double> uniform(0, 1);
        if (isOtherRegion
            && ((m_scenario.regionsCut && m_scenario.regionsCut->contains(m_now))
                || uniform(m_random) < m_scenario.lossProbability)) {
            // The time-out of connections.
            schedule(m_now + std::chrono::seconds(1), [this, request] { fail(request); });
            return;
        }
        if (distance != decisions::Distance::SameDomain)
            countBorder(*endpoint, isOtherRegion);
        schedule(m_now + m_state.roundTrip(distance) / 2 + m_policy.searchTime(),
                 [this, request] { arrive(request); });
    }

    void countBorder(int endpoint, bool isOtherRegion)
    {
        if (!isMeasured(m_now))
            return;
        (isOtherRegion ? m_result.regionBytes : m_result.domainBytes) += m_scenario.answerBytes;
        auto &recent = m_taken[m_scenario.domainOfEndpoint(endpoint)];
        recent.push_back(m_now);
        while (m_now - recent.front() > std::chrono::milliseconds(500))
            recent.pop_front();
        m_result.mostTaken = std::max(m_result.mostTaken, static_cast<double>(recent.size()));
    }

    void fail(SimulatedRequest request)
    {
        --m_state.own[request.daemon][request.endpoint];
        m_policy.recordFailure(request, m_now);
        dispatch(std::move(request));
    }

    void arrive(const SimulatedRequest &request)
    {
        ++m_state.trueLoad[request.endpoint];
        if (m_running[request.endpoint] < m_scenario.slots)
            begin(request);
        else
            m_queues[request.endpoint].push_back(request);
    }

    void begin(const SimulatedRequest &request)
    {
        const int domain = m_scenario.domainOfEndpoint(request.endpoint);
        const double slowness = m_scenario.slowness[domain];
        const auto distance = m_state.distance(request.daemon, request.endpoint);
        core::Duration linkTime {};
        if (distance == decisions::Distance::OtherRegion) {
            core::TimePoint &freeAt = m_state.linkFreeAt[m_scenario.regionOf(domain)];
            freeAt = std::max(freeAt, m_now)
                + core::scaled(std::chrono::seconds(1),
                               m_scenario.answerBytes / m_scenario.linkBytesPerSecond);
            linkTime = freeAt - m_now;
        }
        ++m_running[request.endpoint];
        const core::Duration back = m_state.roundTrip(distance) / 2 + linkTime;
        schedule(m_now + core::scaled(m_scenario.prefill, slowness) + back, [this, request] {
            m_policy.recordFirstEvent(request, m_now);
            const double late = core::toSeconds(m_now - request.arrivedAt - m_scenario.target)
                / core::toSeconds(m_scenario.target);
            recordCredit(request, std::clamp(1 - late, 0.0, 1.0));
        });
        const core::TimePoint end = m_now + core::scaled(request.work, slowness);
        schedule(end, [this, endpoint = request.endpoint] { leave(endpoint); });
        schedule(end + back, [this, request] {
            --m_state.own[request.daemon][request.endpoint];
            m_policy.recordEnd(request, m_now);
        });
    }

    void leave(int endpoint)
    {
        --m_running[endpoint];
        --m_state.trueLoad[endpoint];
        if (m_queues[endpoint].empty())
            return;
        const SimulatedRequest next = std::move(m_queues[endpoint].front());
        m_queues[endpoint].pop_front();
        begin(next);
    }

    void recordCredit(const SimulatedRequest &request, double credit)
    {
        if (!isMeasured(request.arrivedAt))
            return;
        const int group = m_scenario.domainOfDaemon(request.daemon) == 0 ? 0 : 1;
        m_credit[group] += credit;
    }

    const OverflowScenario m_scenario;
    SimulatedState m_state;
    std::mt19937_64 m_random;
    Policy m_policy;
    core::TimePoint m_now;
    std::uint64_t m_nextEvent = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::deque<SimulatedRequest>> m_queues;
    std::vector<int> m_running;
    std::map<int, std::deque<core::TimePoint>> m_taken; ///< By domain, in the last 500 ms.
    double m_credit[2] = {};
    double m_counts[2] = {};
    OverflowResult m_result;
};

} // namespace jackdawlead::testsupport
