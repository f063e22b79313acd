#pragma once

#include "auto/streamforecast/simulatedengine.h"

#include <cmath>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <vector>

namespace jackdawlead::testsupport {

/// Daemons that send streams to endpoints of different speeds, in virtual time.
struct StreamScenario
{
    int daemons = 71;
    int endpoints = 60;
    std::vector<double> timeFactors {0.7, 0.7, 1.7}; ///< Of the endpoints, in turn.
    double requestsPerSecond = 400;                  ///< Of all daemons together.
    /// Exponent by which the first daemons get more requests than the last ones; 1 for equal parts.
    double daemonSkew = 1;
    double longPromptShare = 0.3; ///< 2,368 tokens; the others 826.
    /// Endpoints that hold what a request asks for, drawn for each request; all if zero.
    int holders = 0;
    core::Duration reportPeriod = std::chrono::milliseconds(500);
    core::Duration targetLatency = std::chrono::milliseconds(1000); ///< Of the first event.
    core::Duration targetGap = std::chrono::milliseconds(300);
    core::Duration length = std::chrono::seconds(60);
    core::Duration warmUp = std::chrono::seconds(10);
    /// From this time on endpoint 0 takes `slowFactor` times as long.
    core::Duration slowAt = core::Duration::max();
    core::Duration slowEnd = core::Duration::max();
    double slowFactor = 3.5;
    std::uint64_t seed = 1;
};

struct SimulatedStream
{
    int daemon = 0;
    int endpoint = -1; ///< Once sent.
    int promptTokens = 0;
    int outputTokens = 0;
    std::vector<int> holders; ///< All endpoints if empty.
    core::TimePoint arrival;
    core::TimePoint sentAt;
    core::TimePoint lastEventAt;
    core::Duration longestGap {};
    bool hasBegun = false;
    bool isFirstLate = false;
    bool isRefused = false;

    bool isLate(core::Duration targetGap) const
    {
        return isRefused || isFirstLate || longestGap > targetGap;
    }
};

struct StreamResult
{
    int streams = 0;
    int late = 0;
    int lateFirst = 0;   ///< Because of the first event.
    int lateAtThree = 0; ///< With gaps of up to three seconds allowed.
    int refused = 0;
    double meanWaitMilliseconds = 0; ///< At the daemon.
    /// Streams that were sent to endpoint 0 from one second after it turned slow, and all of them.
    int sentToSlow = 0;
    int sentWhileSlow = 0;

