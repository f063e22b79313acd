#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jackdawlead::soak {

/// Identifies one run of a daemon process, from its start to its exit.
using ProcessIncarnation = core::SequenceNumber<struct ProcessIncarnationTag>;
using ConfigurationVersion = core::SequenceNumber<struct ConfigurationVersionTag>;

enum class RequestKind { Repeatable, Unrepeatable, ResumableStream, SingleStream };

inline bool isStream(RequestKind kind)
{
    return kind == RequestKind::ResumableStream || kind == RequestKind::SingleStream;
}

inline bool isRepeatable(RequestKind kind)
{
    return kind == RequestKind::Repeatable || kind == RequestKind::ResumableStream;
}

/// The rules that are checked. The report counts the checks of each rule.
enum class Check {
    OwnAnswer,    ///< A successful answer carries the id and the stamp of its own request.
    WholeAnswer,  ///< A complete successful answer has the endpoint's whole body.
    RunOnce,      ///< An unrepeatable request runs at most once, and no unknown request runs.
    NotRun,       ///< A request does not run if its answer states that it did not.
    StreamEvents, ///< Events arrive once and in order, all from one software version; a complete
                  ///< stream has all of them.
    TakeUp,       ///< The same holds over the attempts of a caller that takes its stream up.
    LeftEndpoint, ///< No request reaches an endpoint that has been leaving for longer than the
                  ///< bound.
    LeftCaller,   ///< No request reaches an endpoint more than half a second after its caller
                  ///< disconnected.
    Deadline, ///< The deadline sent to an endpoint exceeds the time left to the caller by at most
              ///< half a second.
    ConfigurationOrder, ///< A process never returns to an older version and applies a new one
                        ///< within the bound.
    PlannedStop,        ///< A planned stop cuts off no request that the daemon has read.
    OneHolder,          ///< One holder at a time issues orders; its token never decreases.
    RequestLimit,       ///< An endpoint gets at most one and a half times its request limit, and
                        ///< five requests, in 4 s from daemons that have received the limit.
    AdapterVersion,     ///< No request runs on a version of its adapter that was superseded longer
                        ///< ago than the bound.
    InTime,             ///< Each request is answered at most half a second after its time limit.
    LostAnswer,         ///< An answer that an endpoint works on, and did not itself interrupt, ends
                        ///< whole.
    ProcessUp,          ///< No process exits unless the soak stops or kills it.
    ServedWithoutLinks  ///< While the links of a sound daemon to all endpoints are interrupted, it
                        ///< serves at least two thirds of what the other daemons serve.
};

inline constexpr Check allChecks[] {
    Check::OwnAnswer,    Check::WholeAnswer,
    Check::RunOnce,      Check::NotRun,
    Check::StreamEvents, Check::TakeUp,
    Check::LeftEndpoint, Check::LeftCaller,
    Check::Deadline,     Check::ConfigurationOrder,
    Check::PlannedStop,  Check::OneHolder,
    Check::RequestLimit, Check::AdapterVersion,
    Check::InTime,       Check::LostAnswer,
    Check::ProcessUp,    Check::ServedWithoutLinks,
};

std::string nameOf(Check check);

/// Time bounds that are written into the daemons' settings.
struct Bounds
{
    core::Duration stableWindow = std::chrono::seconds(4);
    core::Duration drain = std::chrono::seconds(3);
    core::Duration configuration = std::chrono::seconds(3);
    core::Duration grace = std::chrono::seconds(8);
    core::Duration version = std::chrono::seconds(5);
};

struct SentRequest
{
    core::RequestId id;
    RequestKind kind = RequestKind::Repeatable;
    std::string route;
    ProcessIncarnation incarnation; ///< Of the daemon that the caller is connected to.
    core::Duration timeLeft {};     ///< The smaller of its deadline and its route's timeout.
    core::Duration deadline {};     ///< Sent by the caller in the request.
    core::RequestId begunBy {};     ///< The attempt that brought the first event, if not this one.
    int firstEvent = 1;             ///< The one after the last event that the caller has.
    std::string softwareVersion {}; ///< That the events before were written by.
};

/// What a caller had received when its exchange ended.
struct ReceivedAnswer
{
    int status = 0; ///< Zero if no response head was received.
    std::string requestId;
    std::string stamp;
    std::string body;
    bool isComplete = false;
    bool wasConnected = true; ///< False if the connection could not be opened.
};

struct Violation
{
    Check check;
    std::string description;
    ProcessIncarnation incarnation;
};

/// Checks what callers and endpoints recorded against the rules. The soak reports each disturbance
/// of processes, store and endpoints, because the time bounds apply only to daemons that have been
/// undisturbed for the stable window.
/// Preconditions: processStarted() is called before requests are sent to an incarnation, and times
/// do not decrease. Thread safety: one thread at a time.
class Checker
{
public:
    explicit Checker(const Bounds &bounds);

