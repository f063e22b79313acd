#pragma once

#include "checker.h"
#include "virtualtime.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace jackdawlead::faults {

struct EngineCall
{
    core::RequestId request;
    core::AdapterVersion adapter;
    bool isCrashing = false;
    std::function<void(const std::string &)> onData;
    /// NotRun if the engine refused; Completed when the answer ended; Unknown after a cut.
    std::function<void(core::Outcome, bool isMissing)> onEnd;
};

enum class OrderEnd { Done, Refused, Unanswered };

struct EngineReport
{
    std::uint64_t instance = 0;
    std::set<core::AdapterVersion> running;
};

/// An engine in memory, and the connections to it. It does what it is told, also when that breaks a
/// promise.
class SimEngine
{
public:
    using OrderHandler = std::function<void(OrderEnd)>;

    SimEngine(core::EndpointId id, VirtualTime &time, Checker &checker);

    void order(bool isLoad, const core::AdapterVersion &adapter, core::FencingToken token,
               OrderHandler handler);
    void run(EngineCall call, core::FencingToken token);
    /// The connection of the request was closed; the engine notices later.
    void closed(const core::RequestId &request);
    void restart();
    /// The state of the last report, which lags.
    EngineReport report();
    const std::set<core::AdapterVersion> &adapters() const { return m_resident; }
    std::uint64_t instance() const { return m_instance; }
    const core::EndpointId &id() const { return m_id; }

    bool ignoresTokens = false;
    core::TimePoint loadsFailUntil;
    core::TimePoint storeSlowUntil;
    int callsToCut = 0;
    int callsToSilence = 0;
    int answersToDelay = 0;
    int answersToCross = 0;

private:
    struct Run
    {
        EngineCall call;
        std::uint64_t serial = 0;
        std::uint64_t instance = 0;
        bool isOpen = true; ///< The connection still stands.
    };
    using RunPtr = std::shared_ptr<Run>;

    bool isFenced(core::FencingToken token);
    void arrived(const EngineCall &call, core::FencingToken token);
    void answer(const RunPtr &run);
    void end(const RunPtr &run, core::Outcome outcome);
    void ended(const RunPtr &run);
    void carryOutOrder(bool isLoad, const core::AdapterVersion &adapter, core::FencingToken token,
                       const OrderHandler &answered);

    core::EndpointId m_id;
    VirtualTime &m_time;
    Checker &m_checker;
    std::set<core::AdapterVersion> m_resident;
    std::map<std::uint64_t, RunPtr> m_runs; ///< By serial number, so that schedules repeat.
    std::uint64_t m_serial = 0;
    std::map<core::RequestId, RunPtr> m_open;
    core::FencingToken m_highest;
    std::uint64_t m_instance = 1;
    EngineReport m_report;
    core::TimePoint m_reportedAt;
};

} // namespace jackdawlead::faults
