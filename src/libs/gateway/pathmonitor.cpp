#include "gateway/pathmonitor.h"

#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// A connection opens within a round trip, of 60 ms between regions.
constexpr core::Duration maxConnectTime = std::chrono::milliseconds(250);
// Streams bring events several times a second, and the first event of a request takes some hundred
// milliseconds.
constexpr core::Duration maxSilence = std::chrono::milliseconds(400);
// A silence of all endpoints is common on a daemon with few requests.
constexpr core::Duration silenceTrialInterval = std::chrono::seconds(1);
constexpr core::Duration confirmationInterval = std::chrono::milliseconds(500);
// Two own connections are enough to tell a cut of this daemon from a silent endpoint.
constexpr std::size_t trialsPerSilence = 2;
// While paths are interrupted one of them is tried at this interval.
constexpr core::Duration trialPeriod = std::chrono::milliseconds(100);
// A trial that hangs is given up, so that the next one begins when the path works again.
constexpr core::Duration maxTrialTime = std::chrono::milliseconds(500);
// A trial without an answer for this time is compared with one of another daemon. To another region
// it takes two round trips of 60 ms.
constexpr core::Duration comparisonDelay = std::chrono::milliseconds(150);
// An answer to this daemon may be on its way when another one has its own.
constexpr core::Duration maxAnswerDelay = std::chrono::milliseconds(80);
// A process that was suspended heard nothing meanwhile.
constexpr core::Duration suspensionGap = PathMonitor::checkPeriod * 3;

} // namespace

PathMonitor::PathMonitor(net::EventLoop &loop, net::TimerService &timers, FleetWatch &watch,
                         EndpointPool &pool, RequestForwarder &forwarder,
                         observability::GatewayMetrics &metrics, Handlers handlers)
    : m_loop(loop)
    , m_timers(timers)
    , m_watch(watch)
    , m_pool(pool)
    , m_forwarder(forwarder)
    , m_metrics(metrics)
    , m_handlers(std::move(handlers))
{ }

PathMonitor::~PathMonitor()
{
    *m_isAlive = false;
}

// A connection from before the interruption may live on while new ones fail.
void PathMonitor::recordAnswered(const core::EndpointId &id, core::TimePoint begunAt)
{
    if (m_paths.hasInterrupted() && begunAt < m_interruptedSince) {
        recordActivity();
        return;
    }
    const bool wasCutOff = m_paths.isCutOff();
    m_paths.recordAnswered(id, m_timers.now());
    checkRestored();
    if (wasCutOff) {
        m_metrics.setCutOff(false);
        m_handlers.onCutOffChanged();
    }
}

void PathMonitor::checkRestored()
{
    if (m_paths.hasInterrupted() || !m_trialTimer.isActive())
        return;
    m_trialTimer.cancel();
    observability::log({.level = observability::LogLevel::Warn,
                        .step = "paths",
                        .message = absl::StrCat(
                            "this daemon reaches its endpoints again, after ",
                            core::toMilliseconds(m_timers.now() - m_interruptedSince), " ms")});
}

void PathMonitor::recordUnreachable(const core::EndpointId &id)
{
    m_paths.recordUnreachable(id);
    checkRestored();
}

void PathMonitor::removeEndpoint(const core::EndpointId &id)
{
    m_paths.remove(id);
    m_trials.erase(id);
    m_lastTrials.erase(id);
    m_lastConfirmations.erase(id);
    checkRestored();
}

void PathMonitor::confirmFailure(const core::EndpointId &id, FailureHandler handler)
{
    if (!m_forwarder.hasPeers()) {
        handler(false);
        return;
    }
    const auto [entry, isNew] = m_confirmations.try_emplace(id);
    entry->second.handlers.push_back(std::move(handler));
    if (!isNew)
        return;
    entry->second.failedAt = m_timers.now();
    m_forwarder.check(id, RequestForwarder::Proof::Connection,
                      [this, alive = m_isAlive, id](RequestForwarder::Reachability result) {
                          if (*alive)
                              handleConfirmation(id, result);
                      });
}

