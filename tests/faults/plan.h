#pragma once

#include <cstdint>
#include <vector>

namespace jackdawlead::faults {

enum class Fault {
    DaemonKilled,
    DaemonPaused,
    ConnectionCut,
    ConnectionSilent,
    ApiOut,
    ApiSlow,
    AnswerLost,
    WatchGaps,
    HostListLate,
    EngineRestarted,
    LoadFails,
    StoreSlow,
    TokensIgnored,
    OperatorsRace,
    CrashingRequest,
    RegionLinkOut,
    PopularityShift,
    AnswersLate,
    AnswersCrossed,
    Count
};

enum class Step {
    Accept,
    Authenticate,
    Resolve,
    Admit,
    Claim,
    Place,
    WaitForAdapter,
    Dispatch,
    Relay,
    Settle,
    Submit,
    Commit,
    Distribute,
    Apply,
    Acquire,
    Renew,
    TakeOver,
    Release,
    Load,
    Evict,
    Join,
    Drain,
    Leave,
    Count
};

/// P1 to P10 of section 1.3 of the design page.
enum class Promise { P1 = 1, P2, P3, P4, P5, P6, P7, P8, P9, P10 };

/// A defect that the tests put around a decision object, to prove that the checker sees it.
enum class Mutation {
    None,
    AnswerNotChecked,
    PinsIgnored,
    HolderNeverLapses,
    ObserverIgnoresGaps,
    RepeatAfterFirstByte,
    UnknownToldAsNotRun,
    ClaimRunsAgain,
    LeavingIgnored,
    StopDoesNotWait,
    GenerationMayFall,
    NoRetryTime,
    RefusalHeldBack,
    ErrorWithoutStep,
    Count
};

/// A fault that strikes when the schedule passes a step.
struct Injection
{
    Fault fault = Fault::Count;
    Step step = Step::Count;
};

struct Plan
{
    std::uint64_t seed = 0;
    std::vector<Injection> injections;
    Mutation mutation = Mutation::None;
};

} // namespace jackdawlead::faults
