#pragma once

#include "decisions/routing/domainstate.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace jackdawlead::decisions::routing {

struct DomainOverflowParameters
{
    /// Part of the time until the target that requests wait in their domain while some of them
    /// leave it. A queue in front of the slots keeps the domain busy; the distance to 1 covers
    /// differences between its endpoints.
    double setPoint = 0.4;
    /// Change of the leaving share for a wait that is off by the whole part. Higher values make
    /// the share swing, because a change shows in the loads only half a second later.
    double gain = 0.5;
    /// Change of the share in a second for the same, which corrects errors of the rates.
    double trimPerSecond = 0.15;
    double maxTrim = 0.5;
    /// Waits from which requests leave the region, whose traffic costs four times as much, and at
    /// which all may.
    double firstLeaveRegion = 0.5;
    double allLeaveRegion = 0.95;
    /// Waits from which requests leave even if the domain as a whole is not short, because the
    /// endpoints with their adapter are.
    double firstLeaveAdapter = 0.9;
    double allLeaveAdapter = 1.5;
    /// While nothing was sent away lately, requests leave only from this part on: a burst that ends
    /// within a few report periods is served by the queue, without traffic between domains.
    double beginLeave = 0.35;
    /// Below this part nothing leaves, so that no slot of the domain stays idle meanwhile.
    double minLeave = 0.05;
    /// Time without requests that had to leave after which a shortage counts as ended.
    core::Duration endDelay = std::chrono::seconds(3);
    /// Utilization up to which a neighbour's slots count as free. With 0.95 nothing went to the
    /// neighbours of a full region, and its link to the other one was filled.
    double freeUtilization = 1.0;
    /// Part of the queue in this domain that may also form in front of a neighbour's slots. With
    /// 0.8 neighbours that were nearly full passed requests on among each other.
    double neighbourQueue = 0.4;
    /// Share of the slots of a domain with unknown loads that may be free.
    double unknownFreeShare = 0.05;
    /// Age from which the loads of other daemons say less the older they get: a report period of
    /// 750 ms, its propagation, and a lost report.
    core::Duration freshAge = std::chrono::milliseconds(1600);
    /// The same for neighbours: what this domain sends there is always known, and the demand of
    /// their own clients changes slowly.
    core::Duration freshNeighbourAge = std::chrono::seconds(4);
    /// Target of routes that state none.
    core::Duration defaultTarget = std::chrono::seconds(1);
    /// Initial time of a request in a slot, and of a first event, until answers show them.
    core::Duration initialSlotTime = std::chrono::milliseconds(1800);
    core::Duration initialFirstEvent = std::chrono::milliseconds(100);
    core::Duration domainRoundTrip = std::chrono::microseconds(2800);
    core::Duration regionRoundTrip = std::chrono::milliseconds(60);
    double smoothingFactor = 0.1; ///< Weight of the latest answer.
    /// Time constant in which answers replace older ones, if few arrive.
    core::Duration speedTimeConstant = std::chrono::seconds(1);
    /// Additional time to a neighbour's first events, as a part of the target, from which less is
    /// sent to it, and from which nothing is: a narrow link or slow endpoints.
    double firstSlow = 0.1;
    double allSlow = 0.3;
    /// Gain, as a part of the target, for which a request that is late anyway leaves its domain.
    double minGain = 0.15;
    /// Time after which a request finds out whether a domain that failed answers again.
    core::Duration retryTime = std::chrono::seconds(2);
    /// Time constant in which a neighbour that was slow counts as ordinary again without answers.
    core::Duration slowTimeConstant = std::chrono::seconds(4);
    core::Duration rateTimeConstant = std::chrono::seconds(4);
};

/// Decides whether a request leaves its failure domain, then its region, and for which domain.
/// All daemons of a domain see the same shortage. Each lets only the share of its requests leave
/// that exceeds what the domain serves in time, and divides them among the neighbours by their free
/// slots, so that the daemons together do what one that saw all requests would. Thread safety: one
/// thread at a time.
class DomainOverflow
{
public:
    explicit DomainOverflow(DomainOverflowParameters parameters = {})
        : m_parameters(parameters)
    { }

