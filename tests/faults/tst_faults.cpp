#include "matrix.h"
#include "world.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>

using namespace jackdawlead::faults;

namespace {

int schedules(int normal)
{
    const char *text = std::getenv("JACKDAWLEAD_FAULT_SCHEDULES");
    return text ? std::max(std::atoi(text), 1) : normal;
}

std::uint64_t seedOf(std::size_t first, std::size_t second, int schedule)
{
    return (first + 1) * 1'000'000'000ULL + (second + 1) * 1'000'000ULL
        + static_cast<std::uint64_t>(schedule);
}

/// Runs a plan and reports each violation with the seed that repeats it.
std::size_t strikesOf(const Plan &plan, const std::string &name)
{
    const Result result = runSchedule(plan);
    for (const Violation &violation : result.violations)
        cr_expect(false, "%s, seed %llu: %s %s", name.c_str(),
                  static_cast<unsigned long long>(plan.seed), nameOf(violation.promise).c_str(),
                  violation.what.c_str());
    cr_expect(result.completed > 0, "%s, seed %llu: no request was completed", name.c_str(),
              static_cast<unsigned long long>(plan.seed));
    return result.strikes;
}

void runRow(Fault fault)
{
    for (const Step step : allSteps()) {
        if (cellOf(fault, step).kind != CellKind::Case)
            continue;
        const std::string name = nameOf(fault) + " at " + nameOf(step);
        std::size_t strikes = 0;
        for (int schedule = 0; schedule < schedules(schedulesPerCell); ++schedule)
            strikes += strikesOf({.seed = seedOf(static_cast<std::size_t>(fault),
                                                 static_cast<std::size_t>(step), schedule),
                                  .injections = {{fault, step}}},
                                 name);
        cr_expect(strikes > 0, "%s: the fault never struck", name.c_str());
    }
}

std::vector<Step> stepsOf(Fault fault)
{
    std::vector<Step> steps;
    for (const Step step : allSteps())
        if (cellOf(fault, step).kind == CellKind::Case)
            steps.push_back(step);
    return steps;
}

} // namespace

// Guards against a fault or a step that was added without deciding its cells.
Test(faults, everyCellIsDecided)
{
    const std::string error = tableError();
    cr_assert(error.empty(), "%s", error.c_str());
}

// Guards against a page that no longer shows the table.
Test(faults, pageIsUpToDate)
{
    std::ifstream file(FAULTS_PAGE);
    std::stringstream text;
    text << file.rdbuf();
    cr_assert(text.str() == page(),
              "docs/faults.md is stale; run build/tests/faults/faultmatrix --write docs/faults.md");
}

// Guards against a harness whose result depends on anything but the seed.
Test(faults, equalSeedsGiveEqualResults)
{
    const Plan plan {.seed = 7, .injections = {{Fault::DaemonKilled, Step::Dispatch}}};
    const Result first = runSchedule(plan);
    const Result second = runSchedule(plan);
    cr_assert_eq(first.requests, second.requests);
    cr_assert_eq(first.completed, second.completed);
    cr_assert_eq(first.strikes, second.strikes);
}

// Guards against a harness that breaks promises, or answers nothing, without any fault.
Test(faults, planWithoutFaults)
{
    for (int schedule = 0; schedule < 10 * schedules(schedulesPerCell); ++schedule)
        strikesOf({.seed = seedOf(90, 0, schedule), .injections = {}}, "no fault");
}

