#include "decisions/routing/domainoverflow.h"

#include <algorithm>
#include <cmath>

namespace jackdawlead::decisions::routing {

namespace {

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
                                            const DomainState &home) const
{
    core::Duration expected = m_parameters.initialFirstEvent;
    const auto speed = service.speeds.find(home.domain);
    if (speed != service.speeds.end() && speed->second.firstEvent)
        expected = *speed->second.firstEvent;
    if (domain.distance == home.distance)
        return expected;
    return expected
        + (domain.distance == Distance::SameRegion ? m_parameters.domainRoundTrip
                                                   : m_parameters.regionRoundTrip);
}

core::Duration DomainOverflow::baseTime(const Service &service, const DomainState &domain,
                                        const DomainState &home, core::TimePoint now) const
{
    const core::Duration expected = expectedBase(service, domain, home);
    const auto speed = service.speeds.find(domain.domain);
    if (speed == service.speeds.end() || !speed->second.firstEvent)
        return expected;
    // Old answers of a neighbour lose weight, so that one that was slow is tried again.
    const double weight = std::exp(-(now - speed->second.updatedAt)
                                   / std::chrono::duration<double>(m_parameters.slowTimeConstant));
    return expected + core::scaled(*speed->second.firstEvent - expected, weight);
}

core::Duration DomainOverflow::predictedFirstEvent(const Service &service,
                                                   const DomainState &domain,
                                                   const DomainState &home,
                                                   core::TimePoint now) const
{
    return baseTime(service, domain, home, now)
        + core::scaled(slotTime(service, domain.domain), std::max(0.0, domain.utilization() - 1));
}

double DomainOverflow::homeLoad(const DomainState &home, const OverflowRequest &request) const
{
    const double weight = freshness(request.age, m_parameters.freshAge);
    return weight * home.load + (1 - weight) * home.ownLoad * request.domainDaemons;
}

double DomainOverflow::freshness(const std::optional<core::Duration> &age, core::Duration freshAge)
{
    if (!age)
        return 0;
    return std::min(1.0, std::chrono::duration<double>(freshAge) / *age);
}

double DomainOverflow::availableSlots(const DomainState &domain, const OverflowRequest &request,
                                      double utilization, core::Duration freshAge) const
{
    const double ours = std::min(domain.load, domain.ownLoad * request.domainDaemons);
    const double weight = freshness(request.age, freshAge);
    const double known = domain.slots * utilization - (domain.load - ours);
    const double unknown = domain.slots * m_parameters.unknownFreeShare;
    return std::max(0.0, weight * known) + (1 - weight) * unknown;
}

std::vector<DomainOverflow::Candidate>
DomainOverflow::candidates(const Service &service, const std::vector<DomainState> &domains,
                           const DomainState &home, Distance distance, core::Duration latest,
                           const OverflowRequest &request, core::Duration target,
                           core::TimePoint now) const
{
    const double utilization = m_parameters.freeUtilization
        + m_parameters.neighbourQueue * std::max(0.0, home.utilization() - 1);
    std::vector<Candidate> candidates;
    for (const DomainState &domain : domains) {
        if (domain.distance != distance || domain.slots <= 0)
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
        const double rate = (1 - slow)
            * availableSlots(domain, request, utilization, m_parameters.freshNeighbourAge)
            / core::toSeconds(slotTime(service, domain.domain));
        if (rate > 0)
            candidates.push_back({&domain, firstEvent, rate});
    }
    return candidates;
}

double DomainOverflow::homeRate(const Service &service, const DomainState &home,
                                const OverflowRequest &request, core::TimePoint now) const
{
    const std::chrono::duration<double> timeConstant = m_parameters.rateTimeConstant;
    const double rate = service.sends * std::exp(-(now - service.sendsAt) / timeConstant)
        / timeConstant.count() * request.domainDaemons;
    return request.homeSlots > home.slots ? rate * home.slots / request.homeSlots : rate;
}

double DomainOverflow::leavingShare(Service &service, const DomainState &home,
                                    const OverflowRequest &request, double part,
                                    core::TimePoint now) const
{
    updateShortage(service, part > m_parameters.beginLeave, now);
    const double error = part - m_parameters.setPoint;
    const double elapsed = std::min(1.0, core::toSeconds(now - service.trimmedAt));
    service.trimmedAt = now;
    if (!service.isSendingAway || part < m_parameters.minLeave) {
        service.trim -= service.trim * m_parameters.trimPerSecond * elapsed;
        return 0;
    }
    const double weight = freshness(request.age, m_parameters.freshAge);
    service.trim = std::clamp(
        service.trim + m_parameters.trimPerSecond * weight * elapsed * std::clamp(error, -1.0, 1.0),
        -m_parameters.maxTrim, m_parameters.maxTrim);
    // What the domain serves of its own requests while its slots are busy, and the surplus.
    const double served = availableSlots(home, request, 1, m_parameters.freshNeighbourAge)
        / core::toSeconds(slotTime(service, home.domain));
    const double surplus = 1 - served / std::max(homeRate(service, home, request, now), 1e-9);
    const double share = std::clamp(
        std::max(0.0, surplus) + service.trim + m_parameters.gain * weight * error, 0.0, 1.0);
    return std::max(share,
                    ramp(part, m_parameters.firstLeaveAdapter, m_parameters.allLeaveAdapter));
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

// The nearest endpoints that could take the request count as its home: without a copy of the
// adapter in the domain these are those of the region.
DomainState DomainOverflow::nearestOf(const std::vector<DomainState> &domains)
{
    DomainState nearest;
    for (const DomainState &domain : domains) {
        if (domain.slots <= 0 || (nearest.slots > 0 && domain.distance > nearest.distance))
            continue;
        if (nearest.slots <= 0 || domain.distance < nearest.distance) {
            nearest = domain;
            continue;
        }
        nearest.slots += domain.slots;
        nearest.load += domain.load;
        nearest.ownLoad += domain.ownLoad;
    }
    return nearest;
}

OverflowDecision DomainOverflow::decide(const std::vector<DomainState> &domains,
                                        const OverflowRequest &request, double draw,
                                        core::TimePoint now)
{
    Service &service = m_services[request.service];
    DomainState home = nearestOf(domains);
    OverflowDecision decision;
    decision.distance = home.distance;
    if (home.distance != Distance::SameDomain)
        decision.reason = OverflowReason::NoCopy;
    if (home.slots <= 0)
        return decision;
    home.load = homeLoad(home, request);
    const core::Duration target
        = request.target > core::Duration::zero() ? request.target : m_parameters.defaultTarget;
    const core::Duration base = baseTime(service, home, home, now);
    decision.homeFirstEvent = predictedFirstEvent(service, home, home, now);
    decision.firstEvent = decision.homeFirstEvent;
    // A target that the domain never meets must not send everything away.
    const core::Duration left = target - request.waited;
    const core::Duration budget = std::max(left - base, core::scaled(target, 0.1));
    const double part = std::chrono::duration<double>(decision.homeFirstEvent - base) / budget;
    const double share = home.distance == Distance::SameDomain
        ? leavingShare(service, home, request, part, now)
        : ramp(part, m_parameters.firstLeaveRegion, m_parameters.allLeaveRegion);
    decision.leavingShare = share;
    const core::Duration latest = latestUseful(decision.homeFirstEvent, left, target);
    chooseNeighbour(decision, service, domains, home, request, {draw, share, part, latest, target},
                    now);
    if (decision.domain) {
        // One request finds out whether a domain that failed answers again.
        const auto speed = service.speeds.find(*decision.domain);
        if (speed != service.speeds.end() && speed->second.hasFailed)
            speed->second.failedAt = now;
    }
    return decision;
}

void DomainOverflow::chooseNeighbour(OverflowDecision &decision, const Service &service,
                                     const std::vector<DomainState> &domains,
                                     const DomainState &home, const OverflowRequest &request,
                                     Leaving leaving, core::TimePoint now) const
{
    const double rate = std::max(homeRate(service, home, request, now), 1e-9);
    // Old loads say little about a need that is worth four times the price.
    const double regionShare = freshness(request.age, m_parameters.freshAge)
        * std::min(leaving.share,
                   ramp(leaving.part, m_parameters.firstLeaveRegion, m_parameters.allLeaveRegion));
    bool isAnyUseful = false;
    double remaining = leaving.share;
    for (const Distance distance : {Distance::SameRegion, Distance::OtherRegion}) {
        if (distance <= home.distance)
            continue;
        // Computed only for requests that leave, or may have no choice.
        if (leaving.draw >= remaining && leaving.part < 1)
            return;
        const auto near = candidates(service, domains, home, distance, leaving.latest, request,
                                     leaving.target, now);
        isAnyUseful = isAnyUseful || !near.empty();
        double possible = 0;
        for (const Candidate &candidate : near)
            possible += candidate.rate;
        const double limit = distance == Distance::SameRegion ? leaving.share : regionShare;
        const double taken = std::min({remaining, limit, possible / rate});
        if (leaving.draw < taken) {
            const Candidate &chosen = drawCandidate(near, leaving.draw / taken * possible);
            decision.domain = chosen.state->domain;
            decision.distance = distance;
            decision.firstEvent = chosen.firstEvent;
            if (decision.reason == OverflowReason::None)
                decision.reason = OverflowReason::Shortage;
            return;
        }
        leaving.draw -= taken;
        remaining -= taken;
    }
    decision.excludesFarther = !isAnyUseful && leaving.part >= 1;
}

const DomainOverflow::Candidate &
DomainOverflow::drawCandidate(const std::vector<Candidate> &candidates, double rate)
{
    for (const Candidate &candidate : candidates) {
        rate -= candidate.rate;
        if (rate < 0)
            return candidate;
    }
    return candidates.back();
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

void DomainOverflow::recordEnd(const core::ServiceId &service, const core::FailureDomainId &domain,
                               core::Duration duration)
{
    Speed &speed = m_services[service].speeds[domain];
    if (!speed.slotTime)
        speed.slotTime = m_parameters.initialSlotTime;
    *speed.slotTime += core::scaled(duration - *speed.slotTime, m_parameters.smoothingFactor);
}

// The answer takes its slot from the end of the wait to its own end.
void DomainOverflow::recordAnswer(const core::ServiceId &service,
                                  const core::FailureDomainId &domain, core::Duration delay,
                                  double utilization, core::TimePoint now)
{
    const core::Duration wait
        = core::scaled(slotTime(m_services[service], domain), std::max(0.0, utilization - 1));
    recordFirstEvent(service, domain, delay, utilization, now);
    recordEnd(service, domain, std::max(core::Duration::zero(), delay - wait));
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

} // namespace jackdawlead::decisions::routing
