#pragma once

#include "auto/streamforecast/streamsimulation.h"
#include "decisions/endpointchooser.h"
#include "decisions/requestcostestimator.h"
#include "decisions/streams/endpointspeed.h"
#include "decisions/streams/prefillforecast.h"
#include "decisions/streams/streamchooser.h"
#include "decisions/streams/streamshares.h"

#include <algorithm>
#include <map>
#include <string>

namespace jackdawlead::testsupport {

/// What the daemons count and report of each endpoint, as EndpointPool, PeerLink and Coordinator
/// do.
class SimulatedLoads
{
public:
    struct Entry
    {
        int inProgress = 0;
        int pendingTokens = 0;
        double recentTokens = 0; ///< Decays with a time constant of a second.
        core::TimePoint recentAt;
        double othersLoad = 0;
        double reportedLoad = 0; ///< Own, as of the last report.
        double reportedTokens = 0;
        double reportedRequests = 0;
        double othersRequests = 0;
    };

    SimulatedLoads(int daemons, int endpoints)
        : m_entries(static_cast<std::size_t>(daemons),
                    std::vector<Entry>(static_cast<std::size_t>(endpoints)))
    { }

    Entry &at(int daemon, int endpoint)
    {
        return m_entries[static_cast<std::size_t>(daemon)][static_cast<std::size_t>(endpoint)];
    }

    double ownLoad(int daemon, int endpoint, double tokensPerSecond, core::TimePoint now)
    {
        const Entry &entry = at(daemon, endpoint);
        return entry.inProgress
            + SimulatedEngine::slots * recentTokens(entry, now) / tokensPerSecond;
    }

    void recordSend(const SimulatedStream &stream, core::TimePoint now)
    {
        Entry &entry = at(stream.daemon, stream.endpoint);
        ++entry.inProgress;
        entry.pendingTokens += stream.promptTokens;
        entry.recentTokens = recentTokens(entry, now) + stream.promptTokens;
        entry.recentAt = now;
    }
    void recordFirstEvent(const SimulatedStream &stream)
    {
        at(stream.daemon, stream.endpoint).pendingTokens -= stream.promptTokens;
    }
    void recordEnd(const SimulatedStream &stream)
    {
        --at(stream.daemon, stream.endpoint).inProgress;
    }

    /// Sums a value of all daemons' entries of an endpoint.
    template <typename Member> double sum(int endpoint, Member member) const
    {
        double total = 0;
        for (const auto &daemon : m_entries)
            total += daemon[static_cast<std::size_t>(endpoint)].*member;
        return total;
    }

private:
    static double recentTokens(const Entry &entry, core::TimePoint now)
    {
        return entry.recentTokens * std::exp(-core::toSeconds(now - entry.recentAt));
    }

    std::vector<std::vector<Entry>> m_entries;
};

inline std::vector<core::EndpointId> endpointIds(int count)
{
    std::vector<core::EndpointId> ids;
    ids.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        ids.emplace_back("e" + std::to_string(index));
    return ids;
}

/// The choice by load and this daemon's own prompts.
class PresentChooser
{
public:
    PresentChooser(const StreamScenario &scenario, const std::vector<SimulatedEngine> & /*engines*/)
        : m_scenario(scenario)
        , m_ids(endpointIds(scenario.endpoints))
        , m_loads(scenario.daemons, scenario.endpoints)
        , m_costs(static_cast<std::size_t>(scenario.daemons))
    { }

    std::optional<int> choose(const SimulatedStream &stream, core::TimePoint now, double draw)
    {
        std::vector<decisions::EndpointOption> options;
        for (const int endpoint : candidatesOf(stream))
            options.push_back(optionFor(stream.daemon, endpoint, now));
        return indexOf(chooseEndpoint(options, draw, unreportedPerEndpoint()));
    }

    void recordSend(const SimulatedStream &stream, core::TimePoint now)
    {
        m_loads.recordSend(stream, now);
    }
    void recordFirstEvent(const SimulatedStream &stream, core::TimePoint now)
    {
        m_loads.recordFirstEvent(stream);
        const bool isOnly = m_loads.at(stream.daemon, stream.endpoint).pendingTokens == 0;
        costOf(stream.daemon).recordFirstEvent(stream.promptTokens, now - stream.sentAt, isOnly);
    }
    void recordGap(const SimulatedStream & /*stream*/, core::Duration /*gap*/,
                   core::TimePoint /*now*/)
    { }
    void recordEnd(const SimulatedStream &stream, core::TimePoint /*now*/)
    {
        m_loads.recordEnd(stream);
    }

