#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jackdawlead::soak {

/// One life of one daemon, from its start to its end.
using ProcessLife = core::SequenceNumber<struct ProcessLifeTag>;
using ConfigurationVersion = core::SequenceNumber<struct ConfigurationVersionTag>;

enum class RequestKind { Repeatable, Unrepeatable, ResumableStream, SingleStream };

inline bool isStream(RequestKind kind)
{
    return kind == RequestKind::ResumableStream || kind == RequestKind::SingleStream;
}

inline bool mayRepeat(RequestKind kind)
{
    return kind == RequestKind::Repeatable || kind == RequestKind::ResumableStream;
}

/// What is checked; each kind is counted by itself.
enum class Check {
    OwnAnswer,    ///< A success carries the id and the stamp of its own request.
    WholeAnswer,  ///< A success that looks complete has the endpoint's whole body.
    RunOnce,      ///< Unrepeatable work runs at most once, and no unknown request runs.
    NotRun,       ///< An answer that promises that nothing ran is true.
    StreamEvents, ///< Events come once, in order, and all of them in a complete stream.
    LeftEndpoint, ///< Nothing reaches an endpoint longer than the bound after it left.
    LeftCaller,   ///< Nothing reaches an endpoint longer than half a second after its caller left.
    Deadline,     ///< Endpoints are not handed more time than the caller has left.
    ConfigurationOrder, ///< A process never goes back, and takes up a version within the bound.
    PlannedStop,        ///< A planned stop cuts off no request that was read.
    OneHolder,          ///< Orders come from one holder at a time; its token never goes back.
    InTime,             ///< Each request is answered within its time and half a second.
    ProcessUp           ///< No process ends by itself.
};

inline constexpr Check allChecks[] {
    Check::OwnAnswer,          Check::WholeAnswer,  Check::RunOnce,    Check::NotRun,
    Check::StreamEvents,       Check::LeftEndpoint, Check::LeftCaller, Check::Deadline,
    Check::ConfigurationOrder, Check::PlannedStop,  Check::OneHolder,  Check::InTime,
    Check::ProcessUp,
};

std::string nameOf(Check check);

/// Bounds of time, as the daemons' settings state them.
struct Bounds
{
    core::Duration stableWindow = std::chrono::seconds(4);
    core::Duration drain = std::chrono::seconds(3);
    core::Duration configuration = std::chrono::seconds(3);
    core::Duration grace = std::chrono::seconds(8);
};

struct SentRequest
{
    core::RequestId id;
    RequestKind kind = RequestKind::Repeatable;
    std::string route;
    ProcessLife life;           ///< The process that the caller is connected to.
    core::Duration timeLeft {}; ///< The smaller one of its deadline and its route's time.
    core::Duration deadline {}; ///< As the caller states it.
};

/// What a caller got when its exchange ended.
struct CallerAnswer
{
    int status = 0; ///< Zero if no head came.
    std::string requestId;
    std::string stamp;
    std::string body;
    bool isWhole = false;
    bool wasConnected = true; ///< False if the connection could not be opened.
};

struct Violation
{
    Check check;
    std::string what;
    ProcessLife life;
};

/// The bytes that endpoints answer with and callers expect; all of them name their request.
std::string expectedBody(const core::RequestId &id);
std::string expectedEvents(const core::RequestId &id, int from, int to);
/// How many events the stream of a request has.
int eventCount(const core::RequestId &id);
std::string expectedStamp(const core::RequestId &id, int status);

/// Compares what callers and endpoints saw with the rules. It knows what the soak did to processes,
/// store and endpoints, and leaves out what the rules leave out: a daemon is held to bounds of time
/// only while it is in touch, that is, undisturbed for the stable window.
/// Preconditions: lives are started before requests are sent to them, and times do not decrease.
/// Thread safety: one thread at a time.
class Checker
{
public:
    explicit Checker(const Bounds &bounds);

    void processStarted(ProcessLife life, core::TimePoint at);
    void stopAsked(ProcessLife life, core::TimePoint at);
    /// The soak kills the process, which excuses what it does not answer.
    void processKilled(ProcessLife life);
    void processFrozen(ProcessLife life, bool isFrozen, core::TimePoint at);
    /// `code` as Process::exitCode() tells it.
    void processEnded(ProcessLife life, int code);
    /// The store begins to fail, or works again.
    void storeDisturbed(bool isDisturbed, core::TimePoint at);
    /// Called again and again. After a gap the soak itself did not run for a while, so that
    /// everyone's times are inexact; answers that wait then may be read before the next call.
    void alive(core::TimePoint at);
    /// How many gaps there were.
    int gaps() const { return m_gaps; }

