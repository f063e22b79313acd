#pragma once

#include "decisions/placement.h"
#include "net/httpserver.h"
#include "serving/claimtask.h"
#include "serving/dispatcher.h"
#include "serving/filters.h"
#include "serving/quarantinetask.h"

#include <map>
#include <memory>
#include <set>

namespace jackdawlead::serving {

class AdapterCall;
class ServiceCall;

/// Runs the request path of the entry daemon for every caller's request, from accept to settle.
/// Thread safety: the loop's thread only.
class CallerTask
{
public:
    CallerTask(Context &context, Dispatcher &dispatcher, ClaimTask &claims,
               QuarantineTask &quarantine);
    ~CallerTask();
    CallerTask(const CallerTask &) = delete;
    CallerTask &operator=(const CallerTask &) = delete;

    void catalogChanged(std::shared_ptr<const config::Catalog> catalog);
    /// Takes a request from the callers' listener.
    void accept(std::shared_ptr<net::ServerExchange> exchange);
    /// Refuses requests that arrive from now on as not run; running requests go on.
    void drain() { m_isDraining = true; }
    std::size_t runningCount() const { return m_running; }

private:
    friend class AdapterCall;
    friend class ServiceCall;

    std::vector<decisions::PlacementCandidate> candidates(const core::PoolId &pool) const;
    void settled(core::Outcome outcome, core::TimePoint acceptedAt);

    Context &m_context;
    Dispatcher &m_dispatcher;
    ClaimTask &m_claims;
    QuarantineTask &m_quarantine;
    std::shared_ptr<const config::Catalog> m_catalog;
    std::map<core::EndpointId, int> m_outstanding;
    std::size_t m_running = 0;
    bool m_isDraining = false;
};

} // namespace jackdawlead::serving
