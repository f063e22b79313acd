#pragma once

#include "decisions/outagedetector.h"
#include "serving/context.h"
#include "serving/fleettask.h"
#include "serving/leasetask.h"
#include "serving/peertask.h"

#include <random>

namespace jackdawlead::serving {

/// Knows whether the object API answers the daemons of this region. It asks and tells others only
/// while someone needs to know: while the own lease has lapsed or the object API does not answer,
/// and for a few seconds after this daemon observes a lease or was asked by another.
///
/// States are only taken out of replies: one that is no older than the request that it answers
/// cannot have been held up on its way. Thread safety: the loop's thread only.
class OutageTask
{
public:
    OutageTask(Context &context, PeerTask &peers, LeaseTask &lease);

    void start();
    void fleetChanged(const FleetView &listed);
    /// Records how a call sent at `sentAt` to the object API ended.
    void apiAnswered(const absl::Status &status, core::TimePoint sentAt);
    /// Whether requests may be dispatched to resident adapters: the lease is valid, or outage mode
    /// has held without a gap since it lapsed. To be asked directly before each dispatch.
    bool mayDispatch();
    /// Whether the observation of another daemon's lease may go on. Starts to ask the others.
    bool mayObserve();
    /// Whether the object API was reachable for as long as a lease must be observed.
    bool mayTakeOver() const;
    /// The time for which a lease must be seen unchanged.
    decisions::LeaseLimits takerLimits() const;

private:
    nlohmann::json states() const;
    void tick();
    void checkApi();
    void pull();
    void take(const nlohmann::json &reply, core::TimePoint sentAt);

    Context &m_context;
    PeerTask &m_peers;
    LeaseTask &m_lease;
    decisions::OutageDetector m_mode;
    decisions::OutagePermit m_permit;
    std::optional<decisions::ApiState> m_own;
    core::TimePoint m_activeUntil;
    core::TimePoint m_nextCheck;
    core::TimePoint m_nextPull;
    std::mt19937 m_random;
    net::TimerService::Subscription m_tick;
};

} // namespace jackdawlead::serving
