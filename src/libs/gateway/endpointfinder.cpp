#include "gateway/endpointfinder.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// Time that the load values of other daemons take to the coordinator and on to this daemon. Their
// age also includes half of the report period in each direction.
constexpr core::Duration loadPropagationTime = std::chrono::milliseconds(50);

const char *nameOf(decisions::streams::StreamChoiceKind kind)
{
    using decisions::streams::StreamChoiceKind;
    switch (kind) {
    case StreamChoiceKind::Share:
        return "own part";
    case StreamChoiceKind::Other:
        return "elsewhere";
    case StreamChoiceKind::Held:
        break;
    }
    return "held back";
}

} // namespace

void EndpointFinder::recordRefusal(core::TimePoint now)
{
    m_retryTriedAt = now + m_refusalDelay;
    m_refusalDelay *= 2;
}

void EndpointFinder::setTarget(core::Duration target, core::TimePoint receivedAt)
{
    m_target = target;
    m_receivedAt = receivedAt;
    // Without the switch the sequence of draws stays the same.
    if (m_context.overflow.isEnabled())
        m_overflowDraw = m_context.uniformRandom();
}

double EndpointFinder::preferDomain(std::vector<decisions::EndpointOption> &options,
                                    core::TimePoint now) const
{
    if (!m_context.overflow.isEnabled())
        return 1;
    OverflowInputs inputs {.service = m_service,
                           .target = m_target,
                           .waited = now - m_receivedAt,
                           .loadAge = {},
                           .daemonCount = m_context.daemonCount,
                           .draw = m_overflowDraw};
    if (m_context.loadsReceivedAt)
        inputs.loadAge = now - *m_context.loadsReceivedAt + loadPropagationTime;
    return m_context.overflow.prefer(options, inputs, now);
}

decisions::EndpointChoice EndpointFinder::choose(core::TimePoint now) const
{
    std::vector<decisions::EndpointOption> candidates = options(now);
    // Returns early because a request that waits for an adapter calls this fifty times a second,
    // mostly without any option.
    if (candidates.empty()) {
        const bool areAllBackingOff = earliestBackoffEnd(now).has_value();
        return {std::nullopt,
                areAllBackingOff ? decisions::NoEndpointReason::AllFull
                                 : decisions::NoEndpointReason::NoCandidates,
                {}};
    }
    const double preferredShare = preferDomain(candidates, now);
    const double unreported = unreportedPerEndpoint(now) * preferredShare;
    if (m_streamTargets && m_context.forecast.isEnabled())
        return chooseForStream(std::move(candidates), unreported, now);
    return decisions::chooseEndpoint(candidates, m_context.uniformRandom(), unreported);
}

decisions::EndpointChoice
EndpointFinder::chooseForStream(std::vector<decisions::EndpointOption> candidates,
                                double unreported, core::TimePoint now) const
{
    std::vector<decisions::streams::StreamOption> options;
    options.reserve(candidates.size());
    for (decisions::EndpointOption &candidate : candidates) {
        const fleet::Endpoint &endpoint = *m_context.watch.endpoint(candidate.endpoint);
        const auto state = m_context.forecast.stateOf(endpoint, now);
        options.push_back({std::move(candidate), state});
    }
    const decisions::streams::StreamDemand demand {
        .promptTokens = m_fields.promptTokens,
        .targetGap = m_streamTargets->gap,
        .timeLeft = m_streamTargets->firstEventDueAt - now,
        .mayAwaitShare = now < m_streamTargets->awaitShareUntil,
        .mayAwaitTargets = now < m_streamTargets->awaitTargetsUntil};
    auto chosen
        = decisions::streams::chooseForStream(std::move(options), m_context.forecast.times(),
                                              demand, m_context.uniformRandom(), unreported);
    m_context.metrics.recordStreamChoice(nameOf(chosen.kind));
    return std::move(chosen.choice);
}

double EndpointFinder::unreportedPerEndpoint(core::TimePoint now) const
{
    const double otherDaemons = m_context.daemonCount - 1;
    const auto endpoints
        = std::ranges::count_if(m_context.watch.endpoints(), [this](const auto &entry) {
              return entry.second.service == m_service && !entry.second.isLeaving;
          });
    if (otherDaemons <= 0 || endpoints == 0)
        return 0;
    const double rate = m_context.budgets[m_service].requestRate(now) * otherDaemons;
    const core::Duration age = m_context.reportPeriod + loadPropagationTime;
    return rate * core::toSeconds(age) / static_cast<double>(endpoints);
}

std::optional<int> EndpointFinder::expectedVersion() const
{
    if (m_fields.adapter.isEmpty())
        return std::nullopt;
    const fleet::AdapterKey key {m_fields.model, m_fields.adapter};
    const auto lowest = m_context.watch.lowestAllowedVersion(key);
    // No endpoint can hold a version that was not announced.
    const int required
        = std::max(m_minVersion, std::min(m_runVersion, m_context.watch.newestVersion(key)));
    return required > 0 ? std::max(lowest.value_or(0), required) : lowest;
}

std::optional<int> EndpointFinder::heldVersion(const core::EndpointId &id,
                                               core::TimePoint now) const
{
    if (m_fields.adapter.isEmpty())
        return std::nullopt;
    return m_context.placement.heldVersion(id, {m_fields.model, m_fields.adapter}, now);
}

