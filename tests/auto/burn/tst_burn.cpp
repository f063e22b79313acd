#include "observability/burn.h"
#include "observability/metrics.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::observability;

namespace {

constexpr core::TimePoint start {};
constexpr auto fiveMinutes = std::chrono::minutes(5);
constexpr auto oneHour = std::chrono::hours(1);

BurnSample sampleOf(std::uint64_t total, std::uint64_t good)
{
    BurnSample sample;
    sample.fill({total, good});
    return sample;
}

} // namespace

// Guards against a burn rate that does not match the objective.
Test(burn, rateIsOneWhenTheErrorBudgetIsUsedUpExactly)
{
    cr_assert_float_eq(burnRate({100, 95}, 0.95), 1.0, 1e-9);
    cr_assert_float_eq(burnRate({100, 0}, 0.95), 20.0, 1e-9);
    cr_assert_float_eq(burnRate({0, 0}, 0.95), 0.0, 1e-9);
}

// Guards against a window that includes observations from before its start or misses some.
Test(burn, windowCountsOnlyObservationsWithinIt)
{
    BurnHistory history;
    // One good observation a second for an hour, then five minutes of bad ones.
    constexpr int hour = 3600;
    constexpr int end = hour + 300;
    for (int second = 0; second <= end; second += 10) {
        const auto total = static_cast<std::uint64_t>(second);
        history.add(start + std::chrono::seconds(second),
                    sampleOf(total, std::min<std::uint64_t>(total, hour)));
    }
    const BurnWindow recent = history.window(fiveMinutes);
    cr_assert_eq(recent.covered, fiveMinutes);
    cr_assert_eq(recent.counts[0].total, 300);
    cr_assert_eq(recent.counts[0].good, 0);
    const BurnWindow lastHour = history.window(oneHour);
    cr_assert_eq(lastHour.covered, oneHour);
    cr_assert_eq(lastHour.counts[0].total, 3600);
    cr_assert_eq(lastHour.counts[0].good, 3300);
}

// Guards against a history that grows with the number of samples or the age of the daemon.
Test(burn, historyIsBounded)
{
    BurnHistory history;
    for (int second = 0; second < 3 * 3600; ++second)
        history.add(start + std::chrono::seconds(second), sampleOf(1, 1));
    constexpr std::size_t twoForEachTenSeconds = 720;
    cr_assert_leq(history.size(), twoForEachTenSeconds);
    cr_assert_geq(history.window(oneHour).covered, oneHour);
}

// Guards against wrong counts before the first complete window.
Test(burn, shortHistoryReportsItsCoveredTime)
{
    BurnHistory history;
    cr_assert_eq(history.window(oneHour).counts[0].total, 0);
    history.add(start, sampleOf(0, 0));
    history.add(start + std::chrono::seconds(20), sampleOf(8, 6));
    const BurnWindow window = history.window(oneHour);
    cr_assert_eq(window.covered, std::chrono::seconds(20));
    cr_assert_eq(window.counts[1].total, 8);
    cr_assert_eq(window.counts[1].good, 6);
}

// Guards against counts that are rounded to a histogram bucket next to the objective's limit.
Test(burn, limitOfAnObjectiveIsABucketBound)
{
    Objectives objectives;
    objectives.fill({std::chrono::milliseconds(333), 0.95});
    Metrics metrics(objectives);
    metrics.recordFirstToken(std::chrono::milliseconds(332));
    metrics.recordFirstToken(std::chrono::milliseconds(334));
    metrics.recordLoadStall(std::chrono::milliseconds(1));
    metrics.recordRequest(core::Outcome::Completed, std::chrono::milliseconds(400));
    metrics.recordRequest(core::Outcome::NotRun, std::chrono::milliseconds(1));
    const BurnSample sample = metrics.burnSample();
    const auto &firstToken = sample[static_cast<std::size_t>(Indicator::FirstToken)];
    cr_assert_eq(firstToken.total, 2);
    cr_assert_eq(firstToken.good, 1);
    const auto &answer = sample[static_cast<std::size_t>(Indicator::Answer)];
    cr_assert_eq(answer.total, 1);
    cr_assert_eq(answer.good, 0);
    cr_assert_eq(sample[static_cast<std::size_t>(Indicator::LoadStall)].good, 1);
}
