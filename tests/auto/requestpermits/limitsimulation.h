#pragma once

#include "core/time.h"
#include "decisions/permitissuer.h"
#include "decisions/requestpermits.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace jackdawlead::testsupport {

/// Daemons that send requests to one endpoint with a request limit, in virtual time.
struct LimitScenario
{
    int daemons = 7;
    fleet::RequestRate limit {1.4};
    double requestsPerSecond = 20; ///< Of all daemons together.
    /// Share of the requests that the first daemon receives; empty for equal shares.
    double firstDaemonShare = 0;
    int cutOffDaemons = 0; ///< Reach the endpoint, but not the coordinator.
    core::Duration reportPeriod = std::chrono::milliseconds(250);
    core::Duration maxWait = std::chrono::milliseconds(2500); ///< A request then gives up.
    core::Duration length = std::chrono::seconds(60);
    std::uint64_t seed = 1;
};

struct LimitResult
{
    double servedShare = 0; ///< Of what the limit allows in the time.
    int worstWindow = 0;    ///< Most requests in any window of 4 s.
};

/// The policy of the product: the coordinator issues permits for reported demand.
class IssuedPermits
{
public:
    explicit IssuedPermits(const LimitScenario &scenario)
        : m_scenario(scenario)
        , m_permits(static_cast<std::size_t>(scenario.daemons))
        , m_random(scenario.seed)
    {
        m_issuer.setLimit(m_endpoint, {}, scenario.limit, core::TimePoint(std::chrono::seconds(1)));
    }

    void addWaiting(int daemon) { at(daemon).addWaiting(m_endpoint); }
    void removeWaiting(int daemon) { at(daemon).removeWaiting(m_endpoint); }
    void report(int daemon, core::TimePoint now)
    {
        if (isCutOff(daemon))
            return;
        const auto demand = at(daemon).takeDemand(now);
        const auto wanted = demand.find(m_endpoint);
        if (wanted == demand.end())
            return;
        const auto grant = m_issuer.issue(m_endpoint, core::HostId("h" + std::to_string(daemon)),
                                          wanted->second, now);
        at(daemon).addIssued(m_endpoint, grant.count, now + decisions::RequestPermits::lifetime);
    }
    bool trySend(int daemon, core::TimePoint now)
    {
        const core::Duration interval = core::scaled(
            std::chrono::seconds(1), m_scenario.daemons / m_scenario.limit.perSecond);
        const bool isAllowed = at(daemon).hasIssued(m_endpoint, now)
            || (isCutOff(daemon) && at(daemon).hasOwn(m_endpoint, interval, m_draw(m_random), now));
        if (isAllowed)
            at(daemon).take(m_endpoint, interval, now);
        return isAllowed;
    }

private:
    bool isCutOff(int daemon) const { return daemon < m_scenario.cutOffDaemons; }
    decisions::RequestPermits &at(int daemon)
    {
        return m_permits[static_cast<std::size_t>(daemon)];
    }

    const LimitScenario &m_scenario;
    const core::EndpointId m_endpoint {"e"};
    decisions::PermitIssuer m_issuer;
    std::vector<decisions::RequestPermits> m_permits;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_draw {0, 1};
};

/// A baseline: each daemon has a token bucket with an equal share of the limit and a capacity of
/// one request, filled at a random level at the start.
class EqualShares
{
public:
    explicit EqualShares(const LimitScenario &scenario)
        : m_share(scenario.limit.perSecond / scenario.daemons)
    {
        std::mt19937_64 random(scenario.seed);
        std::uniform_real_distribution<double> draw(0, 1);
        for (int daemon = 0; daemon < scenario.daemons; ++daemon)
            m_buckets.push_back({draw(random), core::TimePoint(std::chrono::seconds(1))});
    }

