#pragma once

#include "checker.h"
#include "daemons.h"
#include "schedule.h"

#include "http/clientconnection.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jackdawlead::soak {

/// Number of adapters, named a1 and so on: more than all endpoints have slots for.
inline constexpr int adapterCount = 16;

/// A route that callers send requests to.
struct TargetRoute
{
    std::string prefix;
    RequestKind kind = RequestKind::Repeatable;
    core::Duration timeout {};
};

/// Clients that each send one request at a time, on new connections and on connections that they
/// reuse until the process exits. Thread safety: the loop's thread only.
class Callers
{
public:
    /// Precondition: all reference arguments outlive this object.
    /// Request ids begin with `idPrefix`.
    Callers(net::EventLoop &loop, Schedule &schedule, Checker &checker, const Daemons &daemons,
            std::uint64_t seed, int count, std::string idPrefix);

    /// Sets the routes for further requests: those of all versions and those that were added or
    /// removed recently.
    void setRoutes(std::vector<TargetRoute> permanent, std::vector<TargetRoute> changeable);
    /// Lets running requests end and starts no further ones.
    void stopSending() { m_isStopped = true; }
    bool areIdle() const;

    int sent() const { return m_sent; }
    /// The number of requests by status; 0 means no response, -1 that the caller disconnected.
    const std::map<int, int> &outcomes() const { return m_outcomes; }

private:
    struct PooledConnection
    {
        std::unique_ptr<http::ClientConnection> connection;
        ProcessIncarnation incarnation;
    };
    struct Attempt
    {
        SentRequest request;
        std::string model;
        core::TimePoint sentAt;
        int takeUps = 0; ///< Of the stream so far.
    };
    struct Caller
    {
        std::map<std::size_t, PooledConnection> pool; ///< By daemon.
        std::size_t daemon = 0;
        bool isBusy = false;
        int sequence = 0;
        Attempt attempt;
        ReceivedAnswer answer;
        std::optional<Attempt> takeUp; ///< To be sent next.
    };

    void startNext(Caller &caller);
    bool connect(Caller &caller);
    Attempt newAttempt();
    /// The attempt that goes on with a stream that broke off, if the caller makes another one.
    std::optional<Attempt> takeUpAfter(const Caller &caller) const;
    void send(Caller &caller, Attempt attempt);
    void scheduleAborts(Caller &caller, core::Duration timeLeft);
    void finishRequest(Caller &caller, bool isComplete, bool wasConnected);
    void scheduleNext(Caller &caller);
    /// Removes the caller's unused connection to the daemon if it cannot be reused.
    static void removeIfClosed(Caller &caller, std::size_t daemon);
    static std::string serialize(const SentRequest &request, const std::string &model);

    net::EventLoop &m_loop;
    Schedule &m_schedule;
    Checker &m_checker;
    const Daemons &m_daemons;
    RandomSource m_random;
    std::string m_idPrefix;
    std::vector<TargetRoute> m_permanentRoutes;
    std::vector<TargetRoute> m_changeableRoutes;
    std::vector<std::unique_ptr<Caller>> m_callers;
    bool m_isStopped = false;
    int m_sent = 0;
    std::map<int, int> m_outcomes;
};

} // namespace jackdawlead::soak
