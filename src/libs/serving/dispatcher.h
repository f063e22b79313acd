#pragma once

#include "config/catalog.h"
#include "serving/context.h"
#include "serving/endpointtask.h"
#include "serving/fleettask.h"
#include "serving/ownershiptask.h"

#include <functional>
#include <map>
#include <memory>

namespace jackdawlead::serving {

/// Holds the endpoint tasks of this daemon and sends each request to the owner of its endpoint,
/// here or on another daemon. Thread safety: the loop's thread only.
class Dispatcher
{
public:
    using Cancel = std::function<void()>;

    /// `ownersStale` is called when another daemon refuses a request because it does not own the
    /// endpoint, which shows that the known owners are out of date.
    Dispatcher(Context &context, LeaseTask &lease, OutageTask &outage, QuarantineTask &quarantine,
               std::function<void()> ownersStale);

    void fleetChanged(FleetTask::ViewPtr view);
    void catalogChanged(std::shared_ptr<const config::Catalog> catalog);
    void ownersChanged(const OwnerMap &owners);

    /// Sends a request towards `endpoint`. The sink is ended exactly once unless the returned
    /// function is called, which drops the request.
    Cancel send(const core::EndpointId &endpoint, EndpointRequest request);
    /// Runs a request that another daemon forwarded; refused as not run if this is not the owner.
    Cancel runHere(const core::EndpointId &endpoint, EndpointRequest request);

    /// Live endpoints of a pool that may be given new work: not leaving and, for engines, owned.
    std::vector<objectapi::HostEntry> usableEndpoints(const core::PoolId &pool) const;
    /// Refuses queued work of all endpoints; running requests go on.
    void drain();
    std::size_t runningCount() const;

private:
    void reconcileTasks();
    Cancel refuse(const EndpointRequest &request, const absl::Status &status);
    bool isEnginePool(const core::PoolId &pool) const;

    Context &m_context;
    LeaseTask &m_lease;
    OutageTask &m_outage;
    QuarantineTask &m_quarantine;
    LoadBudgetTask m_budget;
    std::function<void()> m_ownersStale;
    FleetTask::ViewPtr m_view;
    std::shared_ptr<const config::Catalog> m_catalog;
    OwnerMap m_owners;
    struct Owned
    {
        core::FencingToken token;
        std::unique_ptr<EndpointTask> task;
    };
    std::map<core::EndpointId, Owned> m_owned;
    std::vector<std::unique_ptr<EndpointTask>> m_retiring; ///< Lost ownership, requests running.
};

} // namespace jackdawlead::serving
