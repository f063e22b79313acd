#pragma once

#include "decisions/lease.h"
#include "objectapi/objectfollower.h"
#include "serving/context.h"
#include "serving/fleettask.h"
#include "serving/fleetview.h"
#include "serving/leasetask.h"
#include "serving/outagetask.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace jackdawlead::serving {

/// Decides which engine endpoints this daemon owns, and records it in the object API. It follows
/// the records of all endpoints, claims endpoints that have no owner, and takes over endpoints
/// whose owner's lease has lapsed. Thread safety: the loop's thread only.
class OwnershipTask
{
public:
    using Subscriber = std::function<void(const OwnerMap &)>;

    OwnershipTask(Context &context, LeaseTask &lease, OutageTask &outage, Subscriber subscriber);

    void start();
    void fleetChanged(FleetTask::ViewPtr view);
    /// Which endpoints may have an owner: the engine endpoints of the configuration in force.
    void enginesChanged(std::set<core::PoolId> enginePools);
    /// Drops all ownership of this daemon until each record was claimed again with a higher token.
    /// To be called when the host lease was regained after a lapse.
    void leaseRegained();
    /// Hands all endpoints over by clearing the holder of their records; `done` is called when all
    /// are answered.
    void releaseAll(std::function<void()> done);

    /// Reads all records again, since the known owners were seen to be out of date.
    void resync();

    const OwnerMap &owners() const { return m_owners; }

private:
    struct Record
    {
        std::string resourceVersion;
        Ownership ownership;
    };

    void listed(const std::vector<objectapi::Object> &objects);
    void changed(const std::string &type, const objectapi::Object &object);
    void recordSeen(const objectapi::Object &object);
    void recordGone(const std::string &name);
    void reconcile();
    void reconcileEndpoint(const core::EndpointId &endpoint);
    std::vector<core::HostId> preferredOwners(const core::EndpointId &endpoint) const;
    void claim(const core::EndpointId &endpoint, const Record *previous, core::FencingToken token);
    void readBack(const core::EndpointId &endpoint, const Ownership &ownership);
    void claimEnded(const core::EndpointId &endpoint,
                    const absl::StatusOr<objectapi::Object> &result);
    bool hasExpired(const core::HostId &holder);
    void observeLease(const core::HostId &holder);
    void publish();

    Context &m_context;
    LeaseTask &m_lease;
    OutageTask &m_outage;
    Subscriber m_subscriber;
    FleetTask::ViewPtr m_view;
    std::set<core::PoolId> m_enginePools;
    std::map<core::EndpointId, Record> m_records;
    OwnerMap m_owners;
    std::map<core::HostId, decisions::LeaseObserver> m_observers;
    std::set<core::HostId> m_observing; ///< Holders whose lease is being read.
    std::set<core::HostId> m_gone;      ///< Holders whose lease record does not exist.
    std::set<core::EndpointId> m_pending;
    std::set<core::EndpointId> m_claimed; ///< Claimed by this process under its present lease.
    bool m_isListed = false;
    bool m_isReleasing = false;
    objectapi::ObjectFollower m_follower;
    net::TimerService::Subscription m_timer;
};

} // namespace jackdawlead::serving