#define FAULT_ROW(fault)                                                                           \
    Test(faults, row##fault)                                                                       \
    {                                                                                              \
        runRow(Fault::fault);                                                                      \
    }
FAULT_ROW(DaemonKilled)
FAULT_ROW(DaemonPaused)
FAULT_ROW(ConnectionCut)
FAULT_ROW(ConnectionSilent)
FAULT_ROW(ApiOut)
FAULT_ROW(ApiSlow)
FAULT_ROW(AnswerLost)
FAULT_ROW(WatchGaps)
FAULT_ROW(HostListLate)
FAULT_ROW(EngineRestarted)
FAULT_ROW(LoadFails)
FAULT_ROW(StoreSlow)
FAULT_ROW(TokensIgnored)
FAULT_ROW(OperatorsRace)
FAULT_ROW(CrashingRequest)
FAULT_ROW(RegionLinkOut)
FAULT_ROW(PopularityShift)
FAULT_ROW(AnswersLate)
FAULT_ROW(AnswersCrossed)
// A new fault needs a line above.
static_assert(faultCount == 19);

// Guards against two faults that hold alone and break a promise together.
Test(faults, allPairs)
{
    const std::vector<Fault> faults = allFaults();
    for (std::size_t first = 0; first < faults.size(); ++first)
        for (std::size_t second = first + 1; second < faults.size(); ++second) {
            const std::vector<Step> a = stepsOf(faults[first]);
            const std::vector<Step> b = stepsOf(faults[second]);
            for (int schedule = 0; schedule < schedules(schedulesPerPair); ++schedule) {
                const std::uint64_t seed = seedOf(100 + first, second, schedule);
                // The steps of a pair rotate with the schedule.
                const Plan plan {.seed = seed,
                                 .injections
                                 = {{faults[first], a[(seed / 7 + schedule) % a.size()]},
                                    {faults[second], b[(seed / 11 + schedule) % b.size()]}}};
                strikesOf(plan, nameOf(faults[first]) + " and " + nameOf(faults[second]));
            }
        }
}

namespace {

struct MutationCase
{
    Mutation mutation;
    const char *name;
    Promise breaks;
    Injection injection;
    Injection second {};
};

constexpr MutationCase mutationCases[] = {
    {Mutation::AnswerNotChecked,
     "the answer's model is not checked",
     Promise::P1,
     {Fault::AnswersCrossed, Step::Dispatch}},
    {Mutation::PinsIgnored,
     "adapters of cut requests are not pinned",
     Promise::P2,
     {Fault::ConnectionSilent, Step::Dispatch}},
    {Mutation::HolderNeverLapses,
     "the holder's lease never lapses",
     Promise::P2,
     {Fault::DaemonPaused, Step::Dispatch},
     {Fault::WatchGaps, Step::TakeOver}},
    {Mutation::ObserverIgnoresGaps,
     "the observer does not notice its own pause",
     Promise::P2,
     {Fault::TokensIgnored, Step::Dispatch},
     {Fault::WatchGaps, Step::TakeOver}},
    {Mutation::RepeatAfterFirstByte,
     "a started answer is repeated",
     Promise::P3,
     {Fault::ConnectionCut, Step::Dispatch}},
    {Mutation::UnknownToldAsNotRun,
     "unknown is told as not run",
     Promise::P4,
     {Fault::ConnectionCut, Step::Dispatch}},
    {Mutation::ClaimRunsAgain,
     "work of unknown outcome is run again",
     Promise::P5,
     {Fault::ConnectionCut, Step::Dispatch}},
    {Mutation::LeavingIgnored,
     "a leaving notice is ignored",
     Promise::P6,
     {Fault::PopularityShift, Step::Dispatch}},
    {Mutation::StopDoesNotWait,
     "a stop does not wait for requests",
     Promise::P7,
     {Fault::PopularityShift, Step::Drain}},
    {Mutation::GenerationMayFall,
     "any generation seen comes into force",
     Promise::P8,
     {Fault::WatchGaps, Step::Apply}},
    {Mutation::NoRetryTime,
     "a refusal carries no time",
     Promise::P9,
     {Fault::LoadFails, Step::Load}},
    {Mutation::RefusalHeldBack,
     "expired requests wait in the queue",
     Promise::P9,
     {Fault::StoreSlow, Step::Load}},
    {Mutation::ErrorWithoutStep,
     "an error does not name its step",
     Promise::P10,
     {Fault::LoadFails, Step::Load}},
};
static_assert(std::size(mutationCases) + 1 == static_cast<std::size_t>(Mutation::Count));

} // namespace

// Guards against a checker that sees nothing: each defect must be caught as a breach of its
// promise.
Test(faults, checkerCatchesEachMutation)
{
    constexpr int tries = 300;
    for (const MutationCase &mutation : mutationCases) {
        std::string caught;
        for (int schedule = 0; schedule < tries && caught.empty(); ++schedule) {
            const Plan plan {.seed
                             = seedOf(200, static_cast<std::size_t>(mutation.mutation), schedule),
                             .injections = {mutation.injection, mutation.second},
                             .mutation = mutation.mutation};
            for (const Violation &violation : runSchedule(plan).violations)
                if (violation.promise == mutation.breaks && caught.empty())
                    caught = nameOf(violation.promise) + ", seed " + std::to_string(plan.seed)
                        + ", schedule " + std::to_string(schedule + 1) + ": " + violation.what;
        }
        cr_expect_not(caught.empty(), "%s: not caught in %d schedules", mutation.name, tries);
        std::printf("mutation: %s; caught by %s\n", mutation.name, caught.c_str());
    }
}