    void addWaiting(int) { }
    void removeWaiting(int) { }
    void report(int, core::TimePoint) { }
    bool trySend(int daemon, core::TimePoint now)
    {
        Bucket &bucket = m_buckets[static_cast<std::size_t>(daemon)];
        const double added = m_share * core::toSeconds(now - bucket.filledAt);
        bucket.level = std::min(1.0, bucket.level + added);
        bucket.filledAt = now;
        if (bucket.level < 1)
            return false;
        bucket.level -= 1;
        return true;
    }

private:
    struct Bucket
    {
        double level = 0;
        core::TimePoint filledAt;
    };

    double m_share;
    std::vector<Bucket> m_buckets;
};

template <typename Policy>
concept LimitPolicy = requires(Policy policy, int daemon, core::TimePoint now)
{
    policy.addWaiting(daemon);
    policy.removeWaiting(daemon);
    policy.report(daemon, now);
    {
        policy.trySend(daemon, now)
        } -> std::same_as<bool>;
};

template <LimitPolicy Policy> class LimitSimulation
{
public:
    explicit LimitSimulation(const LimitScenario &scenario)
        : m_scenario(scenario)
        , m_policy(scenario)
        , m_random(scenario.seed + 1)
        , m_waiting(static_cast<std::size_t>(scenario.daemons))
    { }

    LimitResult run()
    {
        constexpr core::Duration step = std::chrono::milliseconds(10);
        const core::TimePoint start {std::chrono::seconds(1)};
        std::bernoulli_distribution arrives(m_scenario.requestsPerSecond * core::toSeconds(step));
        // More than one arrival in a step is rare at the rates used.
        for (m_now = start; m_now < start + m_scenario.length; m_now += step) {
            if (arrives(m_random))
                addRequest(pickDaemon());
            for (int daemon = 0; daemon < m_scenario.daemons; ++daemon) {
                const core::Duration phase = m_scenario.reportPeriod * daemon / m_scenario.daemons;
                if ((m_now.time_since_epoch() + phase) % m_scenario.reportPeriod < step)
                    m_policy.report(daemon, m_now);
                serve(daemon);
            }
        }
        return result(start);
    }

private:
    int pickDaemon()
    {
        std::uniform_real_distribution<double> draw(0, 1);
        if (draw(m_random) < m_scenario.firstDaemonShare)
            return 0;
        return std::uniform_int_distribution<int>(0, m_scenario.daemons - 1)(m_random);
    }
    void addRequest(int daemon)
    {
        m_waiting[static_cast<std::size_t>(daemon)].push_back(m_now);
        m_policy.addWaiting(daemon);
    }
    void serve(int daemon)
    {
        std::deque<core::TimePoint> &waiting = m_waiting[static_cast<std::size_t>(daemon)];
        while (!waiting.empty()) {
            const bool isOver = m_now - waiting.front() > m_scenario.maxWait;
            if (!isOver && !m_policy.trySend(daemon, m_now))
                return;
            if (!isOver)
                m_sentAt.push_back(m_now);
            waiting.pop_front();
            m_policy.removeWaiting(daemon);
        }
    }
    LimitResult result(core::TimePoint start) const
    {
        constexpr core::Duration window = std::chrono::seconds(4);
        // The daemons have to learn of the limit first.
        constexpr core::Duration warmUp = std::chrono::seconds(4);
        LimitResult result;
        const auto first = std::ranges::lower_bound(m_sentAt, start + warmUp);
        const double allowed
            = m_scenario.limit.perSecond * core::toSeconds(m_scenario.length - warmUp);
        result.servedShare = static_cast<double>(m_sentAt.end() - first) / allowed;
        for (auto begin = first; begin != m_sentAt.end(); ++begin) {
            const auto end = std::upper_bound(begin, m_sentAt.end(), *begin + window);
            result.worstWindow = std::max(result.worstWindow, static_cast<int>(end - begin));
        }
        return result;
    }

    LimitScenario m_scenario;
    Policy m_policy;
    std::mt19937_64 m_random;
    std::vector<std::deque<core::TimePoint>> m_waiting; ///< Arrivals, by daemon.
    std::vector<core::TimePoint> m_sentAt;
    core::TimePoint m_now;
};

} // namespace jackdawlead::testsupport
