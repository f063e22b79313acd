#include "gateway/fleetwatch.h"

#include "observability/log.h"
#include "platform/decoder.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// Endpoints renew entries that expired during an outage within two seconds after the store is
// reachable again.
constexpr core::Duration reappearanceTime = std::chrono::milliseconds(2200);
constexpr core::Duration sweepPeriod = std::chrono::milliseconds(100);
// A watch may miss a change until its wait ends, and the change must still take effect within its
// bound. The remaining fraction covers the response, also from another region.
constexpr double watchWaitFraction = 0.75;

// A route that is not found may be missing in a configuration that is older than this fraction of
// the bound. The remaining time covers the way of the request.
constexpr double configurationAgeFraction = 0.8;

// Bounds the memory.
constexpr std::size_t maxDepartedEndpoints = 1000;

constexpr char configurationName[] = "main";

/// How old a change that was made after `madeAfter` may be, for the log.
std::string describeMaxAge(core::TimePoint now, core::TimePoint madeAfter)
{
    if (madeAfter == core::TimePoint())
        return "of unknown age";
    return absl::StrCat("at most ", core::toMilliseconds(now - madeAfter), " ms ago");
}

} // namespace

core::Duration FleetWatch::watchWait(const fleet::Bounds &bounds)
{
    return core::scaled(std::min(bounds.configuration, bounds.drain), watchWaitFraction);
}

FleetWatch::FleetWatch(platform::ObjectStoreClient &store, net::TimerService &timers,
                       WatchRelay &relay, const fleet::Bounds &bounds, Handlers handlers)
    : m_timers(timers)
    , m_handlers(std::move(handlers))
    , m_recordExpiry(bounds.recordExpiry)
    , m_maxConfigurationAge(core::scaled(bounds.configuration, configurationAgeFraction))
    , m_versionLimits(decisions::versionLimits(bounds.version))
    , m_outage({bounds.heartbeat, reappearanceTime})
    , m_configurationFollower(shared(store, relay, bounds), platform::ObjectKind::Configuration,
                              [this](const platform::ObjectEvent &event) {
                                  if (!event.isRemoved)
                                      applyConfiguration(event.object);
                                  return true;
                              })
    , m_endpointFollower(shared(store, relay, bounds), platform::ObjectKind::Endpoints,
                         [this](const platform::ObjectEvent &event) {
                             if (!event.isRemoved)
                                 return applyEndpoint(event.object);
                             handleMissingEndpoint(core::EndpointId(event.object.name));
                             return true;
                         })
    , m_versionFollower(shared(store, relay, bounds), platform::ObjectKind::AdapterVersions,
                        [this](const platform::ObjectEvent &event) {
                            if (!event.isRemoved)
                                applyVersion(event.object);
                            return true;
                        })
{ }

StoreFollower::Shared FleetWatch::shared(platform::ObjectStoreClient &store, WatchRelay &relay,
                                         const fleet::Bounds &bounds)
{
    return {store, m_timers, relay, m_outage, [this] { retryFollowers(); }, watchWait(bounds)};
}

void FleetWatch::retryFollowers()
{
    m_configurationFollower.retryNow();
    m_endpointFollower.retryNow();
    m_versionFollower.retryNow();
}

void FleetWatch::start()
{
    m_configurationFollower.start();
    m_endpointFollower.start();
    m_versionFollower.start();
    m_sweepTimer = m_timers.every(sweepPeriod, [this] {
        removeOverdueEndpoints();
        releaseReturnedEndpoints();
        requireNewerVersions();
        expireOlderVersions();
    });
}

bool FleetWatch::isInitialized() const
{
    return m_routes && m_endpointFollower.hasInitialList() && m_versionFollower.hasInitialList();
}

bool FleetWatch::isInitializing() const
{
    return !isInitialized() && isStoreReachable() && m_versionFollower.contact().isReachable();
}

bool FleetWatch::isStoreReachable() const
{
    return m_configurationFollower.contact().isReachable()
        && m_endpointFollower.contact().isReachable();
}

bool FleetWatch::isConfigurationCurrent(core::TimePoint arrival) const
{
    return m_configurationFollower.contact().confirmedAt() >= arrival - m_maxConfigurationAge;
}

bool FleetWatch::confirmConfiguration()
{
    if (!m_configurationFollower.contact().isReachable())
        return false;
    m_configurationFollower.confirm();
    return true;
}