void PathMonitor::handleConfirmation(const core::EndpointId &id,
                                     RequestForwarder::Reachability result)
{
    const auto found = m_confirmations.find(id);
    if (found == m_confirmations.end())
        return;
    const Confirmation confirmation = std::move(found->second);
    m_confirmations.erase(found);
    m_lastConfirmations[id] = m_timers.now();
    const bool isReached = result == RequestForwarder::Reachability::Reachable;
    if (isReached)
        setInterrupted(id, confirmation.failedAt);
    else if (result == RequestForwarder::Reachability::Unreachable)
        recordUnreachable(id);
    for (const FailureHandler &handler : confirmation.handlers)
        handler(isReached);
}

void PathMonitor::setInterrupted(const core::EndpointId &id, core::TimePoint failedAt)
{
    if (m_watch.endpoint(id) == nullptr)
        return;
    const bool wasInterrupted = m_paths.hasInterrupted();
    const bool wasCutOff = m_paths.isCutOff();
    m_paths.recordReachedByPeer(id, failedAt, m_timers.now());
    m_pool.health(id).reset();
    // Connections that are still open but bring nothing would hold the next requests.
    if (m_paths.lastActivityAt() < failedAt)
        m_pool.closeIdle(id);
    if (!wasInterrupted) {
        m_interruptedSince = failedAt;
        m_trialTimer = m_timers.every(trialPeriod, [this] { tryInterrupted(); });
        observability::log({.level = observability::LogLevel::Warn,
                            .step = "paths",
                            .message = "own connections fail, other daemons reach the endpoint; "
                                       "requests are sent through them",
                            .peer = id.value()});
    }
    if (m_paths.isCutOff() && !wasCutOff)
        setCutOff(id);
    m_handlers.onInterrupted(id);
}

void PathMonitor::setCutOff(const core::EndpointId &latest)
{
    observability::log(
        {.level = observability::LogLevel::Warn,
         .step = "paths",
         .message
         = absl::StrCat("this daemon has lost all of its ", m_watch.endpoints().size(),
                        " endpoints, which other daemons reach, last contact ",
                        core::toMilliseconds(m_timers.now() - m_paths.lastActivityAt()), " ms ago"),
         .peer = latest.value()});
    m_pool.closeAllIdle();
    m_metrics.setCutOff(true);
    m_handlers.onCutOffChanged();
}

void PathMonitor::confirmHang(const core::EndpointId &id, core::TimePoint since)
{
    if (m_paths.isInterrupted(id) || m_confirmations.contains(id)
        || m_timers.now() - m_lastConfirmations[id] < confirmationInterval)
        return;
    confirmFailure(id, [](bool) {});
    // The silence began with the first attempt to connect.
    if (const auto found = m_confirmations.find(id); found != m_confirmations.end())
        found->second.failedAt = since;
}

void PathMonitor::checkProgress(const std::vector<SentRequest> &requests)
{
    const core::TimePoint now = m_timers.now();
    if (now - std::exchange(m_lastCheckAt, now) > suspensionGap)
        recordActivity();
    for (const SentRequest &request : requests) {
        if (!request.isConnected && now - request.sentAt >= maxConnectTime)
            confirmHang(request.endpoint, request.sentAt);
    }
    checkTrials();
    checkSilence(requests);
}

void PathMonitor::checkSilence(const std::vector<SentRequest> &requests)
{
    const core::TimePoint now = m_timers.now();
    if (m_paths.isCutOff() || now - m_paths.lastActivityAt() < maxSilence
        || now - m_silenceTrialAt < silenceTrialInterval)
        return;
    std::vector<core::EndpointId> silent;
    for (const SentRequest &request : requests) {
        if (request.isConnected && now - request.sentAt >= maxSilence
            && std::ranges::find(silent, request.endpoint) == silent.end())
            silent.push_back(request.endpoint);
    }
    if (silent.empty())
        return;
    m_silenceTrialAt = now;
    for (const auto &[id, endpoint] : m_watch.endpoints()) {
        if (silent.size() >= trialsPerSilence)
            break;
        if (!endpoint.isLeaving && std::ranges::find(silent, id) == silent.end())
            silent.push_back(id);
    }
    silent.resize(std::min(silent.size(), trialsPerSilence));
    for (const core::EndpointId &id : silent)
        startTrial(id);
}

