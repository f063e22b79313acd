#include "gateway/gateway.h"

namespace jackdawlead::gateway {

namespace {

constexpr std::string_view leavingCause = "endpoint leaves before the connection is open";
constexpr std::string_view limitCause
    = "endpoint announces a request limit before the connection is open";

} // namespace

FleetWatch::Handlers Gateway::watchHandlers()
{
    return {
        .onConfigurationChanged = [this] { applyConfiguration(); },
        .onEndpointChanged =
            [this](const fleet::Endpoint &endpoint) {
                m_context.placement.updateFromRecord(endpoint);
                m_streams.recordEndpoint(endpoint);
                m_coordinator.updateEndpoint(endpoint);
                m_limits.updateEndpoint(endpoint);
                if (endpoint.isLeaving)
                    giveUpConnecting(endpoint.id, leavingCause);
            },
        .onEndpointRemoved =
            [this](const core::EndpointId &id) {
                m_context.placement.remove(id);
                m_coordinator.removeEndpoint(id);
                giveUpConnecting(id, leavingCause);
                m_paths.removeEndpoint(id);
                m_pool.removeEndpoint(id);
                m_limits.removeEndpoint(id);
                m_context.refusalLimits.removeEndpoint(id);
            },
        .onVersionAnnounced =
            [this](const fleet::AnnouncedVersion &version) {
                m_coordinator.setAnnouncedVersion(version);
            },
        .onNewerVersionRequired
        = [this](const fleet::AnnouncedVersion &version) { seekNewerVersions(version); },
        .onOlderVersionsExpired
        = [this](const fleet::AnnouncedVersion &version) { giveUpOlderVersions(version); },
    };
}

// The handlers run in the next event loop iteration because they may end other requests.
RateLimits::Handlers Gateway::limitHandlers()
{
    return {
        .onLimitAnnounced =
            [this](const core::EndpointId &id) {
                m_loop.post([this, id] { giveUpConnecting(id, limitCause); });
            },
        .onReportDue = [this] { m_peerLink.scheduleDemandReport(); },
        .isCoordinatorReachable = [this] { return m_peerLink.isCoordinatorReachable(); },
        .findEndpoint = [this](const core::EndpointId &id) { return m_watch.endpoint(id); },
        .uniformRandom = [this] { return m_context.uniformRandom(); },
    };
}

customers::CustomerLimits::Handlers Gateway::customerHandlers()
{
    return {
        .findCoordinator = [this] { return m_peerLink.coordinatorElsewhere(); },
        .answerLocally
        = [this](const customers::QuotaCall &call) { return m_coordinator.handleQuotaCall(call); },
        .isAwaitingFirstCoordinator = [this] { return m_peerLink.isAwaitingFirstCoordinator(); },
        .onAnswer = [this] { retryWaitingRequests(); },
    };
}

CrashGuard::Handlers Gateway::crashHandlers()
{
    return {
        .onReportDue = [this] { m_peerLink.scheduleDemandReport(); },
        .isCoordinatorReachable = [this] { return m_peerLink.isCoordinatorReachable(); },
        .hasPeers = [this] { return m_forwarder.hasPeers(); },
        .confirmFailure =
            [this](const core::EndpointId &id, PathMonitor::FailureHandler handler) {
                m_paths.confirmFailure(id, std::move(handler));
            },
    };
}

// The handlers run in the next event loop iteration because they may end other requests.
PathMonitor::Handlers Gateway::pathHandlers()
{
    return {
        .onInterrupted =
            [this](const core::EndpointId &id) {
                m_loop.post([this, id] { handleInterruptedPath(id); });
            },
        .onCutOffChanged = [this] { m_loop.post([this] { handleCutOff(); }); },
    };
}

} // namespace jackdawlead::gateway
