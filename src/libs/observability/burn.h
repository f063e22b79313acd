#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>
#include <deque>

namespace jackdawlead::observability {

/// The measured quantities that have a service-level objective.
enum class Indicator { FirstToken, Answer, LoadStall };
constexpr std::size_t indicatorCount = 3;

/// A service-level objective: `share` of all observations must be within `limit`.
struct Objective
{
    core::Duration limit {};
    double share = 0.95;
};
using Objectives = std::array<Objective, indicatorCount>;

/// First token within 0.44 s, complete answers within 5 s, load stalls of at most 0.44 s, each for
/// 95 in 100 requests.
Objectives defaultObjectives();
/// The name of an indicator in reports.
const char *toString(Indicator indicator);

/// Number of observations since the start, and of those within the limit of the objective.
struct BurnCounts
{
    std::uint64_t total = 0;
    std::uint64_t good = 0;
};
using BurnSample = std::array<BurnCounts, indicatorCount>;

/// The observations of one window.
struct BurnWindow
{
    core::Duration covered {}; ///< Shorter than the window soon after the start.
    BurnSample counts {};
};

/// The burn rate of the error budget: the share of observations outside the limit, divided by the
/// share that the objective allows; 0 without observations.
double burnRate(const BurnCounts &counts, double share);

/// Keeps the samples of the last hour. Thread safety: one thread.
class BurnHistory
{
public:
    /// Precondition: `now` does not decrease from call to call.
    void add(core::TimePoint now, const BurnSample &sample);
    /// The difference between the newest sample and the one at the start of the window.
    BurnWindow window(core::Duration length) const;
    std::size_t size() const { return m_samples.size(); }

private:
    struct Entry
    {
        core::TimePoint at;
        BurnSample sample;
    };
    std::deque<Entry> m_samples;
};

} // namespace jackdawlead::observability