    double lateShare() const { return streams == 0 ? 0 : static_cast<double>(late) / streams; }
};

/// Runs one policy over one scenario. A policy knows of the endpoints what its daemons are told.
template <typename Policy> class StreamSimulation
{
public:
    explicit StreamSimulation(const StreamScenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_draws(scenario.seed + 1)
        , m_engines(static_cast<std::size_t>(scenario.endpoints))
        , m_isStepping(static_cast<std::size_t>(scenario.endpoints))
        , m_policy(scenario, m_engines)
    {
        for (int index = 0; index < scenario.endpoints; ++index)
            m_engines[static_cast<std::size_t>(index)].setTimeFactor(factorOf(index));
    }

    StreamResult run()
    {
        scheduleArrival();
        for (int daemon = 0; daemon < m_scenario.daemons; ++daemon)
            scheduleReport(daemon, core::scaled(m_scenario.reportPeriod, m_uniform(m_random)));
        if (m_scenario.slowAt != core::Duration::max()) {
            schedule(m_scenario.slowAt,
                     [this] { m_engines[0].setTimeFactor(factorOf(0) * m_scenario.slowFactor); });
            schedule(std::min(m_scenario.slowEnd, m_scenario.length * 2),
                     [this] { m_engines[0].setTimeFactor(factorOf(0)); });
        }
        while (!m_events.empty() && m_events.top().at <= begin + m_scenario.length) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        return result();
    }

    Policy &policy() { return m_policy; }
    core::TimePoint now() const { return m_now; }
    const std::vector<SimulatedEngine> &engines() const { return m_engines; }

    static constexpr core::TimePoint begin {std::chrono::seconds(1000)};

private:
    static constexpr core::Duration retryPeriod = std::chrono::milliseconds(20);
    static constexpr core::Duration latency = std::chrono::microseconds(1400);
    static constexpr double maxWaitFraction = 0.6; ///< As the daemon's capacityWaitFraction.

    struct Event
    {
        core::TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    double factorOf(int endpoint) const
    {
        const auto count = m_scenario.timeFactors.size();
        return m_scenario.timeFactors[static_cast<std::size_t>(endpoint) % count];
    }

    void schedule(core::Duration sinceBegin, std::function<void()> run)
    {
        m_events.push({begin + sinceBegin, m_nextNumber++, std::move(run)});
    }
    void scheduleIn(core::Duration delay, std::function<void()> run)
    {
        m_events.push({m_now + delay, m_nextNumber++, std::move(run)});
    }

    void scheduleArrival()
    {
        const double gap = -std::log(1 - m_uniform(m_random)) / m_scenario.requestsPerSecond;
        scheduleIn(core::scaled(std::chrono::seconds(1), gap), [this] {
            addStream();
            scheduleArrival();
        });
    }

    void addStream()
    {
        SimulatedStream stream;
        stream.daemon = static_cast<int>(std::pow(m_uniform(m_random), m_scenario.daemonSkew)
                                         * m_scenario.daemons);
        const bool isLong = m_uniform(m_random) < m_scenario.longPromptShare;
        stream.promptTokens = isLong ? 2368 : 826;
        const double meanOutput = isLong ? 120 : 290;
        stream.outputTokens
            = 16 + static_cast<int>(-std::log(1 - m_uniform(m_random)) * (meanOutput - 16));
        for (int count = 0; count < m_scenario.holders; ++count)
            stream.holders.push_back(static_cast<int>(m_uniform(m_random) * m_scenario.endpoints));
        stream.arrival = m_now;
        m_streams.push_back(std::move(stream));
        trySend(static_cast<int>(m_streams.size()) - 1);
    }

    void trySend(int number)
    {
        SimulatedStream &stream = at(number);
        const auto endpoint = m_policy.choose(stream, m_now, m_uniform(m_draws));
        if (!endpoint) {
            const core::Duration maxWait = core::scaled(m_scenario.targetLatency, maxWaitFraction);
            if (m_now - stream.arrival >= maxWait)
                stream.isRefused = true;
            else
                scheduleIn(retryPeriod, [this, number] { trySend(number); });
            return;
        }
        stream.endpoint = *endpoint;
        stream.sentAt = m_now;
        m_policy.recordSend(stream, m_now);
        scheduleIn(latency, [this, number] {
            const SimulatedStream &sent = at(number);
            engine(sent.endpoint).add(number, sent.promptTokens, sent.outputTokens);
            startStep(sent.endpoint);
        });
    }

    void startStep(int endpoint)
    {
        const auto index = static_cast<std::size_t>(endpoint);
        if (m_isStepping[index] || engine(endpoint).isIdle())
            return;
        m_isStepping[index] = true;
        scheduleIn(engine(endpoint).startStep(), [this, endpoint, index] {
            m_isStepping[index] = false;
            for (const auto &emission : engine(endpoint).endStep())
                recordEvent(emission);
            startStep(endpoint);
        });
    }

    void recordEvent(const SimulatedEngine::Emission &emission)
    {
        SimulatedStream &stream = at(emission.stream);
        const core::TimePoint seenAt = m_now + latency;
        if (!stream.hasBegun) {
            stream.hasBegun = true;
            stream.isFirstLate = seenAt - stream.arrival > m_scenario.targetLatency;
            m_policy.recordFirstEvent(stream, seenAt);
        } else {
            const core::Duration gap = seenAt - stream.lastEventAt;
            stream.longestGap = std::max(stream.longestGap, gap);
            if (!emission.isLast)
                m_policy.recordGap(stream, gap, seenAt);
        }
        stream.lastEventAt = seenAt;
        if (emission.isLast)
            m_policy.recordEnd(stream, seenAt);
    }

    void scheduleReport(int daemon, core::Duration delay)
    {
        scheduleIn(delay, [this, daemon] {
            m_policy.report(daemon, m_now);
            scheduleReport(daemon, m_scenario.reportPeriod);
        });
    }

    StreamResult result() const
    {
        StreamResult result;
        constexpr core::Duration longGap = std::chrono::seconds(3);
        // A stream that arrives shortly before the end may still run then.
        const core::TimePoint end = begin + m_scenario.length - std::chrono::seconds(5);
        double wait = 0;
        for (const SimulatedStream &stream : m_streams) {
            recordSlow(stream, result);
            if (stream.arrival < begin + m_scenario.warmUp || stream.arrival > end)
                continue;
            ++result.streams;
            result.late += stream.isLate(m_scenario.targetGap) ? 1 : 0;
            result.lateFirst += stream.isFirstLate ? 1 : 0;
            result.lateAtThree += stream.isLate(longGap) ? 1 : 0;
            result.refused += stream.isRefused ? 1 : 0;
            if (!stream.isRefused)
                wait += core::toSeconds(stream.sentAt - stream.arrival) * 1000;
        }
        result.meanWaitMilliseconds = wait / std::max(1, result.streams - result.refused);
        return result;
    }

    void recordSlow(const SimulatedStream &stream, StreamResult &result) const
    {
        const core::Duration since = stream.sentAt - begin;
        if (stream.endpoint < 0 || m_scenario.slowAt == core::Duration::max()
            || since < m_scenario.slowAt + std::chrono::seconds(1)
            || since > std::min(m_scenario.slowEnd, m_scenario.length))
            return;
        ++result.sentWhileSlow;
        result.sentToSlow += stream.endpoint == 0 ? 1 : 0;
    }

    SimulatedStream &at(int number) { return m_streams[static_cast<std::size_t>(number)]; }
    SimulatedEngine &engine(int endpoint) { return m_engines[static_cast<std::size_t>(endpoint)]; }

    StreamScenario m_scenario;
    std::mt19937_64 m_random;
    std::mt19937_64 m_draws; ///< Of the policy, so that all policies get the same requests.
    std::uniform_real_distribution<double> m_uniform {0.0, 1.0};
    std::vector<SimulatedEngine> m_engines;
    std::vector<bool> m_isStepping;
    Policy m_policy;
    std::vector<SimulatedStream> m_streams;
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextNumber = 0;
    core::TimePoint m_now = begin;
};

} // namespace jackdawlead::testsupport