    void report(int daemon, core::TimePoint now)
    {
        for (int endpoint = 0; endpoint < m_scenario.endpoints; ++endpoint) {
            auto &entry = m_loads.at(daemon, endpoint);
            entry.reportedLoad
                = m_loads.ownLoad(daemon, endpoint, costOf(daemon).tokensPerSecond(), now);
            entry.reportedTokens = entry.pendingTokens;
            entry.reportedRequests = entry.inProgress;
            entry.othersRequests = m_loads.sum(endpoint, &SimulatedLoads::Entry::reportedRequests)
                - entry.reportedRequests;
            entry.othersLoad
                = m_loads.sum(endpoint, &SimulatedLoads::Entry::reportedLoad) - entry.reportedLoad;
        }
    }

protected:
    std::vector<int> candidatesOf(const SimulatedStream &stream) const
    {
        if (!stream.holders.empty())
            return stream.holders;
        std::vector<int> all(static_cast<std::size_t>(m_scenario.endpoints));
        for (int endpoint = 0; endpoint < m_scenario.endpoints; ++endpoint)
            all[static_cast<std::size_t>(endpoint)] = endpoint;
        return all;
    }

    decisions::EndpointOption optionFor(int daemon, int endpoint, core::TimePoint now)
    {
        const auto &entry = m_loads.at(daemon, endpoint);
        decisions::EndpointOption option;
        option.endpoint = m_ids[static_cast<std::size_t>(endpoint)];
        option.slots = SimulatedEngine::slots;
        option.load = m_loads.ownLoad(daemon, endpoint, costOf(daemon).tokensPerSecond(), now)
            + entry.othersLoad;
        option.pendingPrefillTokens = entry.pendingTokens;
        return option;
    }

    std::optional<int> indexOf(const decisions::EndpointChoice &choice) const
    {
        if (!choice.endpoint)
            return std::nullopt;
        return std::stoi(choice.endpoint->value().substr(1));
    }

    double unreportedPerEndpoint() const
    {
        const double age = core::toSeconds(m_scenario.reportPeriod) + 0.05;
        return m_scenario.requestsPerSecond * (m_scenario.daemons - 1) / m_scenario.daemons * age
            / m_scenario.endpoints;
    }

    decisions::RequestCostEstimator &costOf(int daemon)
    {
        return m_costs[static_cast<std::size_t>(daemon)];
    }

    StreamScenario m_scenario;
    std::vector<core::EndpointId> m_ids;
    SimulatedLoads m_loads;
    std::vector<decisions::RequestCostEstimator> m_costs;
};

/// A chooser that knows the state of all endpoints at each moment: it begins a stream where the
/// pause that its prompt causes is shortest, and holds it back while that would break a target.
class AllKnowingChooser
{
public:
    AllKnowingChooser(const StreamScenario &scenario, const std::vector<SimulatedEngine> &engines)
        : m_scenario(scenario)
        , m_engines(engines)
        , m_onTheWay(static_cast<std::size_t>(scenario.endpoints))
    { }

    std::optional<int> choose(const SimulatedStream &stream, core::TimePoint now, double /*draw*/)
    {
        double lowest = 1e9;
        std::optional<int> best;
        const auto consider = [&](int endpoint) {
            const double gap = gapAt(endpoint, stream.promptTokens);
            if (gap < lowest) {
                lowest = gap;
                best = endpoint;
            }
        };
        if (stream.holders.empty()) {
            for (int endpoint = 0; endpoint < m_scenario.endpoints; ++endpoint)
                consider(endpoint);
        }
        for (const int endpoint : stream.holders)
            consider(endpoint);
        const bool canWait = now - stream.arrival < m_scenario.targetLatency * 2 / 5;
        const bool breaks = lowest > core::toSeconds(m_scenario.targetGap) * 1000;
        return breaks && canWait ? std::nullopt : best;
    }

    void recordSend(const SimulatedStream &stream, core::TimePoint now)
    {
        m_onTheWay[static_cast<std::size_t>(stream.endpoint)].push_back(
            {now + std::chrono::microseconds(1400), stream.promptTokens});
        m_now = now;
    }
    void recordFirstEvent(const SimulatedStream & /*stream*/, core::TimePoint now) { m_now = now; }
    void recordGap(const SimulatedStream & /*stream*/, core::Duration /*gap*/, core::TimePoint now)
    {
        m_now = now;
    }
    void recordEnd(const SimulatedStream & /*stream*/, core::TimePoint /*now*/) { }
    void report(int /*daemon*/, core::TimePoint now) { m_now = now; }

private:
    struct Sent
    {
        core::TimePoint arrivesAt;
        int tokens = 0;
    };