void PathMonitor::checkTrials()
{
    const core::TimePoint now = m_timers.now();
    std::vector<core::EndpointId> hanging;
    std::map<core::EndpointId, core::TimePoint> silentSince;
    for (auto &[id, trial] : m_trials) {
        // An endpoint that was asked may be silent itself, or answer once it has a free slot.
        if (now - trial.begunAt >= maxConnectTime && !trial.probe->isAsked())
            confirmHang(id, trial.begunAt);
        if (now - trial.begunAt >= comparisonDelay)
            compareTrial(id, trial);
        const bool isSilent = isPathSilent(trial);
        if (isSilent)
            silentSince[id] = trial.begunAt;
        if (isSilent || now - trial.begunAt >= maxTrialTime)
            hanging.push_back(id);
    }
    for (const core::EndpointId &id : hanging)
        m_trials.erase(id);
    for (const auto &[id, begunAt] : silentSince)
        setInterrupted(id, begunAt);
}

void PathMonitor::compareTrial(const core::EndpointId &id, Trial &trial)
{
    if (trial.isCompared || !trial.probe->isAsked() || m_paths.isInterrupted(id)
        || m_paths.lastActivityAt() >= trial.begunAt)
        return;
    trial.isCompared = true;
    m_forwarder.check(id, RequestForwarder::Proof::Answer,
                      [this, alive = m_isAlive, id,
                       begunAt = trial.begunAt](RequestForwarder::Reachability result) {
                          if (!*alive || result != RequestForwarder::Reachability::Reachable)
                              return;
                          const auto found = m_trials.find(id);
                          if (found != m_trials.end() && found->second.begunAt == begunAt)
                              found->second.answeredPeerAt = m_timers.now();
                      });
}

// A silent endpoint answers nobody, so that another daemon's answer tells it from a silent path.
// Bytes from any endpoint show that it is not the path of this daemon to all of them.
bool PathMonitor::isPathSilent(const Trial &trial) const
{
    const core::TimePoint now = m_timers.now();
    return trial.answeredPeerAt && now - *trial.answeredPeerAt >= maxAnswerDelay
        && now - trial.begunAt >= maxConnectTime && m_paths.lastActivityAt() < trial.begunAt;
}

void PathMonitor::startTrial(const core::EndpointId &id)
{
    const fleet::Endpoint *endpoint = m_watch.endpoint(id);
    m_lastTrials[id] = m_timers.now();
    if (endpoint == nullptr || m_trials.contains(id))
        return;
    const auto &routes = m_watch.routes();
    const auto *service = routes ? routes->service(endpoint->service) : nullptr;
    auto probe = std::make_unique<EndpointProbe>(
        m_loop, m_pool, *endpoint, service,
        [this, id](EndpointProbe::Result result) { handleTrial(id, result); });
    m_trials[id] = {std::move(probe), m_timers.now()};
}

void PathMonitor::handleTrial(const core::EndpointId &id, EndpointProbe::Result result)
{
    const core::TimePoint begunAt = m_trials.at(id).begunAt;
    m_trials.erase(id);
    if (result == EndpointProbe::Result::Answered)
        recordAnswered(id, begunAt);
    else if (result == EndpointProbe::Result::Refused || m_paths.lastActivityAt() < begunAt)
        confirmHang(id, begunAt);
}

void PathMonitor::tryInterrupted()
{
    std::erase_if(m_lastTrials,
                  [this](const auto &entry) { return m_watch.endpoint(entry.first) == nullptr; });
    for (const auto &[id, endpoint] : m_watch.endpoints())
        m_lastTrials.try_emplace(id);
    if (const auto id = m_paths.nextTrial(m_lastTrials))
        startTrial(*id);
}

} // namespace jackdawlead::gateway
