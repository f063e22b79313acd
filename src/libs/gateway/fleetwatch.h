#pragma once

#include "decisions/leavingendpoints.h"
#include "decisions/routetable.h"
#include "fleet/adapterkey.h"
#include "fleet/endpoint.h"
#include "fleet/hostsettings.h"
#include "gateway/storefollower.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace jackdawlead::gateway {

/// What the store says about configuration, endpoints and adapter versions, kept up to date.
/// Thread safety: the loop's thread only.
class FleetWatch
{
public:
    /// The newest version of an adapter and when this daemon learned of it.
    struct NewestVersion
    {
        int version = 0;
        core::TimePoint learnedAt;
    };
    struct Handlers
    {
        std::function<void()> onConfigurationChanged;
        std::function<void(const fleet::Endpoint &)> onEndpointChanged;
        std::function<void(const core::EndpointId &)> onEndpointRemoved;
        std::function<void(const fleet::AnnouncedVersion &)> onVersionAnnounced;
    };

    FleetWatch(platform::ObjectStoreClient &store, net::TimerService &timers, WatchRelay &relay,
               const fleet::Bounds &bounds, Handlers handlers);

    /// How long a watch waits at most, so that a change that it does not hear of is in force within
    /// the bounds.
    static core::Duration watchWait(const fleet::Bounds &bounds);

    void start();
    /// Whether configuration and endpoints were read whole at least once.
    bool isInitialized() const;
    /// Whether what isInitialized() asks for may come at any moment: the store has not failed so
    /// far.
    bool isInitializing() const;
    bool isStoreReachable() const;
    /// The configuration in force; nullptr until one is known. It never goes back in one life.
    const std::shared_ptr<const decisions::RouteTable> &routes() const { return m_routes; }
    const std::map<core::EndpointId, fleet::Endpoint> &endpoints() const { return m_endpoints; }
    const fleet::Endpoint *endpoint(const core::EndpointId &id) const;
    /// The endpoint said so itself, to this daemon or another one. From now on it counts as leaving
    /// whatever the store says of this life.
    void markEndpointLeaving(const core::EndpointId &id, fleet::StartTime startTime);
    std::optional<NewestVersion> newestVersion(const fleet::AdapterKey &key) const;

private:
    void applyConfiguration(const platform::StoredObject &object);
    /// Returns whether anything but the contents changed; those are the coordinator's to tell.
    bool applyEndpoint(const platform::StoredObject &object);
    void applyVersion(const platform::StoredObject &object);
    void handleMissingEndpoint(const core::EndpointId &id);
    void removeOverdueEndpoints();

    net::TimerService &m_timers;
    Handlers m_handlers;
    StoreFollower m_configurationFollower;
    StoreFollower m_endpointFollower;
    StoreFollower m_versionFollower;
    std::shared_ptr<const decisions::RouteTable> m_routes;
    std::map<core::EndpointId, fleet::Endpoint> m_endpoints;
    std::unordered_map<fleet::AdapterKey, NewestVersion> m_versions;
    decisions::LeavingEndpoints m_leavingEndpoints;
    /// Endpoints whose entry is missing after an outage of the store, with the end of the wait.
    std::map<core::EndpointId, core::TimePoint> m_missingEndpoints;
    net::TimerService::Subscription m_sweepTimer;
};

} // namespace jackdawlead::gateway
