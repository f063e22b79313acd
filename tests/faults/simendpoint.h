#pragma once

#include "plan.h"
#include "simengine.h"
#include "virtualtime.h"

#include "decisions/endpointscheduler.h"
#include "serving/answercheck.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace jackdawlead::faults {

/// How an attempt at an endpoint ended.
struct WorkEnd
{
    core::Outcome outcome = core::Outcome::Unknown;
    core::RequestId forRequest;
    core::AdapterVersion servedBy;
    core::Duration retryAfter {};
    std::string step;
    bool isStarted = false; ///< The caller has bytes of the answer.
};

/// A request at the owner of an endpoint.
struct Work
{
    core::RequestId request;
    core::AdapterVersion adapter;
    core::TimePoint deadline;
    bool isCrashing = false;
    std::function<void(const WorkEnd &)> done;
};

/// What an endpoint's owner needs of its process.
struct OwnerProcess
{
    VirtualTime &time;
    Mutation mutation = Mutation::None;
    std::function<void(Step, SimEngine &)> passes;
    std::function<bool()> hasLease;
    /// Runs a handler in the process: later if it is paused, never if it was killed.
    std::function<std::function<void()>(std::function<void()>)> inProcess;
};

/// Connects an EndpointScheduler and an AnswerCheck to a fake engine, as the endpoint task of the
/// daemon does.
class SimEndpoint : public std::enable_shared_from_this<SimEndpoint>
{
public:
    SimEndpoint(OwnerProcess process, SimEngine &engine, core::FencingToken token);

    void start();
    void submit(Work work);
    void drain();
    void setLeaving(bool isLeaving);
    void tick();
    /// The process died: the engine sees its connections close.
    void connectionsClosed();
    core::FencingToken token() const { return m_token; }
    std::size_t runningCount() const { return m_scheduler.runningCount(); }

private:
    struct Run
    {
        Work work;
        std::optional<serving::AnswerCheck> check;
        std::string received;
        bool isStarted = false;
    };
    using RunPtr = std::shared_ptr<Run>;

    void readAdapters();
    void poll();
    void later(core::Duration delay, std::function<void()> event);
    void carryOut(const decisions::SchedulerCommands &commands);
    void carryOut(const decisions::LoadAdapter &command);
    void carryOut(const decisions::EvictAdapter &command);
    void carryOut(const decisions::DispatchRequest &command);
    void carryOut(const decisions::RefuseRequest &command);
    void loadEnded(const core::AdapterVersion &adapter, OrderEnd end);
    void evictionEnded(const core::AdapterVersion &adapter, OrderEnd end);
    void dataReceived(const RunPtr &run, const std::string &data);
    void ended(const RunPtr &run, core::Outcome outcome, bool isMissing);
    void settle(const RunPtr &run, const WorkEnd &end);

    OwnerProcess m_process;
    SimEngine &m_engine;
    core::FencingToken m_token;
    decisions::EndpointScheduler m_scheduler;
    std::map<core::RequestId, RunPtr> m_runs;
    std::map<core::AdapterVersion, core::TimePoint> m_pinned;
    std::uint64_t m_instance = 0;
    bool m_isReady = false;
    bool m_isDraining = false;
    bool m_isLeaving = false;
};

} // namespace jackdawlead::faults
