#pragma once

#include "cluster.h"
#include "simendpoint.h"

#include "decisions/claimattempt.h"
#include "decisions/generationtracker.h"
#include "decisions/lease.h"
#include "decisions/ownership.h"
#include "decisions/retrystate.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jackdawlead::faults {

/// A request as a caller sends it.
struct CallerRequest
{
    core::RequestId id;
    core::AdapterVersion adapter; ///< Empty for work that must not repeat.
    std::string key;              ///< The idempotency key of work that must not repeat.
    core::TimePoint deadline;
    bool isCrashing = false;
    std::function<void(const Answer &)> answered;
};

/// One process: it connects the decision objects to the fakes in the way of the daemon's tasks.
class SimDaemon : public std::enable_shared_from_this<SimDaemon>
{
public:
    SimDaemon(Cluster &cluster, core::HostId id, int incarnation);

    void start();
    void kill();
    void pause(core::Duration duration);
    /// A planned stop.
    void stop();
    void accept(CallerRequest request);
    void fromPeer(const core::EndpointId &endpoint, Work work);

    const core::HostId &id() const { return m_id; }
    bool isAlive() const { return m_isAlive; }
    bool isAccepting() const { return m_isAlive && !m_isStopping; }
    bool isInFirstRegion() const { return m_id.value() != "d3"; }
    bool isReachable() const { return isInFirstRegion() || m_cluster.isLinked(); }
    core::Generation inForce() const { return m_inForce; }
    std::size_t runningCount() const;

private:
    struct Call
    {
        CallerRequest request;
        decisions::RetryState attempts;
        std::vector<core::EndpointId> order;
        std::size_t next = 0;
        int pieces = 0; ///< Runs of which the caller has bytes.
    };
    using CallPtr = std::shared_ptr<Call>;
    struct ClaimRun
    {
        CallPtr call;
        decisions::ClaimAttempt decisions;
        Stored object;
        bool isDispatched = false;
    };
    using ClaimRunPtr = std::shared_ptr<ClaimRun>;
    using EndpointPtr = std::shared_ptr<SimEndpoint>;

    std::function<void()> inProcess(std::function<void()> event);
    SimApi::Handler apiHandler(SimApi::Handler handler);
    void later(core::Duration delay, std::function<void()> event);
    void passes(Step step, SimEngine *engine = nullptr) { m_cluster.passes(step, *this, engine); }
    OwnerProcess ownerProcess();

    // Lease and ownership.
    bool hasLease() const;
    void renewAfter(core::Duration delay);
    void renew();
    void recordRenewal(const ApiReply &reply, core::TimePoint sentAt);
    void refreshRecords();
    void reconcile();
    void reconcile(const core::EndpointId &endpoint);
    bool hasExpired(const core::HostId &holder);
    std::vector<core::HostId> preferredOwners(const core::EndpointId &endpoint) const;
    void claimEndpoint(const core::EndpointId &endpoint, const decisions::OwnershipView &view,
                       core::FencingToken token);
    void publish();
    void tick();
    void waitForRuns();
    void release();
    void exited();

    // Configuration.
    void refreshConfig();
    void generationSeen(core::Generation generation);

    // Requests.
    void place(const CallPtr &call);
    void sendNext(const CallPtr &call);
    void forward(const core::HostId &owner, const core::EndpointId &endpoint, Work work);
    void ended(const CallPtr &call, const WorkEnd &end);
    void claim(const CallPtr &call);
    void carryOut(const ClaimRunPtr &run, const decisions::ClaimStep &step);
    void written(const ClaimRunPtr &run, const ApiReply &reply);
    void runService(const ClaimRunPtr &run);
    void serviceEnded(const ClaimRunPtr &run, core::Outcome outcome);
    void settleClaim(const ClaimRunPtr &run, decisions::ClaimState state,
                     std::function<void()> done);
    void refuse(const CallPtr &call, core::Outcome last, core::Duration retryAfter,
                const std::string &step, bool mayComeBack = true);
    void answer(const CallPtr &call, const Answer &answer);

    Cluster &m_cluster;
    core::HostId m_id;
    std::string m_process;
    bool m_isAlive = true;
    bool m_isStopping = false;
    core::TimePoint m_pausedUntil;
    decisions::LeaseHolder m_lease;
    bool m_hadLease = false;
    std::uint64_t m_leaseVersion = 0;
    int m_renewals = 0;
    std::map<core::EndpointId, Stored> m_records;
    std::set<core::EndpointId> m_claimed;
    std::set<core::EndpointId> m_pending;
    std::map<core::HostId, decisions::LeaseObserver> m_observers;
    std::map<core::HostId, std::pair<std::uint64_t, core::TimePoint>> m_firstSeen;
    std::set<core::HostId> m_gone;
    std::map<core::EndpointId, EndpointPtr> m_owned;
    std::vector<EndpointPtr> m_retiring;
    decisions::GenerationTracker m_gate;
    core::Generation m_inForce;
    std::map<core::RequestId, CallPtr> m_calls;
    std::map<core::RequestId, std::function<void(const WorkEnd &)>> m_foreign;
    std::map<core::EndpointId, int> m_outstanding;
};

} // namespace jackdawlead::faults
