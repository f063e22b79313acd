#include "gateway/crashguard.h"

#include "gateway/crashcollector.h"
#include "observability/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway {

namespace {

constexpr core::Duration decisionPeriod = std::chrono::milliseconds(100);
// A refusal takes a round trip, of 60 ms between regions.
constexpr core::Duration maxRefusalTime = std::chrono::milliseconds(500);
// An endpoint that sent something this recently is reached over other connections.
constexpr core::Duration recentContact = std::chrono::milliseconds(400);
// An endpoint that answers later than this has not crashed, and its path may be silent.
constexpr core::Duration maxVerificationTime = std::chrono::seconds(1);
// A daemon that has just started cannot tell yet which parts are sound, so that it reports crashes
// later: requests take some hundred milliseconds to their first event and then have to go on.
constexpr core::Duration warmUpTime = std::chrono::seconds(2);
// Crashes that no coordinator has received yet; the oldest is dropped.
constexpr std::size_t maxPendingEvidence = 64;
constexpr std::string_view quarantineCause = "request was running when endpoints died";
constexpr std::string_view blockedPartCause = "a part of the prompt crashes endpoints";

} // namespace

CrashGuard::CrashGuard(net::EventLoop &loop, net::TimerService &timers, FleetWatch &watch,
                       EndpointPool &pool, observability::GatewayMetrics &metrics,
                       Handlers handlers)
    : m_loop(loop)
    , m_timers(timers)
    , m_watch(watch)
    , m_pool(pool)
    , m_metrics(metrics)
    , m_handlers(std::move(handlers))
    , m_startedAt(timers.now())
{
    m_warmUpTimer = timers.once(warmUpTime, [this] {
        if (!m_pendingEvidence.empty())
            reportEvidence();
    });
    m_decisionTimer = timers.every(decisionPeriod, [this] { decideAlone(); });
}

CrashGuard::~CrashGuard()
{
    *m_isAlive = false;
}

const core::PromptPartId *CrashGuard::blockedPart(const decisions::RequestIdentity &request) const
{
    const auto found = std::ranges::find_if(
        request.parts, [this](const auto &part) { return m_parts.isBlocked(part); });
    return found == request.parts.end() ? nullptr : &*found;
}

std::optional<std::string_view>
CrashGuard::rejectionCause(const decisions::RequestIdentity &request)
{
    if (const core::PromptPartId *part = blockedPart(request)) {
        m_parts.recordRequest(*part, m_timers.now());
        m_pendingRequestedParts.insert(*part);
        return blockedPartCause;
    }
    if (m_crashes.isQuarantined(request.fingerprint, m_timers.now()))
        return quarantineCause;
    return std::nullopt;
}

bool CrashGuard::hasSuspect(const decisions::RequestIdentity &request) const
{
    // The coordinator also knows what runs well at other daemons.
    const bool hasCoordinator = m_handlers.isCoordinatorReachable();
    return std::ranges::any_of(request.parts, [this, hasCoordinator](const auto &part) {
        return hasCoordinator ? m_fleetSuspects.contains(part) : m_parts.isSuspect(part);
    });
}

bool CrashGuard::mayRunAgain(const decisions::RequestIdentity &request) const
{
    return !hasSuspect(request) && blockedPart(request) == nullptr
        && m_crashes.crashCount(request.fingerprint, m_timers.now())
        < decisions::crashesUntilNotRepeated;
}

// The path may be interrupted instead, which is not known before another daemon was asked.
void CrashGuard::recordConnectFailure(const core::EndpointId &id, fleet::StartTime incarnation)
{
    decisions::EndpointHealth &health = m_pool.health(id);
    const bool wasUnreachable = health.isUnreachable(m_timers.now());
    health.recordConnectionFailure(m_timers.now());
    const bool isUnreachable = health.isUnreachable(m_timers.now());
    m_handlers.confirmFailure(id,
                              [this, alive = m_isAlive, id, incarnation, isUnreachable,
                               wasUnreachable](bool isReachedByPeer) {
                                  if (*alive && isUnreachable && !isReachedByPeer)
                                      recordCrash(id, incarnation, !wasUnreachable);
                              });
}

