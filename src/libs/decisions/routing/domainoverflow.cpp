#include "decisions/routing/domainoverflow.h"

#include <algorithm>
#include <cmath>

namespace jackdawlead::decisions {

namespace {

constexpr double daemonSmoothing = 0.02;

double ramp(double value, double first, double last)
{
    return std::clamp((value - first) / (last - first), 0.0, 1.0);
}

} // namespace

core::Duration DomainOverflow::slotTime(const Service &service,
                                        const core::FailureDomainId &domain) const
{
    const auto speed = service.speeds.find(domain);
    if (speed == service.speeds.end() || !speed->second.slotTime)
        return m_parameters.initialSlotTime;
    return *speed->second.slotTime;
}

core::Duration DomainOverflow::expectedBase(const Service &service, const DomainState &domain,
                                            const DomainState *home) const
{
    core::Duration expected = m_parameters.initialFirstEvent;
    if (home != nullptr) {
        const auto speed = service.speeds.find(home->domain);
        if (speed != service.speeds.end() && speed->second.firstEvent)
            expected = *speed->second.firstEvent;
    }
    if (domain.distance == Distance::SameRegion)
        expected += m_parameters.domainRoundTrip;
    else if (domain.distance == Distance::OtherRegion)
        expected += m_parameters.regionRoundTrip;
    return expected;
}

core::Duration DomainOverflow::baseTime(const Service &service, const DomainState &domain,
                                        const DomainState *home, core::TimePoint now) const
{
    const core::Duration expected = expectedBase(service, domain, home);
    const auto speed = service.speeds.find(domain.domain);
    if (speed == service.speeds.end() || !speed->second.firstEvent)
        return expected;
    // Old answers of a neighbour lose weight, so that one that was slow is tried again.
    const double weight = std::exp(-(now - speed->second.updatedAt)
                                   / std::chrono::duration<double>(m_parameters.retryTime));
    return expected + core::scaled(*speed->second.firstEvent - expected, weight);
}

core::Duration DomainOverflow::predictedFirstEvent(const Service &service,
                                                   const DomainState &domain,
                                                   const DomainState *home,
                                                   core::TimePoint now) const
{
    return baseTime(service, domain, home, now)
        + core::scaled(slotTime(service, domain.domain), std::max(0.0, domain.utilization() - 1));
}

double DomainOverflow::homeLoad(const Service &service, const DomainState &home,
                                const std::optional<core::Duration> &age) const
{
    const double weight = freshness(age);
    return weight * home.load + (1 - weight) * home.ownLoad * service.daemons;
}

double DomainOverflow::freshness(const std::optional<core::Duration> &age) const
{
    if (!age)
        return 0;
    return std::min(1.0, std::chrono::duration<double>(m_parameters.freshAge) / *age);
}

double DomainOverflow::availableSlots(const Service &service, const DomainState &domain,
                                      const std::optional<core::Duration> &age) const
{
    const double ours = std::min(domain.load, domain.ownLoad * service.daemons);
    const double weight = freshness(age);
    const double known = domain.slots * m_parameters.freeUtilization - (domain.load - ours);
    const double unknown = domain.slots * m_parameters.unknownFreeShare;
    return std::max(0.0, weight * known) + (1 - weight) * unknown;
}

std::vector<DomainOverflow::Candidate>
DomainOverflow::candidates(const Service &service, const std::vector<DomainState> &domains,
                           const DomainState *home, Distance distance, core::Duration latest,
                           const OverflowRequest &request, core::Duration target,
                           core::TimePoint now) const
{
    std::vector<Candidate> candidates;
    for (const DomainState &domain : domains) {
        if (domain.distance != distance || &domain == home || domain.slots <= 0)
            continue;
        const auto speed = service.speeds.find(domain.domain);
        if (speed != service.speeds.end() && speed->second.hasFailed
            && now - speed->second.failedAt < m_parameters.retryTime)
            continue;
        const core::Duration firstEvent = predictedFirstEvent(service, domain, home, now);
        if (firstEvent >= latest)
            continue;
        const core::Duration added
            = baseTime(service, domain, home, now) - expectedBase(service, domain, home);
        const double slow = ramp(std::chrono::duration<double>(added) / target,
                                 m_parameters.firstSlow, m_parameters.allSlow);
        const double rate = (1 - slow) * availableSlots(service, domain, request.age)
            / core::toSeconds(slotTime(service, domain.domain));
        if (rate > 0)
            candidates.push_back({&domain, firstEvent, rate});
    }
    return candidates;
}

double DomainOverflow::domainRate(const Service &service, core::TimePoint now) const
{
    const std::chrono::duration<double> timeConstant = m_parameters.rateTimeConstant;
    return service.sends * std::exp(-(now - service.sendsAt) / timeConstant) / timeConstant.count()
        * service.daemons;
}

core::Duration DomainOverflow::latestUseful(core::Duration homeFirstEvent, core::Duration left,
                                            core::Duration target) const
{
    if (homeFirstEvent <= left)
        return homeFirstEvent;
    // Answers later than twice the target are worth nothing wherever they come from.
    return std::min(homeFirstEvent, left + target) - core::scaled(target, m_parameters.minGain);
}

void DomainOverflow::updateShortage(Service &service, bool isShort, core::TimePoint now) const
{
    if (isShort) {
        service.isSendingAway = true;
        service.lastShortageAt = now;
    } else if (now - service.lastShortageAt >= m_parameters.endDelay) {
        service.isSendingAway = false;
    }
}

OverflowDecision DomainOverflow::decide(const std::vector<DomainState> &domains,
                                        const OverflowRequest &request, double draw,
                                        core::TimePoint now)
{
    Service &service = m_services[request.service];
    const auto found = std::ranges::find_if(domains, [](const DomainState &domain) {
        return domain.distance == Distance::SameDomain && domain.slots > 0;
    });
    const DomainState *home = found == domains.end() ? nullptr : &*found;
    const core::Duration target = request.target > core::Duration::zero()
        ? request.target
        : m_parameters.defaultTarget;
    OverflowDecision decision;
    double share = 1;
    double regionShare = 1;
    core::Duration latest = core::Duration::max();
    if (home != nullptr) {
        if (home->ownLoad >= 1 && freshness(request.age) >= 1)
            service.daemons += daemonSmoothing * (home->load / home->ownLoad - service.daemons);
        const core::Duration base = baseTime(service, *home, home, now);
        DomainState estimated = *home;
        estimated.load = homeLoad(service, *home, request.age);
        decision.homeFirstEvent = predictedFirstEvent(service, estimated, home, now);
        // A target that the domain never meets must not send everything away.
        const core::Duration left = target - request.waited;
        const core::Duration budget = std::max(left - base, core::scaled(target, 0.1));
        const double part = std::chrono::duration<double>(decision.homeFirstEvent - base) / budget;
        updateShortage(service, part > m_parameters.beginLeave, now);
        share = service.isSendingAway
            ? ramp(part, m_parameters.firstLeave, m_parameters.allLeave)
            : 0;
        regionShare = service.isSendingAway
            ? ramp(part, m_parameters.firstLeaveRegion, m_parameters.allLeaveRegion)
            : 0;
        latest = latestUseful(decision.homeFirstEvent, left, target);
        decision.domain = home->domain;
        decision.firstEvent = decision.homeFirstEvent;
    }
    decision.leavingShare = share;
    if (draw >= share)
        return decision;
    const double rate = std::max(domainRate(service, now), 1e-9);
    double remaining = share;
    for (const Distance distance : {Distance::SameRegion, Distance::OtherRegion}) {
        const auto near
            = candidates(service, domains, home, distance, latest, request, target, now);
        double possible = 0;
        for (const Candidate &candidate : near)
            possible += candidate.rate;
        const double limit = distance == Distance::SameRegion ? share : regionShare;
        const double taken = std::min({remaining, limit, possible / rate});
        if (draw < taken) {
            double rest = draw / taken * possible;
            for (const Candidate &candidate : near) {
                rest -= candidate.rate;
                if (rest >= 0 && &candidate != &near.back())
                    continue;
                decision.domain = candidate.state->domain;
                decision.distance = distance;
                decision.firstEvent = candidate.firstEvent;
                decision.reason
                    = home == nullptr ? OverflowReason::NoCopy : OverflowReason::Shortage;
                return decision;
            }
        }
        draw -= taken;
        remaining -= taken;
    }
    return decision;
}

double DomainOverflow::weightOf(const Speed &speed, core::TimePoint now) const
{
    const std::chrono::duration<double> timeConstant = m_parameters.speedTimeConstant;
    return std::max(m_parameters.smoothingFactor,
                    1 - std::exp(-(now - speed.updatedAt) / timeConstant));
}

void DomainOverflow::recordSend(const core::ServiceId &service, core::TimePoint now)
{
    Service &state = m_services[service];
    const std::chrono::duration<double> timeConstant = m_parameters.rateTimeConstant;
    state.sends = state.sends * std::exp(-(now - state.sendsAt) / timeConstant) + 1;
    state.sendsAt = now;
}

void DomainOverflow::recordFirstEvent(const core::ServiceId &service,
                                      const core::FailureDomainId &domain, core::Duration delay,
                                      double utilization, core::TimePoint now)
{
    Service &state = m_services[service];
    Speed &speed = state.speeds[domain];
    const core::Duration wait
        = core::scaled(slotTime(state, domain), std::max(0.0, utilization - 1));
    const core::Duration base = std::max(core::Duration::zero(), delay - wait);
    if (!speed.firstEvent)
        speed.firstEvent = base;
    else
        *speed.firstEvent += core::scaled(base - *speed.firstEvent, weightOf(speed, now));
    speed.updatedAt = now;
    speed.hasFailed = false;
}

void DomainOverflow::recordEnd(const core::ServiceId &service,
                               const core::FailureDomainId &domain, core::Duration duration)
{
    Speed &speed = m_services[service].speeds[domain];
    if (!speed.slotTime)
        speed.slotTime = m_parameters.initialSlotTime;
    *speed.slotTime += core::scaled(duration - *speed.slotTime, m_parameters.smoothingFactor);
}

void DomainOverflow::recordFailure(const core::ServiceId &service,
                                   const core::FailureDomainId &domain, core::TimePoint now)
{
    Speed &speed = m_services[service].speeds[domain];
    speed.failedAt = now;
    speed.hasFailed = true;
}

bool DomainOverflow::isSendingAway(const core::ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.isSendingAway;
}

} // namespace jackdawlead::decisions
