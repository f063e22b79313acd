#pragma once

#include "plan.h"

#include "core/ids.h"
#include "core/outcome.h"
#include "core/time.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jackdawlead::faults {

struct Violation
{
    Promise promise;
    std::string what;
};

/// What a caller is told.
struct Answer
{
    core::Outcome outcome = core::Outcome::Unknown;
    core::RequestId forRequest;    ///< Whose work the answer holds.
    core::AdapterVersion servedBy; ///< Which adapter made it.
    core::Duration retryAfter {};  ///< Of a refusal that was not run.
    std::string step;              ///< Of a refusal.
    bool isCut = false;            ///< The caller's connection broke; nothing was told.
    bool mayComeBack = true;       ///< The refusal is not final.
    int pieces = 1;                ///< Runs whose bytes the caller got.
};

/// Compares what happened at the engines and services with what callers were told and with the
/// promises. It knows only ground truth, never the state of a decision object.
class Checker
{
public:
    void accepted(const core::RequestId &request, const core::AdapterVersion &adapter,
                  core::TimePoint deadline);
    void ran(const core::RequestId &request);
    void serviceRan(const std::string &key, const core::RequestId &request);
    void answered(const core::RequestId &request, const Answer &answer, core::TimePoint now);
    void evicted(const core::AdapterVersion &adapter, std::size_t running);
    void engineAsked(const core::EndpointId &endpoint, core::TimePoint now);
    void leaving(const core::EndpointId &endpoint, std::optional<core::TimePoint> since);
    void stopped(const core::HostId &daemon, std::size_t running);
    void inForce(const std::string &process, core::Generation generation);
    void wantsInForce(const core::HostId &daemon, core::Generation accepted,
                      core::Generation inForce);
    /// The daemon was paused until then; answers that it owed before may be late.
    void excuseUntil(core::TimePoint time) { m_excusedUntil = std::max(m_excusedUntil, time); }
    /// To be called when every answer must have been given.
    void finish();

    const std::vector<Violation> &violations() const { return m_violations; }
    std::size_t completed() const { return m_completed; }
    std::size_t requests() const { return m_requests.size(); }

private:
    struct Request
    {
        core::AdapterVersion adapter;
        core::TimePoint deadline;
        int runs = 0;
        std::optional<Answer> answer;
    };
    void report(Promise promise, const std::string &what);
    void checkNotRun(const core::RequestId &request);

    std::map<core::RequestId, Request> m_requests;
    std::map<std::string, int> m_serviceRuns;
    std::map<core::EndpointId, core::TimePoint> m_leavingSince;
    std::map<std::string, core::Generation> m_inForce;
    core::TimePoint m_excusedUntil;
    std::vector<Violation> m_violations;
    std::size_t m_completed = 0;
};

} // namespace jackdawlead::faults
