#include "decisions/runtimeestimator.h"

#include <algorithm>
#include <concepts>
#include <iomanip>
#include <iostream>
#include <random>
#include <vector>

// Compares which streams a stopping daemon accepts: how many of those that arrive are served to
// their end, refused at once, or cut off when the process ends.
using namespace jackdawlead;
using decisions::Confidence;
using decisions::RunTimeEstimator;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t seeds = 50;
constexpr core::Duration step = milliseconds(10);
constexpr core::Duration warmUp = seconds(20);
constexpr core::Duration predictions = milliseconds(1490); ///< After SIGTERM, as in the daemon.
constexpr core::Duration due = milliseconds(7450);         ///< After SIGTERM, as in the daemon.
constexpr core::Duration limit = seconds(12);              ///< Of each request.
const core::TimePoint stopAt(warmUp);

/// Decides whether a request that arrives `elapsed` after SIGTERM is sent.
template <typename Policy>
concept StopPolicy = requires(RunTimeEstimator &estimator, core::Duration elapsed)
{
    {
        Policy::expected(estimator, elapsed)
        } -> std::same_as<std::optional<core::Duration>>;
    {
        Policy::checksInProgress
        } -> std::convertible_to<bool>;
};

/// The longest of the latest answers and a quarter, until the end: the baseline.
struct Predicted
{
    static constexpr bool checksInProgress = false;
    static std::optional<core::Duration> expected(RunTimeEstimator &estimator, core::Duration)
    {
        return estimator.longestExpected();
    }
};

/// Only what ends by its own limit.
struct LimitOnly
{
    static constexpr bool checksInProgress = false;
    static std::optional<core::Duration> expected(RunTimeEstimator &, core::Duration)
    {
        return std::nullopt;
    }
};

/// The daemon's choice.
struct Daemon
{
    static constexpr bool checksInProgress = true;
    static std::optional<core::Duration> expected(RunTimeEstimator &estimator,
                                                  core::Duration elapsed)
    {
        return estimator.longestExpected(elapsed <= predictions ? Confidence::Likely
                                                                : Confidence::NearlyCertain);
    }
};

struct Scenario
{
    core::Duration median {}; ///< Of the time of a stream before SIGTERM.
    double slowdown = 1;      ///< Of streams that begin after it.
    double arrivalsPerSecond = 20;
    double lateArrivalsPerSecond = 1; ///< Once the load balancer sends clients elsewhere.
};

struct Outcome
{
    int arrived = 0;
    int served = 0;
    int refused = 0;
    int cut = 0;
};

template <StopPolicy Policy> Outcome play(const Scenario &scenario, std::uint64_t seed)
{
    struct Stream
    {
        core::TimePoint sentAt;
        core::TimePoint end;
    };
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> factor(0, 0.25);
    RunTimeEstimator estimator;
    std::vector<Stream> running;
    // The load balancer probes once a second and sends clients elsewhere after two failed probes.
    const core::Duration newClients
        = core::scaled(seconds(1), std::uniform_real_distribution<double>(1, 2)(random));
    Outcome outcome;
    for (core::TimePoint now; now < stopAt + due; now += step) {
        std::erase_if(running, [&](const Stream &stream) {
            if (stream.end <= now)
                estimator.record(stream.sentAt, stream.end);
            return stream.end <= now;
        });
        const core::Duration elapsed = now - stopAt;
        const bool isStopping = elapsed >= core::Duration::zero();
        if (elapsed == core::Duration::zero())
            estimator.beginObservation(now, due / 20);
        if (isStopping && Policy::checksInProgress) {
            std::vector<core::TimePoint> sentAt;
            sentAt.reserve(running.size());
            for (const Stream &stream : running)
                sentAt.push_back(stream.sentAt);
            estimator.checkInProgress(sentAt, now);
        }
        const double rate
            = elapsed > newClients ? scenario.lateArrivalsPerSecond : scenario.arrivalsPerSecond;
        if (!std::bernoulli_distribution(rate * core::toSeconds(step))(random))
            continue;
        const core::Duration time = core::scaled(
            scenario.median, factor(random) * (isStopping ? scenario.slowdown : 1.0));
        if (!isStopping) {
            running.push_back({now, now + time});
            continue;
        }
        ++outcome.arrived;
        if (!decisions::canEndBy(stopAt + due, now, limit, Policy::expected(estimator, elapsed))) {
            ++outcome.refused;
            continue;
        }
        running.push_back({now, now + time});
        ++(now + time <= stopAt + due ? outcome.served : outcome.cut);
    }
    return outcome;
}

template <StopPolicy Policy> void printOutcome(const Scenario &scenario)
{
    Outcome total;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Outcome outcome = play<Policy>(scenario, seed);
        total.arrived += outcome.arrived;
        total.served += outcome.served;
        total.refused += outcome.refused;
        total.cut += outcome.cut;
    }
    const auto share = [&total](int count) { return 100.0 * count / total.arrived; };
    std::cout << std::setw(7) << share(total.served) << std::setw(7) << share(total.refused)
              << std::setw(7) << share(total.cut) << "  ";
}

} // namespace

int main()
{
    std::cout << "streams that arrive after SIGTERM, in 100: served, refused, cut; seeds 1 to "
              << seeds << "\nmedian, slowdown      "
              << "as predicted           limit only             daemon\n"
              << std::fixed << std::setprecision(1);
    for (const int median : {300, 500, 1000, 1500, 2000, 3000}) {
        for (const double slowdown : {1.0, 1.5, 2.0, 3.0, 6.0, 11.0}) {
            const Scenario scenario {.median = milliseconds(median), .slowdown = slowdown};
            std::cout << std::setw(6) << median << " ms " << std::setw(5) << slowdown << "      ";
            printOutcome<Predicted>(scenario);
            printOutcome<LimitOnly>(scenario);
            printOutcome<Daemon>(scenario);
            std::cout << "\n";
        }
    }
    return 0;
}
