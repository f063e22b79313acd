#pragma once

#include "decisions/loadbudget.h"
#include "serving/context.h"

#include <cstdint>
#include <functional>
#include <map>

namespace jackdawlead::serving {

/// Grants this daemon's loads from the weight store within its fair share of the store's rate.
/// Thread safety: the loop's thread only.
class LoadBudgetTask
{
public:
    using Ticket = std::uint64_t;
    using Granted = std::function<void()>;

    explicit LoadBudgetTask(Context &context);

    /// The number of daemons among which the store's rate is shared.
    void liveDaemonsChanged(std::size_t liveDaemons);
    /// Asks for one load. `granted` is called from the loop, never from inside this call. The
    /// ticket must be released when the load has ended or is not wanted any more.
    Ticket request(const core::EndpointId &endpoint, const core::AdapterVersion &adapter,
                   core::TimePoint deadline, Granted granted);
    void release(Ticket ticket);
    /// How long a further load would wait for its grant.
    core::Duration predictedWait() const;

private:
    struct Request
    {
        decisions::LoadKey key;
        Granted granted;
    };

    void granted(const std::vector<decisions::LoadKey> &loads);

    Context &m_context;
    decisions::LoadBudgetLimits m_store;
    decisions::LoadBudget m_budget;
    Ticket m_lastTicket = 0;
    std::map<Ticket, Request> m_requests;
    net::TimerService::Subscription m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::serving
