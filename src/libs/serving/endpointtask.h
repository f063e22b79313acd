#pragma once

#include "decisions/endpointscheduler.h"
#include "serving/answercheck.h"
#include "serving/context.h"
#include "serving/crashwatch.h"
#include "serving/enginereport.h"
#include "serving/fleetview.h"
#include "serving/leasetask.h"
#include "serving/loadbudgettask.h"
#include "serving/outagetask.h"
#include "serving/replysink.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jackdawlead::serving {

/// A request for one engine endpoint, in the shape in which its owner runs it.
struct EndpointRequest
{
    core::RequestId id;
    core::CustomerId customer;
    core::AdapterVersion adapter;
    std::string weightSource;
    std::string path;
    std::string body;
    bool isStream = false;
    core::TimePoint deadline;
    ReplySink sink;
};

/// Runs one engine endpoint that this daemon owns: its adapter slots, its queue, its orders and its
/// requests. It is the only place from which the endpoint is told to load or evict while the lease
/// is valid. Thread safety: the loop's thread only.
class EndpointTask
{
public:
    struct Target
    {
        core::EndpointId endpoint;
        net::Address address;
        core::FencingToken token;
        std::size_t slots = 0;
        bool needsCredential = false;
        double stallWeight = 0.5; ///< Of the pool.
    };

    EndpointTask(Context &context, LeaseTask &lease, OutageTask &outage, QuarantineTask &quarantine,
                 LoadBudgetTask &budget, Target target);
    ~EndpointTask();
    EndpointTask(const EndpointTask &) = delete;
    EndpointTask &operator=(const EndpointTask &) = delete;

    /// Reads what the endpoint holds and then starts to serve.
    void start();
    /// Queues a request. Its sink is always ended, unless the request is cancelled.
    void submit(EndpointRequest request);
    /// Drops a request whose caller has gone; its sink is not called any more.
    void cancel(const core::RequestId &id);
    /// Refuses what is queued; what is running goes on.
    void drain();
    /// A leaving endpoint refuses what is queued and gets no new work.
    void setLeaving(bool isLeaving);
    std::size_t runningCount() const { return m_scheduler.runningCount(); }
    std::size_t queuedCount() const { return m_scheduler.queuedCount(); }

private:
    struct Run
    {
        EndpointRequest request;
        core::TimePoint queuedAt;
        decisions::Fingerprint fingerprint;
        std::shared_ptr<void> inFlight; ///< Counts the run in the quarantine while it is held.
        std::optional<AnswerCheck> check;
        int status = 0;
        net::Headers headers;
        bool isHeadSent = false;
        std::string errorBody;
        net::HttpCall call;
    };
    using RunPtr = std::shared_ptr<Run>;

    void readAdapters();
    void poll();
    void reported(const EngineReport &report);
    void carryOut(const decisions::SchedulerCommands &commands);
    void carryOut(const decisions::LoadAdapter &command);
    void loadGranted(LoadBudgetTask::Ticket ticket, const core::AdapterVersion &adapter);
    void releaseTicket(LoadBudgetTask::Ticket ticket);
    void carryOut(const decisions::EvictAdapter &command);
    void carryOut(const decisions::DispatchRequest &command);
    void carryOut(const decisions::RefuseRequest &command);
    void order(const std::string &path, const nlohmann::json &body,
               std::function<void(const absl::Status &)> done);
    void refuse(const RunPtr &run, std::string_view reason, core::Duration retryAfter);
    void headReceived(const RunPtr &run, int status, const net::Headers &headers);
    void dataReceived(const RunPtr &run, std::string_view data);
    void ended(const RunPtr &run, const absl::Status &status);
    void sendHead(const RunPtr &run);
    void connectionLost(const RunPtr &run, const absl::Status &status);
    std::vector<decisions::Fingerprint> inFlight() const;
    void fail(const RunPtr &run, const absl::Status &status);
    void release(const RunPtr &run);
    void cutRun(const core::RequestId &id, const core::AdapterVersion &adapter);
    net::Headers orderHeaders() const;
    std::string weightSourceOf(const core::AdapterVersion &adapter) const;

    Context &m_context;
    LeaseTask &m_lease;
    OutageTask &m_outage;
    QuarantineTask &m_quarantine;
    LoadBudgetTask &m_budget;
    Target m_target;
    CrashWatch m_crashes;
    decisions::EndpointScheduler m_scheduler;
    std::map<core::RequestId, RunPtr> m_runs;
    std::map<core::AdapterVersion, core::TimePoint> m_pinned;
    std::set<LoadBudgetTask::Ticket> m_tickets; ///< Of loads that wait or are in progress.
    std::string m_instance;
    bool m_isReady = false;
    bool m_isLeaving = false;
    bool m_isDraining = false;
    core::TimePoint m_startedAt;
    net::TimerService::Subscription m_settle;
    net::TimerService::Subscription m_poll;
    net::TimerService::Subscription m_tick;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace jackdawlead::serving