const fleet::Endpoint *FleetWatch::endpoint(const core::EndpointId &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

std::optional<int> FleetWatch::lowestAllowedVersion(const fleet::AdapterKey &key) const
{
    const auto found = m_versions.find(key);
    const int lowest = found == m_versions.end() ? 0 : found->second.lowestAllowed(m_timers.now());
    return lowest > 0 ? std::optional(lowest) : std::nullopt;
}

int FleetWatch::newestVersion(const fleet::AdapterKey &key) const
{
    const auto found = m_versions.find(key);
    return found == m_versions.end() ? 0 : found->second.newest();
}

void FleetWatch::applyConfiguration(const platform::StoredObject &object)
{
    if (object.name != configurationName)
        return;
    auto configuration = platform::decodeConfiguration(object.spec);
    if (!configuration.ok()) {
        observability::logError(observability::LogLevel::Error, configuration.status());
        return;
    }
    // After a restore the operator may give out a lost generation again with another content.
    const std::size_t hash = std::hash<nlohmann::json>()(object.spec);
    const bool isReissued = m_routes && configuration->generation == m_routes->generation()
        && object.position.era > m_configurationEra && hash != m_configurationHash;
    if (m_routes && configuration->generation <= m_routes->generation() && !isReissued)
        return;
    m_configurationEra = object.position.era;
    m_configurationHash = hash;
    m_routes = std::make_shared<const decisions::RouteTable>(*std::move(configuration));
    m_configuredAt = m_timers.now();
    observability::log(
        {.step = "configuration",
         .message = absl::StrCat("version ", m_routes->generation().value(),
                                 " in force, store revision ", object.position.revision)});
    m_handlers.onConfigurationChanged();
}

bool FleetWatch::applyEndpoint(const platform::StoredObject &object)
{
    auto endpoint = platform::decodeEndpoint(object.name, object.spec);
    if (!endpoint.ok()) {
        observability::logError(observability::LogLevel::Warn, endpoint.status());
        // An entry that cannot be decoded has no usable address or service.
        if (m_endpoints.erase(core::EndpointId(object.name)) > 0)
            m_handlers.onEndpointRemoved(core::EndpointId(object.name));
        return true;
    }
    // A leaving incarnation never takes requests again, whatever a restored store says.
    if (endpoint->isLeaving && endpoint->startTime > fleet::StartTime::zero())
        m_leavingEndpoints.add(endpoint->id, endpoint->startTime);
    if (m_leavingEndpoints.contains(endpoint->id, endpoint->startTime)
        || isHeldBack(*endpoint, object.position))
        endpoint->isLeaving = true;
    const bool wasMissing = m_missingEndpoints.erase(endpoint->id) > 0;
    const auto known = m_endpoints.find(endpoint->id);
    if (known == m_endpoints.end() || known->second.isLeaving != endpoint->isLeaving
        || known->second.startTime != endpoint->startTime)
        observability::log(
            {.level = m_endpointFollower.hasInitialList() ? observability::LogLevel::Info
                                                          : observability::LogLevel::Debug,
             .step = "endpoint",
             .message
             = absl::StrCat(endpoint->isLeaving ? "is leaving" : "is ready", ", service ",
                            endpoint->service.value(), ", start time ", endpoint->startTime.count(),
                            ", software version ", endpoint->softwareVersion.value()),
             .peer = endpoint->id.value()});
    const bool isRelevant = wasMissing || known == m_endpoints.end()
        || !known->second.equalsExceptContents(*endpoint);
    fleet::Endpoint &entry = m_endpoints[endpoint->id];
    entry = *std::move(endpoint);
    m_handlers.onEndpointChanged(entry);
    return isRelevant;
}

void FleetWatch::markEndpointLeaving(const core::EndpointId &id, fleet::StartTime startTime)
{
    if (!m_leavingEndpoints.add(id, startTime))
        return;
    observability::log(
        {.step = "endpoint",
         .message = absl::StrCat("announced that it is leaving, start time ", startTime.count()),
         .peer = id.value()});
    const auto known = m_endpoints.find(id);
    if (known == m_endpoints.end() || known->second.startTime != startTime
        || known->second.isLeaving)
        return;
    known->second.isLeaving = true;
    m_handlers.onEndpointChanged(known->second);
}

bool FleetWatch::isHeldBack(const fleet::Endpoint &endpoint, const core::StorePosition &position)
{
    const auto departed = m_departedEndpoints.find(endpoint.id);
    if (departed == m_departedEndpoints.end() || departed->second.startTime != endpoint.startTime)
        return false;
    if (departed->second.usableAt == core::TimePoint()) {
        // In the era in which it left, the endpoint itself has written the record again.
        if (position.era <= departed->second.era) {
            m_departedEndpoints.erase(departed);
            return false;
        }
        departed->second.usableAt = m_timers.now() + m_recordExpiry;
    }
    return true;
}

void FleetWatch::recordDeparture(const fleet::Endpoint &endpoint)
{
    if (m_departedEndpoints.size() >= maxDepartedEndpoints)
        m_departedEndpoints.erase(m_departedEndpoints.begin());
    m_departedEndpoints[endpoint.id]
        = {endpoint.startTime, m_endpointFollower.position().era, core::TimePoint()};
}

void FleetWatch::releaseReturnedEndpoints()
{
    for (auto departed = m_departedEndpoints.begin(); departed != m_departedEndpoints.end();) {
        const core::TimePoint usableAt = departed->second.usableAt;
        if (usableAt == core::TimePoint() || usableAt > m_timers.now()) {
            ++departed;
            continue;
        }
        const core::EndpointId id = departed->first;
        const fleet::StartTime startTime = departed->second.startTime;
        departed = m_departedEndpoints.erase(departed);
        const auto known = m_endpoints.find(id);
        if (known == m_endpoints.end() || known->second.startTime != startTime
            || m_leavingEndpoints.contains(id, startTime))
            continue;
        known->second.isLeaving = false;
        observability::log({.step = "endpoint",
                            .message = "outlived the restore of the store, is ready",
                            .peer = id.value()});
        m_handlers.onEndpointChanged(known->second);
    }
}

void FleetWatch::applyVersion(const platform::StoredObject &object)
{
    const auto announced = platform::decodeVersion(object.spec);
    if (!announced.ok()) {
        observability::logError(observability::LogLevel::Warn, announced.status());
        return;
    }
    const core::TimePoint madeAfter = m_versionFollower.contact().changedAfter();
    decisions::VersionFloor &floor = m_versions[{announced->model, announced->adapter}];
    if (!floor.announce(announced->version, m_timers.now(), madeAfter, m_versionLimits))
        return;
    observability::log(
        {.step = "adapter version",
         .message = absl::StrCat(announced->model.value(), "/", announced->adapter.value(),
                                 " version ", announced->version, " announced, ",
                                 describeMaxAge(m_timers.now(), madeAfter))});
    // No request is sent before the initial list is complete.
    if (m_versionFollower.hasInitialList()) {
        m_versionRequirements.emplace(floor.newestRequiredAt(), *announced);
        m_versionExpiries.emplace(std::max(m_timers.now(), madeAfter + m_versionLimits.queueBound),
                                  *announced);
    }
    m_handlers.onVersionAnnounced(*announced);
}

void FleetWatch::requireNewerVersions()
{
    const auto end = m_versionRequirements.upper_bound(m_timers.now());
    for (auto requirement = m_versionRequirements.begin(); requirement != end; ++requirement)
        m_handlers.onNewerVersionRequired(requirement->second);
    m_versionRequirements.erase(m_versionRequirements.begin(), end);
}

void FleetWatch::expireOlderVersions()
{
    const auto end = m_versionExpiries.upper_bound(m_timers.now());
    for (auto expiry = m_versionExpiries.begin(); expiry != end; ++expiry)
        m_handlers.onOlderVersionsExpired(expiry->second);
    m_versionExpiries.erase(m_versionExpiries.begin(), end);
}

void FleetWatch::handleMissingEndpoint(const core::EndpointId &id)
{
    if (!m_endpoints.contains(id) || m_missingEndpoints.contains(id))
        return;
    const core::TimePoint reappearanceEnd = m_outage.reappearanceEnd();
    if (m_timers.now() >= reappearanceEnd) {
        removeEndpoint(id);
        return;
    }
    m_missingEndpoints.emplace(id, reappearanceEnd);
    observability::log({.step = "endpoint",
                        .message = "entry is missing after an outage of the store, may return",
                        .peer = id.value()});
}

void FleetWatch::removeEndpoint(const core::EndpointId &id)
{
    const auto endpoint = m_endpoints.find(id);
    if (endpoint == m_endpoints.end())
        return;
    recordDeparture(endpoint->second);
    m_endpoints.erase(endpoint);
    observability::log({.step = "endpoint", .message = "is gone", .peer = id.value()});
    m_handlers.onEndpointRemoved(id);
}

void FleetWatch::removeOverdueEndpoints()
{
    const core::TimePoint now = m_timers.now();
    std::vector<core::EndpointId> overdue;
    for (const auto &[id, until] : m_missingEndpoints) {
        if (now >= until)
            overdue.push_back(id);
    }
    for (const core::EndpointId &id : overdue) {
        m_missingEndpoints.erase(id);
        removeEndpoint(id);
    }
}

} // namespace jackdawlead::gateway