    /// In milliseconds. Waiting for a slot counts as well.
    double gapAt(int endpoint, int promptTokens)
    {
        using Engine = SimulatedEngine;
        const Engine &engine = m_engines[static_cast<std::size_t>(endpoint)];
        auto &sent = m_onTheWay[static_cast<std::size_t>(endpoint)];
        std::erase_if(sent, [this](const Sent &entry) { return entry.arrivesAt < m_now; });
        int tokens = engine.unreadTokens() + promptTokens;
        for (const Sent &entry : sent)
            tokens += entry.tokens;
        const double requests = engine.requests() + static_cast<double>(sent.size()) + 1;
        constexpr double slotMilliseconds = 50;
        const double waiting = std::max(0.0, requests - Engine::slots) * slotMilliseconds;
        return engine.timeFactor()
            * (Engine::tokensPerEvent
                   * (Engine::stepMilliseconds + Engine::stepMillisecondsPerStream * requests)
               + tokens / Engine::prefillTokensPerMillisecond + waiting);
    }

    StreamScenario m_scenario;
    const std::vector<SimulatedEngine> &m_engines;
    std::vector<std::vector<Sent>> m_onTheWay;
    core::TimePoint m_now;
};

/// The choice by predicted pauses, with reports as the daemons exchange them.
class ForecastChooser : public PresentChooser
{
public:
    ForecastChooser(const StreamScenario &scenario, const std::vector<SimulatedEngine> &engines)
        : PresentChooser(scenario, engines)
        , m_daemons(static_cast<std::size_t>(scenario.daemons))
        , m_medians(static_cast<std::size_t>(scenario.endpoints))
    {
        for (Daemon &daemon : m_daemons) {
            daemon.speeds.resize(static_cast<std::size_t>(scenario.endpoints));
            daemon.forecasts.resize(static_cast<std::size_t>(scenario.endpoints));
            daemon.stated.resize(static_cast<std::size_t>(scenario.endpoints));
        }
    }

    std::optional<int> choose(const SimulatedStream &stream, core::TimePoint now, double draw)
    {
        std::vector<decisions::streams::StreamOption> options;
        for (const int endpoint : candidatesOf(stream))
            options.push_back(
                {optionFor(stream.daemon, endpoint, now), stateOf(stream.daemon, endpoint, now)});
        const core::TimePoint dueAt = stream.arrival + m_scenario.targetLatency;
        return indexOf(chooseForStream(std::move(options), of(stream.daemon).times,
                                       {.promptTokens = stream.promptTokens,
                                        .targetGap = m_scenario.targetGap,
                                        .timeLeft = dueAt - now,
                                        .mayAwaitShare = now - stream.arrival < shareHold,
                                        .mayAwaitTargets = now - stream.arrival < maxHold},
                                       draw, unreportedPerEndpoint())
                           .choice);
    }

    void recordFirstEvent(const SimulatedStream &stream, core::TimePoint now)
    {
        PresentChooser::recordFirstEvent(stream, now);
        Daemon &daemon = of(stream.daemon);
        daemon.forecasts[index(stream.endpoint)].recordRead(stream.promptTokens, now);
        const double factor
            = daemon.speeds[index(stream.endpoint)].timeFactor(now, daemon.times.typicalFactor());
        if (m_loads.at(stream.daemon, stream.endpoint).pendingTokens == 0)
            daemon.times.recordFirstEvent(stream.promptTokens, requestsAt(stream),
                                          core::scaled(now - stream.sentAt, 1 / factor));
    }
    void recordGap(const SimulatedStream &stream, core::Duration gap, core::TimePoint now)
    {
        if (m_loads.at(stream.daemon, stream.endpoint).pendingTokens > 0)
            return;
        Daemon &daemon = of(stream.daemon);
        daemon.speeds[index(stream.endpoint)].recordPause(requestsAt(stream), gap, now);
    }

