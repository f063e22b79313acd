#include "serving/loadbudgettask.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::serving {

LoadBudgetTask::LoadBudgetTask(Context &context)
    : m_context(context)
    , m_store({.loadsPerSecond = context.settings.storeLoadsPerSecond,
               .concurrentLoads = static_cast<std::size_t>(context.settings.storeConcurrentLoads),
               .grantLifetime = context.settings.orderTimeout * 2})
    , m_budget(m_store, context.timers.now())
{ }

void LoadBudgetTask::liveDaemonsChanged(std::size_t liveDaemons)
{
    granted(m_budget.setLimits(decisions::fairShare(m_store, liveDaemons), m_context.timers.now()));
}

LoadBudgetTask::Ticket LoadBudgetTask::request(const core::EndpointId &endpoint,
                                               const core::AdapterVersion &adapter,
                                               core::TimePoint deadline, Granted callback)
{
    const Ticket ticket = ++m_lastTicket;
    const decisions::LoadKey key {m_context.settings.host, endpoint, adapter, ticket};
    m_requests.emplace(ticket, Request {key, std::move(callback)});
    granted(m_budget.request(key, deadline, m_context.timers.now()));
    return ticket;
}

void LoadBudgetTask::release(Ticket ticket)
{
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end())
        return;
    const decisions::LoadKey key = found->second.key;
    m_requests.erase(found);
    granted(m_budget.release(key, m_context.timers.now()));
}

core::Duration LoadBudgetTask::predictedWait() const
{
    return m_budget.predictedWait(m_context.timers.now());
}

void LoadBudgetTask::granted(const std::vector<decisions::LoadKey> &loads)
{
    for (const decisions::LoadKey &load : loads)
        m_context.loop.post([this, ticket = load.order, alive = std::weak_ptr<bool>(m_alive)] {
            if (alive.expired())
                return;
            const auto found = m_requests.find(ticket);
            if (found == m_requests.end())
                return;
            const Granted callback = found->second.granted;
            callback();
        });
    const auto next = m_budget.nextGrantAt();
    if (!next) {
        m_timer.cancel();
        return;
    }
    const core::TimePoint now = m_context.timers.now();
    m_timer = m_context.timers.once(std::max(*next - now, core::Duration::zero()),
                                    [this] { granted(m_budget.tick(m_context.timers.now())); });
}

} // namespace jackdawlead::serving
