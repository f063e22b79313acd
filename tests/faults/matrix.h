#pragma once

#include "plan.h"

#include <cstddef>
#include <string>
#include <vector>

namespace jackdawlead::faults {

enum class CellKind { Case, Open, NotApplicable };

struct Cell
{
    CellKind kind = CellKind::Open;
    Promise atRisk = Promise::P1; ///< Of a case.
    std::string reason;           ///< Of a cell that is not a case.
};

constexpr std::size_t faultCount = static_cast<std::size_t>(Fault::Count);
constexpr std::size_t stepCount = static_cast<std::size_t>(Step::Count);

/// The cell of a fault at a step; every pair has one.
Cell cellOf(Fault fault, Step step);
std::string nameOf(Fault fault);
std::string nameOf(Step step);
std::string nameOf(Promise promise);
/// All faults or steps, in order.
std::vector<Fault> allFaults();
std::vector<Step> allSteps();
/// Whether each fault has a row and each row a mark for each step; the error otherwise.
std::string tableError();
/// Schedules run for each cell, and for each pair of faults, when the environment sets nothing.
constexpr int schedulesPerCell = 3;
constexpr int schedulesPerPair = 3;
/// The page docs/faults.md.
std::string page();

} // namespace jackdawlead::faults