    void report(int number, core::TimePoint now)
    {
        PresentChooser::report(number, now);
        Daemon &daemon = of(number);
        for (int endpoint = 0; endpoint < m_scenario.endpoints; ++endpoint) {
            const auto pause
                = daemon.speeds[index(endpoint)].ownReferencePause(daemon.lastReportAt);
            if (pause)
                daemon.stated[index(endpoint)] = {*pause, now};
            const auto &entry = m_loads.at(number, endpoint);
            daemon.forecasts[index(endpoint)].setReported(
                m_loads.sum(endpoint, &SimulatedLoads::Entry::reportedTokens)
                    - entry.reportedTokens,
                now);
            if (const auto median = medianPause(endpoint, now))
                daemon.speeds[index(endpoint)].setReported(*median, now);
        }
        daemon.lastReportAt = now;
        std::vector<double> factors;
        factors.reserve(daemon.speeds.size());
        for (const auto &speed : daemon.speeds)
            factors.push_back(speed.timeFactor(now, daemon.times.typicalFactor()));
        const double typical = decisions::streams::typicalFactorOf(factors);
        daemon.times.setTypicalFactor(typical);
        std::vector<decisions::streams::SharedEndpoint> endpoints;
        endpoints.reserve(daemon.speeds.size());
        for (int endpoint = 0; endpoint < m_scenario.endpoints; ++endpoint)
            endpoints.push_back({m_ids[index(endpoint)],
                                 decisions::streams::streamCapacity(
                                     SimulatedEngine::slots, factors[index(endpoint)], typical)});
        daemon.shares
            = decisions::streams::sharesOf(index(number), index(m_scenario.daemons), endpoints);
    }

    double estimatedFactor(int daemon, int endpoint, core::TimePoint now)
    {
        return of(daemon).speeds[index(endpoint)].timeFactor(now, of(daemon).times.typicalFactor());
    }
    const decisions::streams::EngineTimes &times(int daemon) { return of(daemon).times; }

private:
    // The fractions of the target latency in gateway/requeststreams.cpp.
    static constexpr core::Duration maxHold = std::chrono::milliseconds(400);
    static constexpr core::Duration shareHold = std::chrono::milliseconds(150);
    static constexpr core::Duration statementRetention = std::chrono::seconds(1);
    static constexpr core::Duration medianRetention = std::chrono::seconds(10);

    struct Statement
    {
        core::Duration pause {};
        core::TimePoint at;
    };
    struct Daemon
    {
        decisions::streams::EngineTimes times;
        std::vector<decisions::streams::EndpointSpeed> speeds;
        std::vector<decisions::streams::PrefillForecast> forecasts;
        std::vector<Statement> stated;
        decisions::streams::StreamShares shares;
        core::TimePoint lastReportAt;
    };

    static std::size_t index(int endpoint) { return static_cast<std::size_t>(endpoint); }
    Daemon &of(int daemon) { return m_daemons[static_cast<std::size_t>(daemon)]; }

    double requestsAt(const SimulatedStream &stream)
    {
        const auto &entry = m_loads.at(stream.daemon, stream.endpoint);
        return entry.inProgress + entry.othersRequests;
    }

    decisions::streams::EndpointState stateOf(int daemon, int endpoint, core::TimePoint now)
    {
        const auto &entry = m_loads.at(daemon, endpoint);
        return {
            of(daemon).speeds[index(endpoint)].timeFactor(now, of(daemon).times.typicalFactor()),
            SimulatedEngine::slots,
            entry.inProgress + entry.othersRequests,
            entry.pendingTokens + of(daemon).forecasts[index(endpoint)].recentlyRead(now),
            of(daemon).forecasts[index(endpoint)].tokens(now),
            shareOf(daemon, endpoint)};
    }

    double shareOf(int daemon, int endpoint)
    {
        const auto &shares = of(daemon).shares;
        const auto found = shares.find(m_ids[index(endpoint)]);
        return found == shares.end() ? 0 : found->second;
    }

    std::optional<core::Duration> medianPause(int endpoint, core::TimePoint now)
    {
        std::vector<core::Duration> pauses;
        for (const Daemon &daemon : m_daemons) {
            const Statement &statement = daemon.stated[index(endpoint)];
            if (statement.at != core::TimePoint() && now - statement.at <= statementRetention)
                pauses.push_back(statement.pause);
        }
        Statement &known = m_medians[index(endpoint)];
        if (pauses.empty()) {
            const bool isKnown = known.at != core::TimePoint() && now - known.at <= medianRetention;
            return isKnown ? std::optional(known.pause) : std::nullopt;
        }
        const auto middle = pauses.begin() + static_cast<std::ptrdiff_t>(pauses.size() / 2);
        std::nth_element(pauses.begin(), middle, pauses.end());
        known = {*middle, now};
        return *middle;
    }

    std::vector<Daemon> m_daemons;
    std::vector<Statement> m_medians;
};

} // namespace jackdawlead::testsupport