    void processStarted(ProcessIncarnation incarnation, core::TimePoint at);
    void stopRequested(ProcessIncarnation incarnation, core::TimePoint at);
    /// The soak kills the process. Unanswered requests of a killed process are no violations.
    void processKilled(ProcessIncarnation incarnation, core::TimePoint at);
    void processFrozen(ProcessIncarnation incarnation, bool isFrozen, core::TimePoint at);
    /// `code` is the value of Process::exitCode().
    void processEnded(ProcessIncarnation incarnation, int code);
    /// Whether the process and the store have been undisturbed for the stable window.
    bool isUndisturbed(ProcessIncarnation incarnation, core::TimePoint at) const;
    /// The store starts to fail or has recovered.
    void storeDisturbed(bool isDisturbed, core::TimePoint at);
    /// Called periodically. A long interval between two calls means that the soak itself was
    /// blocked, so that all measured times are inexact. Answers that arrived in the meantime may be
    /// read before the next call.
    void recordHeartbeat(core::TimePoint at);
    /// How often the soak itself was blocked.
    int stalls() const { return m_stalls; }

    /// The store has acknowledged a version that adds `added` and removes `removed`.
    void configurationWritten(ConfigurationVersion version, const std::vector<std::string> &added,
                              const std::vector<std::string> &removed, core::TimePoint at);
    /// The store has acknowledged a version of an adapter; versions of one adapter increase.
    void versionAnnounced(const core::AdapterId &adapter, int version, core::TimePoint at);
    /// The store has acknowledged that the endpoint leaves. The bound counts from the first moment
    /// at which the store has been undisturbed for the stable window.
    void endpointLeaving(const core::EndpointId &endpoint, core::TimePoint at);
    /// The endpoint announces another request limit from now on, or none.
    void endpointLimited(const core::EndpointId &endpoint, std::optional<double> perSecond,
                         core::TimePoint at);
    /// The endpoint announces its limit in the answer to a request.
    void limitAnnounced(const core::RequestId &id, const core::EndpointId &endpoint,
                        core::TimePoint at);
    /// The endpoint has stopped listening under this id.
    void endpointRemoved(const core::EndpointId &endpoint);

    void requestSent(const SentRequest &request, core::TimePoint at);
    /// An endpoint has received a request with `deadline`, whether it runs or is refused. It may
    /// have arrived before the latest other report.
    void requestReceived(const core::RequestId &id, const core::EndpointId &endpoint,
                         core::Duration deadline, core::TimePoint at);
    /// An endpoint holds a request that it will run, unless the daemon gives it up before.
    void requestAccepted(const core::RequestId &id, const core::EndpointId &endpoint);
    void requestRan(const core::RequestId &id, const core::EndpointId &endpoint);
    /// A request begins to run on this version of its adapter.
    void adapterRan(const core::RequestId &id, const core::AdapterId &adapter, int version,
                    core::TimePoint at);
    /// The endpoint interrupts its answer or stops sending for good. A silence after which it goes
    /// on is no interruption.
    void answerInterrupted(const core::RequestId &id, const core::EndpointId &endpoint);
    /// An endpoint has received an order. Orders shortly after a frozen process resumed are not
    /// checked, because they may have been sent before it was frozen.
    void orderReceived(const core::EndpointId &endpoint, const core::HostId &holder,
                       core::FencingToken token, core::TimePoint at);
    void requestEnded(const core::RequestId &id, const ReceivedAnswer &answer, core::TimePoint at);
    /// The caller disconnects before the end, so that no answer is checked.
    void requestAbandoned(const core::RequestId &id, core::TimePoint at);

    /// The links of these processes to all endpoints are interrupted, for each of them with or
    /// without the answers in progress. One interruption is restored before the next one begins.
    void linksInterrupted(const std::map<ProcessIncarnation, bool> &interrupted,
                          core::TimePoint at);
    /// Links broke over which these requests were sent, by whichever daemon.
    void answersInterrupted(const std::set<core::RequestId> &ids);
    void linksRestored(core::TimePoint at);
    /// Whether there were enough requests in an interruption to be checked.
    bool hasCountedInterruption() const;
    /// Called once, when all requests have ended.
    void checkInterruptions();

    const std::map<Check, int> &counts() const { return m_counts; }
    const std::vector<Violation> &violations() const { return m_violations; }
    /// The number of answers that an endpoint worked on and that did not end whole, by cause.
    const std::map<std::string, int> &unfinishedAnswers() const { return m_unfinishedAnswers; }

private:
    struct ProcessState
    {
        core::TimePoint disturbedUntil; ///< By its start or by being frozen.
        core::TimePoint frozenUntil;
        bool isFrozen = false;
        bool isKilled = false;
        bool hadInterruption = false; ///< Of its links to the endpoints.
        std::optional<core::TimePoint> stopRequestedAt;
        ConfigurationVersion minVersion {1}; ///< The oldest version that it may still use.
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
        ConfigurationVersion minVersion; ///< The oldest version that its daemon may use.
        std::optional<core::TimePoint> abandonedAt {};
        int runs = 0;
        bool isInterrupted = false;         ///< At any endpoint.
        core::EndpointId latestEndpoint {}; ///< That accepted or ran it.
        bool isInterruptedThere = false;    ///< By the latest endpoint.
        bool isReportedNotRun = false;
        /// When it reached an endpoint while the links of its daemon were interrupted, so that
        /// another daemon may have sent it on.
        std::optional<core::TimePoint> forwardedAt {};
        std::optional<std::size_t> interruption {}; ///< In which its answer is counted.
    };
    struct ServedCount
    {
        int requests = 0;
        int served = 0;
        double share() const { return static_cast<double>(served) / requests; }
    };
    struct Kill
    {
        ProcessIncarnation incarnation;
        core::TimePoint at;
    };
    /// Links to all endpoints are interrupted; first tries from the detection time on are counted.
    struct Interruption
    {
        core::TimePoint from;
        std::optional<core::TimePoint> until;
        std::set<ProcessIncarnation> incarnations;
        std::set<ProcessIncarnation> withBrokenAnswers; ///< Of these.
        ServedCount servedWithoutLinks;
        ServedCount servedByOthers;

