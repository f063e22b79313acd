#pragma once

#include "checker.h"
#include "daemons.h"
#include "schedule.h"

#include "http/clientconnection.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jackdawlead::soak {

/// A route as callers know it.
struct KnownRoute
{
    std::string prefix;
    RequestKind kind = RequestKind::Repeatable;
    core::Duration timeout {};
};

/// Callers that send one request after the other, on connections that they keep open until the
/// process is gone and on new ones. Thread safety: the loop's thread only.
class Callers
{
public:
    /// Precondition: all reference arguments outlive this object.
    Callers(net::EventLoop &loop, Schedule &schedule, Checker &checker, const Daemons &daemons,
            std::uint64_t seed, int count);

    /// The routes that requests are sent to from now on: those of all versions, and those that were
    /// added or removed lately.
    void setRoutes(std::vector<KnownRoute> lasting, std::vector<KnownRoute> changing);
    /// Starts no further request.
    void finish() { m_isOver = true; }
    bool areIdle() const;

    int sent() const { return m_sent; }
    /// How many requests ended with each status; 0 stands for none, -1 for callers who left.
    const std::map<int, int> &outcomes() const { return m_outcomes; }

private:
    struct Kept
    {
        std::unique_ptr<http::ClientConnection> connection;
        ProcessLife life;
    };
    struct Caller
    {
        std::map<std::size_t, Kept> kept; ///< By daemon.
        std::size_t daemon = 0;
        bool isBusy = false;
        int turn = 0;
        core::RequestId request;
        CallerAnswer answer;
    };

    void takeTurn(Caller &caller);
    bool connect(Caller &caller);
    void send(Caller &caller, const KnownRoute &route);
    void watch(Caller &caller, core::Duration timeLeft);
    void end(Caller &caller, bool isWhole, bool wasConnected);
    void endTurn(Caller &caller);
    /// Closes its connection to the daemon as well if the daemon wants or has done so.
    static void dropIfClosed(Caller &caller, std::size_t daemon);
    static std::string bytesOf(const SentRequest &request, core::Duration deadline,
                               const std::string &model);

    net::EventLoop &m_loop;
    Schedule &m_schedule;
    Checker &m_checker;
    const Daemons &m_daemons;
    Draw m_draw;
    std::string m_prefix; ///< Of the ids of requests.
    std::vector<KnownRoute> m_lasting;
    std::vector<KnownRoute> m_changing;
    std::vector<std::unique_ptr<Caller>> m_callers;
    bool m_isOver = false;
    int m_sent = 0;
    std::map<int, int> m_outcomes;
};

} // namespace jackdawlead::soak