bool EndpointFinder::holdsRequested(const fleet::Endpoint &endpoint, int minVersion,
                                    core::TimePoint now) const
{
    if (m_fields.model.isEmpty())
        return true;
    if (!m_context.placement.holdsModel(endpoint.id, m_fields.model, now))
        return false;
    if (m_fields.adapter.isEmpty())
        return true;
    const fleet::AdapterKey key {m_fields.model, m_fields.adapter};
    const auto held = m_context.placement.heldVersion(endpoint.id, key, now);
    return held && *held >= minVersion;
}

decisions::Distance EndpointFinder::distanceTo(const core::FailureDomainId &domain) const
{
    const fleet::HostSettings &settings = m_context.settings;
    if (domain == settings.domain)
        return decisions::Distance::SameDomain;
    const auto region = settings.regions.find(domain);
    const bool isSameRegion = region != settings.regions.end() && region->second == settings.region;
    return isSameRegion ? decisions::Distance::SameRegion : decisions::Distance::OtherRegion;
}

bool EndpointFinder::isUsable(const fleet::Endpoint &endpoint, int minVersion,
                              core::TimePoint now) const
{
    return isServing(endpoint) && holdsRequested(endpoint, minVersion, now);
}

bool EndpointFinder::isServing(const fleet::Endpoint &endpoint) const
{
    return endpoint.service == m_service && !endpoint.isLeaving
        && (!m_softwareVersion || endpoint.softwareVersion == *m_softwareVersion);
}

bool EndpointFinder::isVersionServing() const
{
    return std::ranges::any_of(m_context.watch.endpoints(),
                               [this](const auto &entry) { return isServing(entry.second); });
}

bool EndpointFinder::hasUnlimitedEndpoint() const
{
    return std::ranges::any_of(m_context.watch.endpoints(), [this](const auto &entry) {
        const fleet::Endpoint &endpoint = entry.second;
        return isServing(endpoint) && !m_context.limits.limitOf(endpoint);
    });
}

bool EndpointFinder::needsPermit(const core::EndpointId &id, core::TimePoint now) const
{
    const fleet::Endpoint *endpoint = m_context.watch.endpoint(id);
    if (endpoint == nullptr)
        return false;
    const auto option = optionFor(*endpoint, expectedVersion().value_or(0), now);
    return option && option->needsPermit;
}

std::optional<core::TimePoint> EndpointFinder::earliestBackoffEnd(core::TimePoint now) const
{
    const int minVersion = expectedVersion().value_or(0);
    std::optional<core::TimePoint> earliest;
    for (const auto &[id, endpoint] : m_context.watch.endpoints()) {
        if (!isUsable(endpoint, minVersion, now))
            continue;
        const core::TimePoint end = m_context.pool.backoffEnd(endpoint);
        if (end <= now)
            return std::nullopt;
        earliest = std::min(earliest.value_or(end), end);
    }
    return earliest;
}

std::optional<decisions::EndpointOption> EndpointFinder::optionFor(const fleet::Endpoint &endpoint,
                                                                   int minVersion,
                                                                   core::TimePoint now) const
{
    if (m_context.pool.backoffEnd(endpoint) > now || !isUsable(endpoint, minVersion, now))
        return std::nullopt;
    const bool wasTried = m_tried.contains(endpoint.id);
    if (wasTried && now < m_retryTriedAt)
        return std::nullopt;
    EndpointPool &pool = m_context.pool;
    decisions::EndpointOption option;
    option.endpoint = endpoint.id;
    option.slots = endpoint.slots;
    option.ownLoad = pool.load(endpoint.id, endpoint.slots);
    option.load = option.ownLoad + pool.otherDaemonsLoad(endpoint.id);
    option.pendingPrefillTokens = pool.pendingPrefillTokens(endpoint.id);
    option.isEjected = pool.health(endpoint.id).isEjected(now);
    option.wasTried = wasTried;
    option.distance = distanceTo(endpoint.domain);
    option.domain = &endpoint.domain;
    option.isConnected = pool.hasIdleConnection(endpoint.id);
    option.needsPermit = !m_context.limits.hasPermit(endpoint);
    option.mustNotRefuse = m_context.refusalLimits.limitOf(endpoint.service, now).has_value();
    if (option.mustNotRefuse && pool.inProgress(endpoint.id) >= mostInProgress(endpoint, now))
        option.load = std::max<double>(option.load, endpoint.slots);
    return option;
}

int EndpointFinder::mostInProgress(const fleet::Endpoint &endpoint, core::TimePoint now) const
{
    const decisions::RefusalLimits &limits = m_context.refusalLimits;
    const core::Duration interval
        = limits.refusalInterval(endpoint.service, m_context.daemonCount, now);
    return limits.maxInProgress(endpoint.id, m_context.pool.inProgress(endpoint.id), interval, now)
        .value_or(endpoint.slots);
}

std::vector<decisions::EndpointOption> EndpointFinder::options(core::TimePoint now) const
{
    // Computed once, because each waiting request checks all endpoints fifty times a second.
    const int minVersion = expectedVersion().value_or(0);
    std::vector<decisions::EndpointOption> options;
    for (const auto &[id, endpoint] : m_context.watch.endpoints()) {
        if (auto option = optionFor(endpoint, minVersion, now))
            options.push_back(*std::move(option));
    }
    // An adapter that only unreachable endpoints hold is loaded elsewhere, which takes less time
    // than their recovery.
    if (!m_fields.adapter.isEmpty() && m_context.isLoadingPossible())
        std::erase_if(options, [this, now](const decisions::EndpointOption &option) {
            return m_context.pool.health(option.endpoint).isUnreachable(now);
        });
    return options;
}

} // namespace jackdawlead::gateway