    /// The store has acknowledged a version that adds `added` and removes `removed`.
    void configured(ConfigurationVersion version, const std::vector<std::string> &added,
                    const std::vector<std::string> &removed, core::TimePoint at);
    /// The store has acknowledged that the endpoint leaves.
    void endpointLeft(const core::EndpointId &endpoint, core::TimePoint at);
    /// The endpoint listens no more under this id.
    void endpointGone(const core::EndpointId &endpoint);

    void sent(const SentRequest &request, core::TimePoint at);
    /// A request has come to an endpoint with `deadline`, whether it runs or is refused.
    void reached(const core::RequestId &id, const core::EndpointId &endpoint,
                 core::Duration deadline, core::TimePoint at);
    void ran(const core::RequestId &id, const core::EndpointId &endpoint);
    /// The endpoint breaks its answer off or falls silent.
    void brokeOff(const core::RequestId &id);
    /// An order has come to an endpoint. Orders just after a process went on are left out: they
    /// may have been on their way when it was frozen.
    void ordered(const core::EndpointId &endpoint, const core::HostId &holder,
                 core::FencingToken token, core::TimePoint at);
    void ended(const core::RequestId &id, const CallerAnswer &answer, core::TimePoint at);
    /// The caller leaves before the end; nothing is owed to it.
    void abandoned(const core::RequestId &id, core::TimePoint at);

    const std::map<Check, int> &counts() const { return m_counts; }
    const std::vector<Violation> &violations() const { return m_violations; }

private:
    struct Life
    {
        core::TimePoint disturbedUntil; ///< By its start or by being frozen.
        core::TimePoint frozenUntil;
        bool isFrozen = false;
        bool isKilled = false;
        std::optional<core::TimePoint> stoppedAt;
        ConfigurationVersion least {1}; ///< The oldest version that it may still follow.
    };
    struct Route
    {
        ConfigurationVersion added;
        std::optional<ConfigurationVersion> removed;
    };
    struct Request
    {
        SentRequest sent;
        core::TimePoint sentAt;
        ConfigurationVersion least; ///< The oldest version that its daemon may follow.
        std::optional<core::TimePoint> abandonedAt {};
        int runs = 0;
        bool isBrokenOff = false;
        bool isPromisedNotRun = false;
    };

    void count(Check check) { ++m_counts[check]; }
    void violate(Check check, const Request &request, const std::string &what);
    bool isInTouch(const Life &life, core::TimePoint at) const;
    /// Whether the process or the soak stood still shortly before or after `from`.
    bool wasDisturbed(const Life &life, core::TimePoint from) const;
    void checkEndpoint(const Request &request, const core::EndpointId &endpoint,
                       core::TimePoint at);
    void checkSuccess(const Request &request, const CallerAnswer &answer);
    void checkEvents(const Request &request, const CallerAnswer &answer);
    void checkNotFound(const Request &request);
    void checkEnd(const Request &request, const CallerAnswer &answer, core::TimePoint at);
    void checkStop(const Request &request, bool isCut, core::TimePoint at);

    Bounds m_bounds;
    std::map<ProcessLife, Life> m_lives;
    std::map<std::string, Route> m_routes;
    std::vector<std::pair<ConfigurationVersion, core::TimePoint>> m_acknowledged;
    std::map<core::EndpointId, core::TimePoint> m_left;
    std::map<core::RequestId, Request> m_requests;
    std::map<core::EndpointId, core::FencingToken> m_tokens; ///< The highest one that came.
    std::map<core::FencingToken, core::HostId> m_holders;
    core::TimePoint m_thawedAt;
    core::TimePoint m_storeDisturbedUntil;
    bool m_isStoreDisturbed = false;
    core::TimePoint m_aliveAt;
    core::TimePoint m_heldUpUntil;
    int m_gaps = 0;
    std::map<Check, int> m_counts;
    std::vector<Violation> m_violations;
};

} // namespace jackdawlead::soak