    /// Chooses the domain for a request among those with endpoints that could take it. `draw` is
    /// uniform in [0, 1) and the same for each choice of one request: a waiting request is chosen
    /// for again fifty times a second. Precondition: at most one domain has Distance::SameDomain.
    OverflowDecision decide(const std::vector<DomainState> &domains, const OverflowRequest &request,
                            double draw, core::TimePoint now);
    /// Records a first send of a request.
    void recordSend(const core::ServiceId &service, core::TimePoint now);
    /// Records a first event that arrived `delay` after the send to an endpoint that was utilized
    /// this much by then.
    void recordFirstEvent(const core::ServiceId &service, const core::FailureDomainId &domain,
                          core::Duration delay, double utilization, core::TimePoint now);
    /// Records that an answer ended this long after its first event.
    void recordEnd(const core::ServiceId &service, const core::FailureDomainId &domain,
                   core::Duration duration);
    /// Records an answer that came as a whole, like recordFirstEvent().
    void recordAnswer(const core::ServiceId &service, const core::FailureDomainId &domain,
                      core::Duration delay, double utilization, core::TimePoint now);
    /// Records a send to the domain without an answer.
    void recordFailure(const core::ServiceId &service, const core::FailureDomainId &domain,
                       core::TimePoint now);
    /// Whether the daemon sends requests of the service away because of a shortage.
    bool isSendingAway(const core::ServiceId &service) const;

private:
    /// What answers showed of one service in one domain.
    struct Speed
    {
        std::optional<core::Duration> firstEvent; ///< Without the wait for a slot.
        std::optional<core::Duration> slotTime;
        core::TimePoint updatedAt;
        core::TimePoint failedAt;
        bool hasFailed = false; ///< No answer came since failedAt.
    };
    struct Service
    {
        std::map<core::FailureDomainId, Speed> speeds;
        double sends = 0; ///< First sends; decays exponentially.
        core::TimePoint sendsAt;
        double trim = 0; ///< Added to the leaving share.
        core::TimePoint trimmedAt;
        bool isSendingAway = false;
        core::TimePoint lastShortageAt;
    };
    /// A domain that could take a request.
    struct Candidate
    {
        const DomainState *state = nullptr;
        core::Duration firstEvent {}; ///< Predicted, from the send.
        double rate = 0;              ///< Requests per second that it can take from this domain.
    };
    /// How a request is to leave its domain.
    struct Leaving
    {
        double draw = 0;
        double share = 0;         ///< Of the requests that leave.
        double part = 0;          ///< Of the time until the target that it would wait at home.
        core::Duration latest {}; ///< First event elsewhere that is worth the traffic.
        core::Duration target {};
    };

    static DomainState nearestOf(const std::vector<DomainState> &domains);
    /// Precondition: there are candidates.
    static const Candidate &drawCandidate(const std::vector<Candidate> &candidates, double rate);
    void chooseNeighbour(OverflowDecision &decision, const Service &service,
                         const std::vector<DomainState> &domains, const DomainState &home,
                         const OverflowRequest &request, Leaving leaving,
                         core::TimePoint now) const;

    core::Duration slotTime(const Service &service, const core::FailureDomainId &domain) const;
    static double freshness(const std::optional<core::Duration> &age, core::Duration freshAge);
    /// Weight of an answer that arrives now.
    double weightOf(const Speed &speed, core::TimePoint now) const;
    /// Time to the first event if the domain's endpoints are as fast as the home domain's.
    core::Duration expectedBase(const Service &service, const DomainState &domain,
                                const DomainState &home) const;
    /// Predicted time from the send to the first event without a wait for a slot.
    core::Duration baseTime(const Service &service, const DomainState &domain,
                            const DomainState &home, core::TimePoint now) const;
    core::Duration predictedFirstEvent(const Service &service, const DomainState &domain,
                                       const DomainState &home, core::TimePoint now) const;
    /// Load of the home domain; while the loads of others are old, estimated from this daemon's.
    double homeLoad(const DomainState &home, const OverflowRequest &request) const;
    /// Slots that this domain's requests may occupy in a neighbour, with those that they do.
    double availableSlots(const DomainState &domain, const OverflowRequest &request,
                          double utilization, core::Duration freshAge) const;
    /// The neighbours at this distance with a first event before `latest`.
    std::vector<Candidate> candidates(const Service &service,
                                      const std::vector<DomainState> &domains,
                                      const DomainState &home, Distance distance,
                                      core::Duration latest, const OverflowRequest &request,
                                      core::Duration target, core::TimePoint now) const;
    /// Requests per second of all daemons of the domain for the home endpoints.
    double homeRate(const Service &service, const DomainState &home, const OverflowRequest &request,
                    core::TimePoint now) const;
    /// The time from the send by which a first event elsewhere is worth leaving the domain.
    core::Duration latestUseful(core::Duration homeFirstEvent, core::Duration left,
                                core::Duration target) const;
    /// The share of requests that leave, if those that stay wait for this part of their time.
    double leavingShare(Service &service, const DomainState &home, const OverflowRequest &request,
                        double part, core::TimePoint now) const;
    void updateShortage(Service &service, bool isShort, core::TimePoint now) const;

    DomainOverflowParameters m_parameters;
    std::map<core::ServiceId, Service> m_services;
};

} // namespace jackdawlead::decisions::routing