        bool isCounted() const;
    };

    struct Limit
    {
        double perSecond = 0;
        core::TimePoint since;
        std::map<ProcessIncarnation, core::TimePoint> announcedTo;
        /// Requests of daemons that had received the limit.
        std::vector<std::pair<core::TimePoint, ProcessIncarnation>> arrivals;
    };

    void count(Check check) { ++m_counts[check]; }
    void checkLimit(const Request &request, const core::EndpointId &endpoint, core::TimePoint at);
    void addViolation(Check check, const Request &request, const std::string &description);
    bool isUndisturbed(const ProcessState &process, core::TimePoint at) const;
    /// Whether the process or the soak was blocked shortly before or after `from`.
    bool wasDisturbed(const ProcessState &process, core::TimePoint from) const;
    void checkEndpoint(const Request &request, const core::EndpointId &endpoint,
                       core::TimePoint at);
    void checkSuccess(const Request &request, const ReceivedAnswer &answer);
    /// The events that a whole answer to the request has.
    static std::string expectedStream(const Request &request, const ReceivedAnswer &answer);
    static bool hasAllEvents(const Request &request, const ReceivedAnswer &answer);
    void checkEvents(const Request &request, const ReceivedAnswer &answer);
    void checkNotFound(const Request &request);
    void checkEnd(const Request &request, const ReceivedAnswer &answer, core::TimePoint at);
    void checkPlannedStop(const Request &request, bool isCut, core::TimePoint at);
    bool areLinksInterrupted(ProcessIncarnation incarnation, core::TimePoint at) const;
    /// Whether a daemon that may have sent the request on was killed meanwhile.
    bool isForwarderKilled(const Request &request, core::TimePoint at) const;
    /// Whether the request was sent so early in a planned stop, and its endpoint worked so long,
    /// that the end of the grace time may cut it off.
    bool isLateInGrace(const Request &request, core::TimePoint at) const;
    void checkLostAnswer(const Request &request, const ReceivedAnswer &answer, core::TimePoint at);
    void setLatestEndpoint(Request &request, const core::EndpointId &endpoint);
    /// Whether the request passed the links of its daemon before they were interrupted, so that its
    /// answer can't pass them any more.
    bool wasOnItsWay(const Request &request) const;
    void assignToInterruption(Request &request);
    void countServed(const Request &request, const ReceivedAnswer &answer);
    /// What excuses an answer that did not end whole; empty if nothing does.
    std::string excuseOf(const Request &request, core::TimePoint at) const;

    /// An answer may arrive this long after its time limit, and a request may arrive at an endpoint
    /// this long after its caller disconnected. The deadline sent to an endpoint may exceed the
    /// time left to the caller by as much.
    static constexpr core::Duration answerSlack = std::chrono::milliseconds(500);

    Bounds m_bounds;
    std::map<ProcessIncarnation, ProcessState> m_processes;
    std::map<std::string, Route> m_routes;
    std::vector<std::pair<ConfigurationVersion, core::TimePoint>> m_acknowledgedVersions;
    std::map<core::AdapterId, std::map<int, core::TimePoint>> m_announcedVersions;
    /// Since when the bound counts for endpoints that leave.
    std::map<core::EndpointId, core::TimePoint> m_leavingEndpoints;
    std::map<core::EndpointId, Limit> m_limits;
    std::map<core::RequestId, Request> m_requests;
    std::map<core::EndpointId, core::FencingToken> m_highestTokens;
    std::map<core::FencingToken, core::HostId> m_tokenHolders;
    std::vector<Interruption> m_interruptions;
    std::vector<Kill> m_kills;
    core::TimePoint m_resumedAt;
    core::TimePoint m_storeDisturbedUntil;
    bool m_isStoreDisturbed = false;
    core::TimePoint m_lastHeartbeatAt;
    core::TimePoint m_stalledUntil;
    int m_stalls = 0;
    std::map<Check, int> m_counts;
    std::map<std::string, int> m_unfinishedAnswers;
    std::vector<Violation> m_violations;
};

} // namespace jackdawlead::soak
