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
#include <unordered_map>
#include <vector>

namespace jackdawlead::gateway {

/// Connections to endpoints, what this daemon has in progress there, and how they answer.
/// Thread safety: the loop's thread only.
class EndpointPool
{
public:
    EndpointPool(net::EventLoop &loop, net::TimerService &timers);
    EndpointPool(const EndpointPool &) = delete;
    EndpointPool &operator=(const EndpointPool &) = delete;

    /// A connection for one exchange. With `isCautious` an idle one is used only well inside the
    /// time that the endpoint keeps it: a request that crosses its close may have run.
    std::unique_ptr<http::ClientConnection> take(const fleet::Endpoint &endpoint, bool isCautious);
    /// Keeps the connection for the next exchange if it can be used again; else it is closed.
    void giveBack(const core::EndpointId &id, std::unique_ptr<http::ClientConnection> connection);
    /// Closes idle connections of an endpoint that is gone.
    void removeEndpoint(const core::EndpointId &id);

    /// How fast endpoints read prompts, which weighs prompts against slots.
    void setPrefillTokensPerSecond(double tokens) { m_tokensPerSecond = tokens; }
    /// How many connections this daemon keeps open to each endpoint of a service while they are not
    /// in use. Endpoints reset what goes beyond their limit, whoever opened it.
    void setIdleLimit(const core::ServiceId &service, std::size_t most);
    std::size_t idleConnections(const core::EndpointId &id) { return entryOf(id).idle.size(); }
    /// Whether a connection to the endpoint is open and free.
    bool hasIdleConnection(const core::EndpointId &id) { return !entryOf(id).idle.isEmpty(); }

    /// A request for the adapter is sent there; the key is empty for plain services.
    void beginRequest(const core::EndpointId &id, const fleet::AdapterKey &key);
    /// A prompt of `tokens` was sent, and its first event has not come yet.
    void beginPrefill(const core::EndpointId &id, int tokens);
    void endPrefill(const core::EndpointId &id, int tokens);
    /// Prompt tokens of this daemon that the endpoint has not read yet.
    int pendingPrefillTokens(const core::EndpointId &id) const;
    /// What this daemon's requests occupy there, in slots: those in progress, and the time that
    /// reading the prompts of the last second takes from all slots together.
    double load(const core::EndpointId &id, int slots) const;
    void endRequest(const core::EndpointId &id, const fleet::AdapterKey &key);
    /// The adapters that this daemon's requests use there now.
    std::vector<fleet::AdapterKey> adaptersInUse(const core::EndpointId &id) const;
    /// What other daemons' requests occupy there, in slots, as last told.
    void setOtherDaemonsLoad(const core::EndpointId &id, double slots)
    {
        entryOf(id).otherDaemonsLoad = slots;
    }
    double otherDaemonsLoad(const core::EndpointId &id) const;
    /// The endpoint sent an event or a whole answer.
    void recordActivity(const core::EndpointId &id) { entryOf(id).lastActivityAt = m_timers.now(); }
    /// When it last did; the start of time if it never did.
    core::TimePoint lastActivityAt(const core::EndpointId &id)
    {
        return entryOf(id).lastActivityAt;
    }
    /// This life of the endpoint wants nothing from this daemon until then.
    void setBackoff(const fleet::Endpoint &endpoint, core::TimePoint until);
    /// When it takes requests again; not in the future if it does now.
    core::TimePoint backoffEnd(const fleet::Endpoint &endpoint) const;
    decisions::EndpointHealth &health(const core::EndpointId &id) { return entryOf(id).health; }

    /// Endpoints that broke several connections in a row and are passed over now.
    std::vector<core::EndpointId> unreachable() const;

private:
    struct Entry
    {
        explicit Entry(net::EventLoop &loop);

        http::IdleConnections idle;
        int inProgress = 0;
        std::unordered_map<fleet::AdapterKey, int> adapters; ///< With their requests in progress.
        double otherDaemonsLoad = 0;
        int pendingPrefillTokens = 0;
        double recentTokens = 0; ///< Sent lately; decays.
        core::TimePoint recentAt;
        core::TimePoint lastActivityAt;
        core::TimePoint backoffEnd;
        fleet::StartTime restBorn {}; ///< The life that asked for it.
        decisions::EndpointHealth health;
    };

    Entry &entryOf(const core::EndpointId &id)
    {
        return m_endpoints.try_emplace(id, m_loop).first->second;
    }
    double recentTokens(const Entry &entry) const;

    net::EventLoop &m_loop;
    net::TimerService &m_timers;
    std::map<core::EndpointId, Entry> m_endpoints;
    std::map<core::ServiceId, std::size_t> m_idleLimits;
    double m_tokensPerSecond = decisions::RequestCostEstimator().tokensPerSecond();
    net::TimerService::Subscription m_sweep;
};

} // namespace jackdawlead::gateway
