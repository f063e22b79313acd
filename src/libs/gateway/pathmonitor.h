#pragma once

#include "decisions/endpointpaths.h"
#include "gateway/endpointpool.h"
#include "gateway/endpointprobe.h"
#include "gateway/fleetwatch.h"
#include "gateway/requestforwarder.h"
#include "net/timerservice.h"
#include "observability/gatewaymetrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace jackdawlead::gateway {

/// A request that was sent over an own connection and has no answer yet.
struct SentRequest
{
    core::EndpointId endpoint;
    core::TimePoint sentAt;
    bool isConnected = false; ///< Its connection is open.
};

/// Finds out to which endpoints the own connections of this daemon fail although other daemons
/// reach these endpoints, and when they work again. Thread safety: the event loop's thread only.
class PathMonitor
{
public:
    struct Handlers
    {
        /// The endpoint is now to be reached through another daemon.
        std::function<void(const core::EndpointId &)> onInterrupted;
        /// isCutOff() has changed.
        std::function<void()> onCutOffChanged;
    };
    using FailureHandler = std::function<void(bool isReachedByPeer)>;

    PathMonitor(net::EventLoop &loop, net::TimerService &timers, FleetWatch &watch,
                EndpointPool &pool, RequestForwarder &forwarder,
                observability::GatewayMetrics &metrics, Handlers handlers);
    ~PathMonitor();
    PathMonitor(const PathMonitor &) = delete;
    PathMonitor &operator=(const PathMonitor &) = delete;

    bool isInterrupted(const core::EndpointId &id) const { return m_paths.isInterrupted(id); }
    /// Whether this daemon reaches no endpoint over its own connections, while others do.
    bool isCutOff() const { return m_paths.isCutOff(); }
    /// Records that bytes arrived from an endpoint over an own connection.
    void recordActivity() { m_paths.recordActivity(m_timers.now()); }
    /// Records an answer of the endpoint over a new own connection, which was begun at `begunAt`.
    void recordAnswered(const core::EndpointId &id, core::TimePoint begunAt);
    /// An own connection to the endpoint could not be opened. Calls the handler once it is known
    /// whether another daemon reaches the endpoint; without such a daemon it is the endpoint that
    /// failed.
    void confirmFailure(const core::EndpointId &id, FailureHandler handler);
    /// No daemon that was asked could connect to the endpoint.
    void recordUnreachable(const core::EndpointId &id);
    void removeEndpoint(const core::EndpointId &id);
    /// Looks for connections that neither open nor fail, and for a silence of all endpoints. To be
    /// called each checkPeriod.
    void checkProgress(const std::vector<SentRequest> &requests);

    static constexpr core::Duration checkPeriod = std::chrono::milliseconds(100);

private:
    struct Confirmation
    {
        core::TimePoint failedAt;
        std::vector<FailureHandler> handlers;
    };
    struct Trial
    {
        std::unique_ptr<EndpointProbe> probe;
        core::TimePoint begunAt;
        bool isCompared = false; ///< Other daemons were asked whether the endpoint answers them.
        std::optional<core::TimePoint> answeredPeerAt {}; ///< When one of them had an answer.
    };

    void startTrial(const core::EndpointId &id);
    void handleTrial(const core::EndpointId &id, EndpointProbe::Result result);
    void tryInterrupted();
    void checkTrials();
    /// Asks other daemons for an answer of an endpoint that has not answered this one.
    void compareTrial(const core::EndpointId &id, Trial &trial);
    /// Whether the endpoint answers others and the path to it brings nothing.
    bool isPathSilent(const Trial &trial) const;
    void checkSilence(const std::vector<SentRequest> &requests);
    void handleConfirmation(const core::EndpointId &id, RequestForwarder::Reachability result);
    void setInterrupted(const core::EndpointId &id, core::TimePoint failedAt);
    void setCutOff(const core::EndpointId &latest);
    /// Ends the trials once no path is interrupted.
    void checkRestored();
    /// Starts a confirmation unless one for the endpoint is in progress or has just ended.
    void confirmHang(const core::EndpointId &id, core::TimePoint since);

    net::EventLoop &m_loop;
    net::TimerService &m_timers;
    FleetWatch &m_watch;
    EndpointPool &m_pool;
    RequestForwarder &m_forwarder;
    observability::GatewayMetrics &m_metrics;
    Handlers m_handlers;
    decisions::EndpointPaths m_paths;
    std::map<core::EndpointId, Confirmation> m_confirmations;
    std::map<core::EndpointId, core::TimePoint> m_lastConfirmations;
    std::map<core::EndpointId, Trial> m_trials;
    std::map<core::EndpointId, core::TimePoint> m_lastTrials;
    core::TimePoint m_interruptedSince; ///< The clock's epoch while all paths work.
    core::TimePoint m_lastCheckAt;
    core::TimePoint m_silenceTrialAt;
    net::TimerService::Subscription m_trialTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::gateway
