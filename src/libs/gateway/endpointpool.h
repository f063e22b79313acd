#pragma once

#include "core/ids.h"
#include "decisions/endpointhealth.h"
#include "decisions/requestcostestimator.h"
#include "fleet/adapterkey.h"
#include "fleet/endpoint.h"
#include "http/idleconnections.h"
#include "net/timerservice.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace jackdawlead::gateway {

/// Holds per endpoint the idle connections, this daemon's requests in progress, and the health.
/// Thread safety: the event loop's thread only.
class EndpointPool
{
public:
    EndpointPool(net::EventLoop &loop, net::TimerService &timers);
    EndpointPool(const EndpointPool &) = delete;
    EndpointPool &operator=(const EndpointPool &) = delete;

    /// Returns a connection for one exchange. With `isCautious` an idle one is reused only well
    /// before the endpoint closes it, because a request that arrives with the close may have run.
    /// Connections in `excluded` are not reused.
    std::unique_ptr<http::ClientConnection> take(const fleet::Endpoint &endpoint, bool isCautious,
                                                 const std::set<http::ConnectionNumber> &excluded);
    /// Returns an idle connection as take() does; nullptr if there is none.
    std::unique_ptr<http::ClientConnection>
    takeIdle(const fleet::Endpoint &endpoint, bool isCautious,
             const std::set<http::ConnectionNumber> &excluded);
    /// Opens a new connection without an exchange.
    std::unique_ptr<http::ClientConnection> connect(const fleet::Endpoint &endpoint) const;
    /// Keeps the connection for the next exchange if it can be reused; else closes it.
    void giveBack(const core::EndpointId &id, std::unique_ptr<http::ClientConnection> connection);
    void closeIdle(const core::EndpointId &id) { entryFor(id).idle.closeAll(); }
    void closeAllIdle();
    /// Closes the idle connections of a removed endpoint.
    void removeEndpoint(const core::EndpointId &id);

    /// Sets the prefill speed of endpoints, which converts prompt tokens to slots.
    void setPrefillTokensPerSecond(double tokens) { m_prefillTokensPerSecond = tokens; }
    /// Sets how many idle connections this daemon keeps to each endpoint of a service. Endpoints
    /// reset connections over their limit, regardless of the daemon that opened them.
    void setIdleLimit(const core::ServiceId &service, std::size_t maxIdle);
    std::size_t idleConnections(const core::EndpointId &id) { return entryFor(id).idle.size(); }
    /// Whether a connection to the endpoint is open and not in use.
    bool hasIdleConnection(const core::EndpointId &id) { return !entryFor(id).idle.isEmpty(); }

    /// Counts a request for the adapter as in progress; the key is empty for plain services.
    void beginRequest(const core::EndpointId &id, const fleet::AdapterKey &key);
    /// Counts `tokens` of a prompt as pending until the first event.
    void beginPrefill(const core::EndpointId &id, int tokens);
    void endPrefill(const core::EndpointId &id, int tokens);
    /// Prompt tokens sent by this daemon whose prefill isn't finished.
    int pendingPrefillTokens(const core::EndpointId &id) const;
    /// Load of this daemon's requests in slots: the requests in progress, and the share of all
    /// slots that the prefill of the prompts of the last second takes.
    double load(const core::EndpointId &id, int slots) const;
    void endRequest(const core::EndpointId &id, const fleet::AdapterKey &key);
    /// Requests of this daemon in progress there.
    int inProgress(const core::EndpointId &id) const;
    /// The adapters that this daemon's requests in progress use there.
    std::vector<fleet::AdapterKey> adaptersInUse(const core::EndpointId &id) const;
    /// Sets the last reported load of other daemons' requests, in slots.
    void setOtherDaemonsLoad(const core::EndpointId &id, double slots)
    {
        entryFor(id).otherDaemonsLoad = slots;
    }
    double otherDaemonsLoad(const core::EndpointId &id) const;
    /// Records that the endpoint sent an event or a complete answer.
    void recordActivity(const core::EndpointId &id)
    {
        entryFor(id).lastActivityAt = m_timers.now();
    }
    /// Time of the last activity; the clock's epoch if there was none.
    core::TimePoint lastActivityAt(const core::EndpointId &id)
    {
        return entryFor(id).lastActivityAt;
    }
    /// Records that this incarnation of the endpoint requested a back-off from this daemon.
    void setBackoff(const fleet::Endpoint &endpoint, core::TimePoint until);
    /// End of the back-off; not in the future if the endpoint accepts requests now.
    core::TimePoint backoffEnd(const fleet::Endpoint &endpoint) const;
    decisions::EndpointHealth &health(const core::EndpointId &id) { return entryFor(id).health; }

    /// Endpoints that are ejected now because several connections in a row broke.
    std::vector<core::EndpointId> unreachable() const;

private:
    struct Entry
    {
        explicit Entry(net::EventLoop &loop);

        http::IdleConnections idle;
        int inProgress = 0;
        std::unordered_map<fleet::AdapterKey, int> adapters; ///< Requests in progress of each.
        double otherDaemonsLoad = 0;
        int pendingPrefillTokens = 0;
        double recentTokens = 0; ///< Prompt tokens sent recently; decays exponentially.
        core::TimePoint recentTokensAt;
        core::TimePoint lastActivityAt;
        core::TimePoint backoffEnd;
        fleet::StartTime backoffIncarnation {}; ///< Incarnation that requested the back-off.
        decisions::EndpointHealth health;
    };

    Entry &entryFor(const core::EndpointId &id)
    {
        return m_endpoints.try_emplace(id, m_loop).first->second;
    }
    double recentTokens(const Entry &entry) const;

    net::EventLoop &m_loop;
    net::TimerService &m_timers;
    std::map<core::EndpointId, Entry> m_endpoints;
    std::map<core::ServiceId, std::size_t> m_idleLimits;
    double m_prefillTokensPerSecond = decisions::RequestCostEstimator().tokensPerSecond();
    net::TimerService::Subscription m_sweepTimer;
};

} // namespace jackdawlead::gateway
