#include "matrix.h"

#include <algorithm>
#include <iterator>

namespace jackdawlead::faults {

namespace {

struct Row
{
    Fault fault;
    const char *name;
    Promise atRisk;
    /// A mark for each step in the order of Step: x a case, o open, - not applicable. Groups:
    /// request path; configuration; lease and ownership; slots; membership.
    const char *marks;
    const char *open;
    const char *notApplicable;
};

constexpr const char *noDaemon = "the operator's tool takes this step, not a daemon";
constexpr const char *noEngine = "no message to an engine or peer in this step";
constexpr const char *noSlot = "adapters and slots play no part in this step";

constexpr Row rows[] = {
    {Fault::DaemonKilled, "daemon killed", Promise::P5, "xxxxxxxxxx --xx xxxx xx xxx", "",
     noDaemon},
    {Fault::DaemonPaused, "daemon paused past its lease", Promise::P2,
     "xxxxxxxxxx --xx xxxx xx xxx", "", noDaemon},
    {Fault::ConnectionCut, "connection cut", Promise::P4, "----xxxxxx --oo ---x xx -xx",
     "parts and gossip between daemons are not yet in the harness as connections", noEngine},
    {Fault::ConnectionSilent, "connection silent", Promise::P2, "-----xxxxx --oo ---x xx -xx",
     "parts and gossip between daemons are not yet in the harness as connections", noEngine},
    {Fault::ApiOut, "object API out", Promise::P5, "xxxxxxxxxx xxxx xxxx xx xxx", "", ""},
    {Fault::ApiSlow, "object API slow", Promise::P2, "xxxxxxxxxx xxxx xxxx xx xxx", "", ""},
    {Fault::AnswerLost, "write applied, answer lost", Promise::P5, "----x----x xx-- xxxx -- xx-",
     "", "no write to the object API in this step"},
    {Fault::WatchGaps, "watch with gaps", Promise::P8, "xxxxxxxxxx xxxx xxxx xx xxx", "", ""},
    {Fault::HostListLate, "host list late", Promise::P6, "xxxxxxxxxx ---- xxxx xx xxx", "",
     "the configuration does not use the host list"},
    {Fault::EngineRestarted, "engine restarted empty", Promise::P2, "----xxxxxx ---- x-xx xx -xx",
     "", noSlot},
    {Fault::LoadFails, "adapter load fails", Promise::P9, "-----xxx-- ---- x-x- xx -xx", "",
     noSlot},
    {Fault::StoreSlow, "weight store out or slow", Promise::P9, "-----xxx-- ---- x-x- xx -xx", "",
     noSlot},
    {Fault::TokensIgnored, "engine ignores fencing tokens", Promise::P2,
     "-----xxxxx ---- xxxx xx -xx", "", "no order or dispatch follows from this step"},
    {Fault::OperatorsRace, "operators race", Promise::P8, "---------- xxxx ---- -- ---", "",
     "only configuration steps take part in a race of operators"},
    {Fault::CrashingRequest, "request that crashes its endpoint", Promise::P3,
     "oooo-xxxxx ---- --x- xx -xx",
     "refusal of a quarantined fingerprint: the quarantine is not merged yet", noSlot},
    {Fault::RegionLinkOut, "region link out", Promise::P8, "xxxxxxxxxx xxxx xxxx xx xxx", "", ""},
    {Fault::PopularityShift, "popularity shift", Promise::P2, "xxxxxxxxxx ---- x-xx xx xxx", "",
     noSlot},
    {Fault::AnswersLate, "answers late", Promise::P3, "----oxxxxx --oo oooo xx -xx",
     "late answers of the object API are the row of the slow object API; late gossip is always on",
     noEngine},
    {Fault::AnswersCrossed, "answers crossed", Promise::P1, "----oxxxxx --oo oooo oo ooo",
     "only answers of requests cross in the harness, and those of another model; answers of two "
     "requests for one adapter are told apart only by one request per connection",
     noEngine},
};
static_assert(std::size(rows) == faultCount, "a fault has no row");

constexpr const char *stepNames[] = {
    "accept",   "authenticate", "resolve",   "admit",   "claim",  "place",      "wait for adapter",
    "dispatch", "relay",        "settle",    "submit",  "commit", "distribute", "apply",
    "acquire",  "renew",        "take over", "release", "load",   "evict",      "join",
    "drain",    "leave"};
static_assert(std::size(stepNames) == stepCount, "a step has no name");

const Row &rowOf(Fault fault)
{
    return *std::ranges::find(rows, fault, &Row::fault);
}

std::string marksOf(const Row &row)
{
    std::string marks = row.marks;
    std::erase(marks, ' ');
    return marks;
}

} // namespace

Cell cellOf(Fault fault, Step step)
{
    const Row &row = rowOf(fault);
    const char mark = marksOf(row)[static_cast<std::size_t>(step)];
    if (mark == 'x')
        return {CellKind::Case, row.atRisk, {}};
    if (mark == 'o')
        return {CellKind::Open, row.atRisk, row.open};
    return {CellKind::NotApplicable, row.atRisk, row.notApplicable};
}

std::string nameOf(Fault fault)
{
    return rowOf(fault).name;
}

std::string nameOf(Step step)
{
    return stepNames[static_cast<std::size_t>(step)];
}

std::string nameOf(Promise promise)
{
    return "P" + std::to_string(static_cast<int>(promise));
}

std::vector<Fault> allFaults()
{
    std::vector<Fault> faults;
    for (std::size_t index = 0; index < faultCount; ++index)
        faults.push_back(static_cast<Fault>(index));
    return faults;
}

std::vector<Step> allSteps()
{
    std::vector<Step> steps;
    for (std::size_t index = 0; index < stepCount; ++index)
        steps.push_back(static_cast<Step>(index));
    return steps;
}

std::string tableError()
{
    for (const Fault fault : allFaults()) {
        const auto row = std::ranges::find(rows, fault, &Row::fault);
        if (row == std::end(rows))
            return "fault " + std::to_string(static_cast<int>(fault)) + " has no row";
        const std::string marks = marksOf(*row);
        if (marks.size() != stepCount)
            return std::string(row->name) + ": " + std::to_string(marks.size()) + " marks for "
                + std::to_string(stepCount) + " steps";
        if (marks.find_first_not_of("xo-") != std::string::npos)
            return std::string(row->name) + ": unknown mark";
        const bool lacksReason = (marks.find('o') != std::string::npos && !*row->open)
            || (marks.find('-') != std::string::npos && !*row->notApplicable);
        if (lacksReason)
            return std::string(row->name) + ": a cell without a case has no reason";
    }
    return {};
}

std::string page()
{
    std::size_t cases = 0;
    std::size_t open = 0;
    std::size_t notApplicable = 0;
    std::string table;
    std::string reasons;
    for (const Fault fault : allFaults()) {
        const Row &row = rowOf(fault);
        table += "| " + nameOf(fault) + " |";
        for (const Step step : allSteps()) {
            const Cell cell = cellOf(fault, step);
            cases += cell.kind == CellKind::Case ? 1 : 0;
            open += cell.kind == CellKind::Open ? 1 : 0;
            notApplicable += cell.kind == CellKind::NotApplicable ? 1 : 0;
            table += cell.kind == CellKind::Case ? " " + nameOf(cell.atRisk) + " |"
                : cell.kind == CellKind::Open    ? " open |"
                                                 : " - |";
        }
        table += "\n";
        if (*row.open)
            reasons += "- " + nameOf(fault) + ", open: " + row.open + ".\n";
        if (*row.notApplicable)
            reasons += "- " + nameOf(fault) + ", not applicable: " + row.notApplicable + ".\n";
    }
    std::string head = "| fault |";
    std::string line = "|---|";
    for (const Step step : allSteps()) {
        head += " " + nameOf(step) + " |";
        line += "---|";
    }
    const std::size_t pairs = faultCount * (faultCount - 1) / 2;
    return "# Fault matrix\n\n"
           "Generated by `faultmatrix --write` from tests/faults/matrix.cpp; a test fails if this "
           "page is stale.\n\n"
           "Each cell names the promise of section 1.3 of the design page that the fault puts most "
           "at risk at that step.\nEvery schedule checks all promises. `-` is not applicable, "
           "`open` is not tested yet; the reasons are below.\n\n"
        + std::to_string(cases) + " cells run " + std::to_string(schedulesPerCell)
        + " schedules each in the normal run, " + std::to_string(open) + " are open, "
        + std::to_string(notApplicable) + " are not applicable. All " + std::to_string(pairs)
        + " pairs of faults run " + std::to_string(schedulesPerPair)
        + " schedules each.\n`JACKDAWLEAD_FAULT_SCHEDULES=1000` sets another number for both.\n\n"
        + head + "\n" + line + "\n" + table + "\n## Reasons\n\n" + reasons;
}

} // namespace jackdawlead::faults
