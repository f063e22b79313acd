#include "serving/ownershiptask.h"

#include "core/error.h"
#include "decisions/ownership.h"
#include "decisions/placement.h"
#include "observability/log.h"

#include <algorithm>
#include <memory>

namespace jackdawlead::serving {

namespace {

constexpr core::Duration reconcilePeriod = std::chrono::seconds(1);

nlohmann::json specOf(const Ownership &ownership)
{
    return {{"holder", ownership.holder.value()}, {"token", ownership.token.value()}};
}

} // namespace

OwnershipTask::OwnershipTask(Context &context, LeaseTask &lease, OutageTask &outage,
                             Subscriber subscriber)
    : m_context(context)
    , m_lease(lease)
    , m_outage(outage)
    , m_subscriber(std::move(subscriber))
    , m_follower(context.objects, context.timers, objectapi::kinds::endpointOwners,
                 {[this](const auto &objects) { listed(objects); },
                  [this](const auto &type, const auto &object) { changed(type, object); },
                  [](const absl::Status &status) {
                      observability::logError(observability::LogLevel::Warn, status);
                  }})
{ }

void OwnershipTask::start()
{
    m_follower.start();
    m_timer = m_context.timers.every(reconcilePeriod, [this] { reconcile(); });
}

void OwnershipTask::fleetChanged(FleetTask::ViewPtr view)
{
    m_view = std::move(view);
}

void OwnershipTask::enginesChanged(std::set<core::PoolId> enginePools)
{
    m_enginePools = std::move(enginePools);
}

void OwnershipTask::listed(const std::vector<objectapi::Object> &objects)
{
    m_records.clear();
    for (const objectapi::Object &object : objects)
        recordSeen(object);
    m_isListed = true;
    publish();
    reconcile();
}

void OwnershipTask::changed(const std::string &type, const objectapi::Object &object)
{
    if (type == "DELETED")
        recordGone(object.name);
    else
        recordSeen(object);
    publish();
}

void OwnershipTask::resync()
{
    m_follower.resync();
}

void OwnershipTask::recordSeen(const objectapi::Object &object)
{
    if (!object.spec.contains("holder"))
        return;
    const Ownership ownership {core::HostId(object.spec.value("holder", std::string())),
                               core::FencingToken(object.spec.value("token", 0ULL))};
    const core::EndpointId endpoint(object.name);
    const auto known = m_records.find(endpoint);
    // The answer to an own write and the watch can arrive in either order.
    if (known != m_records.end() && known->second.ownership.token > ownership.token)
        return;
    m_records[endpoint] = {object.resourceVersion, ownership};
}

void OwnershipTask::recordGone(const std::string &name)
{
    m_records.erase(core::EndpointId(name));
}

void OwnershipTask::publish()
{
    OwnerMap owners;
    for (const auto &[endpoint, record] : m_records) {
        const bool isOwn = record.ownership.holder == m_context.settings.host;
        if (!isOwn || m_claimed.contains(endpoint))
            owners.emplace(endpoint, record.ownership);
    }
    m_owners = std::move(owners);
    const auto owned = std::ranges::count_if(m_owners, [this](const auto &entry) {
        return entry.second.holder == m_context.settings.host;
    });
    m_context.metrics.setOwnedEndpoints(static_cast<std::size_t>(owned));
    m_subscriber(m_owners);
}

void OwnershipTask::reconcile()
{
    if (!m_isListed || !m_view || m_isReleasing || !m_lease.isValid())
        return;
    for (const auto &[endpoint, entry] : m_view->endpoints)
        if (m_enginePools.contains(entry.pool) && entry.region == m_context.settings.region)
            reconcileEndpoint(endpoint);
}

std::vector<core::HostId> OwnershipTask::preferredOwners(const core::EndpointId &endpoint) const
{
    const auto target = m_view->endpoints.find(endpoint);
    struct Scored
    {
        bool isSameDomain;
        double score;
        core::HostId host;
    };
    std::vector<Scored> scored;
    scored.reserve(m_view->daemons.size());
    for (const auto &[host, entry] : m_view->daemons) {
        if (entry.isLeaving || entry.region != target->second.region)
            continue;
        scored.push_back({entry.failureDomain == target->second.failureDomain,
                          decisions::rendezvousScore(endpoint.value(), host.value(), 1.0), host});
    }
    std::ranges::sort(scored, [](const Scored &left, const Scored &right) {
        if (left.isSameDomain != right.isSameDomain)
            return left.isSameDomain;
        return left.score > right.score;
    });
    std::vector<core::HostId> hosts;
    hosts.reserve(scored.size());
    for (Scored &entry : scored)
        hosts.push_back(std::move(entry.host));
    return hosts;
}

void OwnershipTask::reconcileEndpoint(const core::EndpointId &endpoint)
{
    if (m_pending.contains(endpoint))
        return;
    std::vector<core::HostId> preferred = preferredOwners(endpoint);
    const auto record = m_records.find(endpoint);
    const Record *previous = record == m_records.end() ? nullptr : &record->second;
    decisions::OwnershipView view;
    view.self = m_context.settings.host;
    view.isClaimedHere = m_claimed.contains(endpoint);
    if (previous) {
        const core::HostId holder = previous->ownership.holder;
        view.record = {holder, previous->ownership.token};
        std::erase(preferred, holder);
        if (holder != view.self)
            m_claimed.erase(endpoint);
        if (!preferred.empty() && preferred.front() == view.self)
            view.hasHolderLeaseExpired = hasExpired(holder);
    }
    if (!preferred.empty())
        view.preferred = preferred.front();
    if (const auto token = decisions::tokenToClaim(view))
        claim(endpoint, previous, *token);
}

bool OwnershipTask::hasExpired(const core::HostId &holder)
{
    if (holder.isEmpty() || holder == m_context.settings.host)
        return false;
    observeLease(holder);
    const auto observer = m_observers.find(holder);
    return m_gone.contains(holder)
        || (observer->second.hasExpired(m_context.timers.now()) && m_outage.mayTakeOver());
}

void OwnershipTask::observeLease(const core::HostId &holder)
{
    // One read serves all endpoints of a holder.
    if (!m_observing.insert(holder).second)
        return;
    m_observers.try_emplace(holder, m_outage.takerLimits());
    m_context.objects.read(
        objectapi::kinds::hostLeases, holder.value(),
        [this, holder, sentAt = m_context.timers.now()](const auto &result) {
            m_observing.erase(holder);
            decisions::LeaseObserver &observer = m_observers.at(holder);
            m_gone.erase(holder);
            m_outage.apiAnswered(result.status(), sentAt);
            const bool mayObserve = m_outage.mayObserve();
            if (result.ok() && mayObserve)
                observer.observe(result->resourceVersion, sentAt, m_context.timers.now());
            else if (result.status().code() == absl::StatusCode::kNotFound)
                m_gone.insert(holder); // A lease is deleted only by its holder's planned stop.
            else
                observer.resetObservation();
        });
}

void OwnershipTask::claim(const core::EndpointId &endpoint, const Record *previous,
                          core::FencingToken token)
{
    m_pending.insert(endpoint);
    const Ownership ownership {m_context.settings.host, token};
    const auto handler
        = [this, endpoint, ownership](const absl::StatusOr<objectapi::Object> &result) {
              if (result.ok() || core::outcomeOf(result.status()) == core::Outcome::NotRun) {
                  claimEnded(endpoint, result);
                  return;
              }
              readBack(endpoint, ownership);
          };
    if (previous)
        m_context.objects.update(objectapi::kinds::endpointOwners,
                                 {endpoint.value(), previous->resourceVersion, specOf(ownership)},
                                 handler);
    else
        m_context.objects.create(objectapi::kinds::endpointOwners, endpoint.value(),
                                 specOf(ownership), handler);
}

// The write may have taken effect although its answer was lost. No other daemon writes this holder,
// so a record with the token that was sent is the one that was sent.
void OwnershipTask::readBack(const core::EndpointId &endpoint, const Ownership &ownership)
{
    m_context.objects.read(
        objectapi::kinds::endpointOwners, endpoint.value(),
        [this, endpoint, ownership](const absl::StatusOr<objectapi::Object> &result) {
            if (result.ok() && result->spec != specOf(ownership))
                claimEnded(endpoint,
                           core::makeError(absl::StatusCode::kAborted, "acquire", endpoint.value(),
                                           "the record was not written"));
            else
                claimEnded(endpoint, result);
        });
}

void OwnershipTask::claimEnded(const core::EndpointId &endpoint,
                               const absl::StatusOr<objectapi::Object> &result)
{
    m_pending.erase(endpoint);
    if (!result.ok()) {
        observability::logError(observability::LogLevel::Info, result.status());
        return;
    }
    observability::log(
        {.step = "acquire", .message = "endpoint acquired", .peer = endpoint.value()});
    m_claimed.insert(endpoint);
    recordSeen(*result);
    publish();
}

void OwnershipTask::leaseRegained()
{
    m_claimed.clear();
    publish();
}

void OwnershipTask::releaseAll(std::function<void()> done)
{
    m_isReleasing = true;
    auto remaining = std::make_shared<std::size_t>(1);
    const auto answered = [remaining, done = std::move(done)] {
        if (--*remaining == 0)
            done();
    };
    for (const auto &[endpoint, record] : m_records) {
        if (record.ownership.holder != m_context.settings.host)
            continue;
        ++*remaining;
        // The record stays, without a holder, so that the fencing token never falls.
        const Ownership released {core::HostId(), record.ownership.token};
        m_context.objects.update(objectapi::kinds::endpointOwners,
                                 {endpoint.value(), record.resourceVersion, specOf(released)},
                                 [answered](const auto &) { answered(); });
    }
    answered();
}

} // namespace jackdawlead::serving