void CrashGuard::recordMalformedAnswer(const core::EndpointId &id, fleet::StartTime incarnation)
{
    recordFailedExchange(id, incarnation);
}

void CrashGuard::recordFailedExchange(const core::EndpointId &id, fleet::StartTime incarnation)
{
    decisions::EndpointHealth &health = m_pool.health(id);
    const bool wasUnreachable = health.isUnreachable(m_timers.now());
    health.recordConnectionFailure(m_timers.now());
    if (!health.isUnreachable(m_timers.now()))
        return;
    if (!m_handlers.hasPeers()) {
        recordCrash(id, incarnation, !wasUnreachable);
        return;
    }
    verify(id, incarnation);
    if (const auto found = m_verifications.find(id); found != m_verifications.end()) {
        found->second.isCrash = true;
        found->second.isNew |= !wasUnreachable;
    }
}

void CrashGuard::recordBrokenExchange(const core::EndpointId &id, fleet::StartTime incarnation,
                                      const decisions::RequestIdentity &request)
{
    m_crashes.recordConnectionFailure(request, id, m_timers.now());
    recordFailedExchange(id, incarnation);
    if (!m_pool.health(id).isUnreachable(m_timers.now()))
        verify(id, incarnation);
}

// A connection that does not open, or stays silent, shows nothing about the endpoint.
void CrashGuard::verify(const core::EndpointId &id, fleet::StartTime incarnation)
{
    const fleet::Endpoint *endpoint = m_watch.endpoint(id);
    if (endpoint == nullptr || m_verifications.contains(id))
        return;
    const auto &routes = m_watch.routes();
    const auto *service = routes ? routes->service(endpoint->service) : nullptr;
    Verification &verification = m_verifications[id];
    verification.begunAt = m_timers.now();
    verification.timeout
        = m_timers.once(maxVerificationTime, [this, id] { m_verifications.erase(id); });
    verification.probe = std::make_unique<EndpointProbe>(
        m_loop, m_pool, *endpoint, service, [this, id, incarnation](EndpointProbe::Result result) {
            handleVerified(id, incarnation, result);
        });
}

void CrashGuard::handleVerified(const core::EndpointId &id, fleet::StartTime incarnation,
                                EndpointProbe::Result result)
{
    const Verification verification = std::move(m_verifications.at(id));
    m_verifications.erase(id);
    // An endpoint that is reached may end single connections itself, those over its limit.
    const bool isAnswering = result == EndpointProbe::Result::Answered
        || (result == EndpointProbe::Result::Broken
            && m_timers.now() - m_pool.lastActivityAt(id) < recentContact);
    if (isAnswering) {
        if (verification.isCrash)
            recordCrash(id, incarnation, verification.isNew);
    } else if (result == EndpointProbe::Result::Broken
               || m_timers.now() - verification.begunAt < maxRefusalTime) {
        recordConnectFailure(id, incarnation);
    }
}

void CrashGuard::recordCrash(const core::EndpointId &id, fleet::StartTime incarnation, bool isNew)
{
    const decisions::CrashId crash(absl::StrCat(id.value(), "@", incarnation.count()));
    decisions::CrashEvidence evidence = m_crashes.recordCrash(id, crash, m_timers.now());
    if (!isNew && evidence.requests.empty())
        return;
    std::map<core::PromptPartId, int> parts;
    for (const decisions::RequestIdentity &request : evidence.requests) {
        for (const core::PromptPartId &part : request.parts)
            ++parts[part];
    }
    std::string list;
    for (const auto &[part, requests] : parts)
        absl::StrAppend(&list, " ", part.value(), " (", requests, ")");
    observability::log({.level = observability::LogLevel::Warn,
                        .step = "endpoint",
                        .message = absl::StrCat("unreachable: connections broke in a row, requests "
                                                "in progress ",
                                                evidence.requests.size(), ", parts of prompts",
                                                list.empty() ? " none" : list),
                        .peer = id.value()});
    if (evidence.requests.empty())
        return;
    if (m_pendingEvidence.size() >= maxPendingEvidence)
        m_pendingEvidence.erase(m_pendingEvidence.begin());
    m_pendingEvidence.push_back(std::move(evidence));
    if (isWarm())
        reportEvidence();
}

