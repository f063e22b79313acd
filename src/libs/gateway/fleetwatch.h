#pragma once

#include "decisions/leavingendpoints.h"
#include "decisions/routetable.h"
#include "decisions/versionfloor.h"
#include "fleet/adapterkey.h"
#include "fleet/endpoint.h"
#include "fleet/hostsettings.h"
#include "gateway/storefollower.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace jackdawlead::gateway {

/// Mirrors the configuration, endpoints and adapter versions of the store.
/// Thread safety: the event loop's thread only.
class FleetWatch
{
public:
    struct Handlers
    {
        std::function<void()> onConfigurationChanged;
        std::function<void(const fleet::Endpoint &)> onEndpointChanged;
        std::function<void(const core::EndpointId &)> onEndpointRemoved;
        std::function<void(const fleet::AnnouncedVersion &)> onVersionAnnounced;
        /// Requests are no longer sent to endpoints with an older version.
        std::function<void(const fleet::AnnouncedVersion &)> onNewerVersionRequired;
        /// Work that has not begun may no longer begin on an older version.
        std::function<void(const fleet::AnnouncedVersion &)> onOlderVersionsExpired;
    };

    FleetWatch(platform::ObjectStoreClient &store, net::TimerService &timers, WatchRelay &relay,
               const fleet::Bounds &bounds, Handlers handlers);

    /// Returns the maximum wait of a watch with which a change that the watch misses still takes
    /// effect within the bounds.
    static core::Duration watchWait(const fleet::Bounds &bounds);

    void start();
    /// Whether configuration, endpoints and versions were read completely at least once.
    bool isInitialized() const;
    /// Whether isInitialized() may become true at any moment: it is still false, but the last calls
    /// to the store succeeded.
    bool isInitializing() const;
    bool isStoreReachable() const;
    /// Whether the configuration includes all changes that must be in force for a request that
    /// arrived at `arrival`.
    bool isConfigurationCurrent(core::TimePoint arrival) const;
    /// Asks the store at once for a newer configuration, unless the last call to it failed. Returns
    /// whether it can be known soon.
    bool confirmConfiguration();
    /// The list of endpoints includes all changes that were made before this time.
    core::TimePoint endpointsConfirmedAt() const
    {
        return m_endpointFollower.contact().confirmedAt();
    }
    /// Asks the store at once for changes of the endpoints.
    void confirmEndpoints() { m_endpointFollower.confirm(); }
    /// The configuration in force; nullptr until one is known. Its generation never decreases while
    /// the process runs.
    const std::shared_ptr<const decisions::RouteTable> &routes() const { return m_routes; }
    /// Whether the configuration in force lists customers.
    bool hasCustomers() const
    {
        return m_routes && m_routes->configuration().customers.has_value();
    }
    /// The configuration in force includes all changes that were made before this time.
    core::TimePoint configurationConfirmedAt() const
    {
        return m_configurationFollower.contact().confirmedAt();
    }
    /// Since when it is in force here; the clock's epoch until one is known.
    core::TimePoint configuredAt() const { return m_configuredAt; }
    const std::map<core::EndpointId, fleet::Endpoint> &endpoints() const { return m_endpoints; }
    const fleet::Endpoint *endpoint(const core::EndpointId &id) const;
    /// Marks an incarnation of an endpoint as leaving, because the endpoint announced it to this or
    /// another daemon. The mark takes precedence over the store's record of that incarnation.
    void markEndpointLeaving(const core::EndpointId &id, fleet::StartTime startTime);
    /// The lowest version of an adapter that requests may use now; empty if any may.
    std::optional<int> lowestAllowedVersion(const fleet::AdapterKey &key) const;
    /// The newest announced version of the adapter; zero if none was announced.
    int newestVersion(const fleet::AdapterKey &key) const;

private:
    /// An incarnation that left the list, and whether a restored store holds it again.
    struct DepartedEndpoint
    {
        fleet::StartTime startTime {};
        core::StoreEra era;       ///< In which it left.
        core::TimePoint usableAt; ///< If it is back since a restore; the clock's epoch otherwise.
    };

    StoreFollower::Shared shared(platform::ObjectStoreClient &store, WatchRelay &relay,
                                 const fleet::Bounds &bounds);
    /// The store answers one kind again, so that the others need not wait any longer.
    void retryFollowers();
    void applyConfiguration(const platform::StoredObject &object);
    /// Returns whether anything but the contents changed; the coordinator distributes contents.
    bool applyEndpoint(const platform::StoredObject &object);
    void applyVersion(const platform::StoredObject &object);
    void requireNewerVersions();
    void expireOlderVersions();
    /// Whether a restored store holds the endpoint as ready although it left before. Its record
    /// counts again when it outlives the time after which the store removes that of an endpoint
    /// which is gone.
    bool isHeldBack(const fleet::Endpoint &endpoint, const core::StorePosition &position);
    void recordDeparture(const fleet::Endpoint &endpoint);
    void releaseReturnedEndpoints();
    /// Removes an endpoint whose entry is missing, or lets it time to return if the entry may have
    /// expired in an outage of the store.
    void handleMissingEndpoint(const core::EndpointId &id);
    void removeEndpoint(const core::EndpointId &id);
    void removeOverdueEndpoints();

    net::TimerService &m_timers;
    Handlers m_handlers;
    core::Duration m_recordExpiry;
    core::Duration m_maxConfigurationAge;
    decisions::VersionLimits m_versionLimits;
    decisions::StoreOutage m_outage;
    StoreFollower m_configurationFollower;
    StoreFollower m_endpointFollower;
    StoreFollower m_versionFollower;
    std::shared_ptr<const decisions::RouteTable> m_routes;
    core::TimePoint m_configuredAt;
    core::StoreEra m_configurationEra;   ///< Of the record of m_routes.
    std::size_t m_configurationHash = 0; ///< The same.
    std::map<core::EndpointId, fleet::Endpoint> m_endpoints;
    std::unordered_map<fleet::AdapterKey, decisions::VersionFloor> m_versions;
    /// Announced versions by the time from which on they are required.
    std::multimap<core::TimePoint, fleet::AnnouncedVersion> m_versionRequirements;
    /// Announced versions by the time at which the older ones expire.
    std::multimap<core::TimePoint, fleet::AnnouncedVersion> m_versionExpiries;
    decisions::LeavingEndpoints m_leavingEndpoints;
    /// Endpoints whose entry is missing after an outage of the store, and when they are removed;
    /// later outages don't change that.
    std::map<core::EndpointId, core::TimePoint> m_missingEndpoints;
    std::map<core::EndpointId, DepartedEndpoint> m_departedEndpoints;
    net::TimerService::Subscription m_sweepTimer;
};

} // namespace jackdawlead::gateway
