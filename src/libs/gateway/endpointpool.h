#pragma once

#include "core/ids.h"
#include "decisions/endpointhealth.h"
#include "fleet/endpoint.h"
#include "http/clientconnection.h"
#include "net/timerservice.h"

#include <map>
#include <memory>
#include <vector>

namespace jackdawlead::gateway {

/// Connections to endpoints, what this daemon has in progress there, and how they answer.
/// Thread safety: the loop's thread only.
class EndpointPool
{
public:
    EndpointPool(net::EventLoop &loop, net::TimerService &timers);
    ~EndpointPool();
    EndpointPool(const EndpointPool &) = delete;
    EndpointPool &operator=(const EndpointPool &) = delete;

    /// A connection for one exchange. With `isCautious` an idle one is used only well inside the
    /// time that the endpoint keeps it: a request that crosses its close may have run.
    std::unique_ptr<http::ClientConnection> take(const fleet::Endpoint &endpoint, bool isCautious);
    /// Keeps the connection for the next exchange if it can be used again; else it is closed.
    void giveBack(const core::EndpointId &id, std::unique_ptr<http::ClientConnection> connection);
    /// Closes idle connections of an endpoint that is gone.
    void forget(const core::EndpointId &id);

    void began(const core::EndpointId &id) { ++m_endpoints[id].inProgress; }
    void ended(const core::EndpointId &id);
    int inProgress(const core::EndpointId &id) const;
    /// Requests that other daemons have in progress there, as last told.
    void setOthers(const core::EndpointId &id, int count) { m_endpoints[id].others = count; }
    int others(const core::EndpointId &id) const;
    decisions::EndpointHealth &health(const core::EndpointId &id) { return m_endpoints[id].health; }

    /// Endpoints that broke several connections in a row and are passed over now.
    std::vector<core::EndpointId> unreachable() const;
    /// What this daemon has in progress, for the endpoints where that is not zero.
    std::map<core::EndpointId, int> allInProgress() const;

private:
    struct Idle
    {
        std::unique_ptr<http::ClientConnection> connection;
        core::TimePoint since;
    };
    struct Entry
    {
        std::vector<Idle> idle; ///< The last one was used last.
        int inProgress = 0;
        int others = 0;
        decisions::EndpointHealth health;
    };

    void closeLater(std::unique_ptr<http::ClientConnection> connection);

    net::EventLoop &m_loop;
    net::TimerService &m_timers;
    std::map<core::EndpointId, Entry> m_endpoints;
    net::TimerService::Subscription m_sweep;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