bool CrashGuard::isWarm() const
{
    return m_timers.now() - m_startedAt >= warmUpTime;
}

void CrashGuard::reportEvidence()
{
    for (const decisions::CrashEvidence &evidence : m_pendingEvidence)
        m_parts.recordCrash(evidence, m_timers.now());
    m_handlers.onReportDue();
}

void CrashGuard::recordSound(const decisions::RequestIdentity &request)
{
    if (request.parts.empty())
        return;
    const std::size_t pending = m_pendingSoundParts.size();
    for (const core::PromptPartId &part : m_parts.recordSound(request.parts, m_timers.now()))
        m_pendingSoundParts.insert(part);
    for (const core::PromptPartId &part : request.parts) {
        if (m_fleetSuspects.contains(part))
            m_pendingSoundParts.insert(part);
    }
    handleDecisions();
    if (m_pendingSoundParts.size() > pending)
        m_handlers.onReportDue();
}

CrashNews CrashGuard::takeNews()
{
    CrashNews news;
    news.crashes = m_crashes.recentCrashes(m_timers.now());
    if (isWarm())
        news.evidence = std::exchange(m_pendingEvidence, {});
    const auto sound = std::exchange(m_pendingSoundParts, {});
    news.soundParts.assign(sound.begin(), sound.end());
    const auto requested = std::exchange(m_pendingRequestedParts, {});
    news.requestedParts.assign(requested.begin(), requested.end());
    news.states = m_parts.states(m_timers.now());
    return news;
}

void CrashGuard::restoreNews(const CrashNews &news)
{
    if (m_pendingEvidence.size() < maxPendingEvidence)
        m_pendingEvidence.insert(m_pendingEvidence.end(), news.evidence.begin(),
                                 news.evidence.end());
    m_pendingSoundParts.insert(news.soundParts.begin(), news.soundParts.end());
    m_pendingRequestedParts.insert(news.requestedParts.begin(), news.requestedParts.end());
}

void CrashGuard::applyFleetNews(const FleetCrashNews &news, bool isNewCoordinator)
{
    for (const decisions::CrashReport &crash : news.crashes)
        m_crashes.applyUpdate(crash, m_timers.now());
    for (const decisions::CrashId &crash : news.explainedCrashes)
        m_crashes.forget(crash);
    if (isNewCoordinator) {
        const auto known = m_parts.evidence();
        m_pendingEvidence.insert(m_pendingEvidence.end(), known.begin(), known.end());
    }
    m_fleetSuspects = {news.suspects.begin(), news.suspects.end()};
    bool isReportDue = isNewCoordinator && !m_pendingEvidence.empty();
    for (const core::PromptPartId &part : m_fleetSuspects) {
        if (m_parts.isSound(part, m_timers.now()))
            isReportDue |= m_pendingSoundParts.insert(part).second;
    }
    applyStates(news.states, "the coordinator");
    if (isReportDue)
        m_handlers.onReportDue();
}

void CrashGuard::applyStates(const std::vector<decisions::PartState> &states,
                             std::string_view source)
{
    std::vector<decisions::PartState> changes;
    for (const decisions::PartState &state : states) {
        if (m_parts.applyState(state, m_timers.now()))
            changes.push_back(state);
    }
    if (changes.empty())
        return;
    logPartStates(changes, source);
    handleStateChange();
}

void CrashGuard::handleStateChange()
{
    for (const decisions::CrashId &crash : m_parts.explainedCrashes())
        m_crashes.forget(crash);
    m_metrics.setBlockedPromptParts(static_cast<double>(m_parts.blockedCount()));
}

// The coordinator knows the crashes that all daemons observed; without it, those of this daemon
// have to do.
void CrashGuard::decideAlone()
{
    if (m_handlers.isCoordinatorReachable())
        return;
    m_parts.decide(m_timers.now());
    handleDecisions();
}

void CrashGuard::handleDecisions()
{
    const std::vector<decisions::PartState> changes = m_parts.takeChanges();
    if (changes.empty())
        return;
    logPartStates(changes, "this daemon");
    handleStateChange();
}

} // namespace jackdawlead::gateway
