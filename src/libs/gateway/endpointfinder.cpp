#include "gateway/endpointfinder.h"

#include <algorithm>
#include <utility>

namespace jackdawlead::gateway {

namespace {

// From then on an older version of an adapter is not used, to be inside the platform's bound also
// when it was learned late (0.45 of the bound at most) and after a wait in the endpoint's queue.
constexpr double versionGracePart = 0.45;
// What is known of other daemons' requests is half of the period of reports old on the way to the
// coordinator, as much on the way back, and as old as both ways take.
constexpr core::Duration wayOfLoads = std::chrono::milliseconds(50);

} // namespace

void EndpointFinder::recordRefusal(core::TimePoint now)
{
    m_triedAgainAt = now + m_refusedPause;
    m_refusedPause *= 2;
}

decisions::EndpointChoice EndpointFinder::choose(core::TimePoint now) const
{
    const std::vector<decisions::EndpointOption> candidates = options(now);
    // A request that waits for an adapter asks fifty times a second, mostly without any option.
    if (candidates.empty()) {
        const bool allRest = earliestBackoffEnd(now).has_value();
        return {std::nullopt,
                allRest ? decisions::NoEndpointReason::AllFull
                        : decisions::NoEndpointReason::NoCandidates};
    }
    return decisions::chooseEndpoint(candidates, m_context.uniformRandom(), unseenPerEndpoint(now));
}

double EndpointFinder::unseenPerEndpoint(core::TimePoint now) const
{
    const double otherDaemons = m_context.daemonCount - 1;
    const auto endpoints
        = std::ranges::count_if(m_context.watch.endpoints(), [this](const auto &entry) {
              return entry.second.service == m_service && !entry.second.isLeaving;
          });
    if (otherDaemons <= 0 || endpoints == 0)
        return 0;
    const double rate = m_context.budgets[m_service].requestRate(now) * otherDaemons;
    const core::Duration age = m_context.reportPeriod + wayOfLoads;
    return rate * core::toSeconds(age) / static_cast<double>(endpoints);
}

std::optional<int> EndpointFinder::expectedVersion(core::TimePoint now) const
{
    if (m_fields.adapter.isEmpty())
        return std::nullopt;
    const auto newest = m_context.watch.newestVersion({m_fields.model, m_fields.adapter});
    if (!newest)
        return std::nullopt;
    const auto grace = core::scaled(m_context.settings.bounds.version, versionGracePart);
    if (now - newest->learnedAt < grace)
        return std::nullopt;
    return newest->version;
}

bool EndpointFinder::holdsWanted(const fleet::Endpoint &endpoint, int leastVersion,
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
    return held && *held >= leastVersion;
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

bool EndpointFinder::isUsable(const fleet::Endpoint &endpoint, int leastVersion,
                              core::TimePoint now) const
{
    return endpoint.service == m_service && !endpoint.isLeaving
        && holdsWanted(endpoint, leastVersion, now);
}

std::optional<core::TimePoint> EndpointFinder::earliestBackoffEnd(core::TimePoint now) const
{
    const int leastVersion = expectedVersion(now).value_or(0);
    std::optional<core::TimePoint> first;
    for (const auto &[id, endpoint] : m_context.watch.endpoints()) {
        if (!isUsable(endpoint, leastVersion, now))
            continue;
        const core::TimePoint end = m_context.pool.backoffEnd(endpoint);
        if (end <= now)
            return std::nullopt;
        first = std::min(first.value_or(end), end);
    }
    return first;
}

std::optional<decisions::EndpointOption> EndpointFinder::optionFor(const fleet::Endpoint &endpoint,
                                                                   int leastVersion,
                                                                   core::TimePoint now) const
{
    if (m_context.pool.backoffEnd(endpoint) > now || !isUsable(endpoint, leastVersion, now))
        return std::nullopt;
    const bool wasTried = m_tried.contains(endpoint.id);
    if (wasTried && now < m_triedAgainAt)
        return std::nullopt;
    EndpointPool &pool = m_context.pool;
    decisions::EndpointOption option;
    option.endpoint = endpoint.id;
    option.slots = endpoint.slots;
    option.load = pool.load(endpoint.id, endpoint.slots) + pool.otherDaemonsLoad(endpoint.id);
    option.pendingPrefillTokens = pool.pendingPrefillTokens(endpoint.id);
    option.isEjected = pool.health(endpoint.id).isEjected(now);
    option.wasTried = wasTried;
    option.distance = distanceTo(endpoint.domain);
    option.isConnected = pool.hasIdleConnection(endpoint.id);
    return option;
}

std::vector<decisions::EndpointOption> EndpointFinder::options(core::TimePoint now) const
{
    // Asked for once, since each waiting request looks at all endpoints fifty times a second.
    const int leastVersion = expectedVersion(now).value_or(0);
    std::vector<decisions::EndpointOption> options;
    for (const auto &[id, endpoint] : m_context.watch.endpoints()) {
        if (auto option = optionFor(endpoint, leastVersion, now))
            options.push_back(*std::move(option));
    }
    // What only unreachable endpoints hold is loaded elsewhere, which takes less time than they do.
    if (!m_fields.adapter.isEmpty() && m_context.isLoadingPossible())
        std::erase_if(options, [this, now](const decisions::EndpointOption &option) {
            return m_context.pool.health(option.endpoint).isUnreachable(now);
        });
    return options;
}

} // namespace jackdawlead::gateway
