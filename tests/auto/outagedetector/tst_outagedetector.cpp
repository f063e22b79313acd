#include "decisions/lease.h"
#include "decisions/outagedetector.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <random>
#include <string>
#include <vector>

using namespace jackdawlead;
using namespace std::chrono_literals;
using decisions::ApiReachability;
using decisions::OutageDetector;

namespace {

constexpr core::TimePoint start(1h);

core::HostId host(std::size_t index)
{
    return core::HostId("daemon-" + std::to_string(index));
}

std::set<core::HostId> hosts(std::size_t count)
{
    std::set<core::HostId> all;
    for (std::size_t index = 0; index < count; ++index)
        all.insert(host(index));
    return all;
}

decisions::ApiState state(ApiReachability report, core::TimePoint reportedAt)
{
    return {report, reportedAt, reportedAt};
}

/// Daemons that exchange reports at random. Each one reaches the object API while its link is up.
struct Region
{
    Region(std::size_t count, unsigned seed)
        : random(seed)
        , detectors(count, OutageDetector({}))
        , isUp(count, true)
        , since(count, start)
    {
        for (OutageDetector &detector : detectors)
            detector.setDaemons(hosts(count));
    }

    void setUp(std::size_t index, bool value, core::TimePoint now)
    {
        if (isUp[index] != value)
            since[index] = now;
        isUp[index] = value;
    }

    void exchange(core::TimePoint now)
    {
        for (std::size_t index = 0; index < detectors.size(); ++index)
            detectors[index].recordReport(
                host(index),
                {isUp[index] ? ApiReachability::Reachable : ApiReachability::Unreachable, now,
                 since[index]});
        for (std::size_t index = 0; index < detectors.size(); ++index)
            for (const auto &[from, known] :
                 detectors[random() % detectors.size()].currentStates(now))
                if (random() % 10 != 0)
                    detectors[index].recordReport(from, known);
    }

    std::mt19937 random;
    std::vector<OutageDetector> detectors;
    std::vector<bool> isUp;
    std::vector<core::TimePoint> since;
};

struct Steps
{
    std::size_t outage = 0;
    std::size_t takeovers = 0;
};

/// Simulates one random run with one endpoint owned by daemon 0. The other daemons take over by the
/// rules of OwnershipTask.
void checkExclusion(std::mt19937 &random, unsigned run, Steps &steps)
{
    constexpr decisions::LeaseLimits takerLimits {.duration = 15s, .guard = 1s + 3s};
    constexpr core::Duration observation = takerLimits.duration + takerLimits.guard;
    const std::size_t count = 2 + random() % 7;
    Region region(count, random());
    std::vector<decisions::LeaseObserver> observers(count, decisions::LeaseObserver(takerLimits));
    decisions::LeaseHolder holder({});
    decisions::OutagePermit permit;
    std::uint64_t renewals = 0;
    for (core::TimePoint now = start; now < start + 120s; now += 250ms) {
        if (random() % 40 == 0) {
            const bool isWhole = random() % 2 == 0;
            for (std::size_t index = 0; index < count; ++index)
                region.setUp(index, random() % (isWhole ? 10 : 2) != 0, now);
        }
        region.exchange(now);
        if (region.isUp[0] && (now - start) % 5s == 0s) {
            ++renewals;
            holder.recordRenewal(now);
        }
        bool isTaken = false;
        for (std::size_t index = 1; index < count; ++index) {
            const bool isAnswering
                = region.isUp[index] && region.detectors[index].isReachableSince(now, now);
            if (isAnswering)
                observers[index].observe(std::to_string(renewals), now, now);
            else
                observers[index].resetObservation();
            isTaken = isTaken
                || (observers[index].hasExpired(now)
                    && region.detectors[index].isReachableSince(now - observation, now));
        }
        const bool isOutage = region.detectors[0].isOutage(now);
        const bool mayDispatch = permit.evaluate(holder.isValid(now), isOutage, now);
        steps.outage += mayDispatch && !holder.isValid(now);
        steps.takeovers += isTaken;
        cr_assert_not(mayDispatch && isTaken, "run %u", run);
        if (isTaken)
            return;
    }
}

} // namespace

// Guards against outage mode with a minority, with old reports, or with reports of unknown daemons.
Test(outagedetector, outageNeedsRecentMajority)
{
    OutageDetector detector({});
    cr_expect_not(detector.isOutage(start));
    cr_expect_not(detector.isReachableSince(start, start));
    detector.setDaemons(hosts(4));
    detector.recordReport(host(0), state(ApiReachability::Unreachable, start));
    detector.recordReport(host(1), state(ApiReachability::Unreachable, start + 1s));
    detector.recordReport(core::HostId("other"), state(ApiReachability::Unreachable, start + 1s));
    cr_expect_not(detector.isOutage(start + 1s), "two of four are no majority");
    detector.recordReport(host(2), state(ApiReachability::Unreachable, start + 2s));
    cr_expect(detector.isOutage(start + 3s));
    cr_expect_not(detector.isOutage(start + 3s + 1us), "the first report is too old");
    detector.recordReport(host(0), state(ApiReachability::Reachable, start + 4s));
    detector.recordReport(host(0), state(ApiReachability::Unreachable, start + 3s));
    cr_expect_not(detector.isOutage(start + 4s), "a late message does not restore an old report");
}

// Guards against a single daemon of a region that never serves in an outage.
Test(outagedetector, singleDaemonIsItsOwnMajority)
{
    OutageDetector detector({});
    detector.setDaemons(hosts(1));
    detector.recordReport(host(0), state(ApiReachability::Unreachable, start));
    cr_expect(detector.isOutage(start));
}

// Guards against a holder that dispatches in outage mode after a gap in which another daemon may
// have taken over.
Test(outagedetector, permitEndsAtFirstGap)
{
    decisions::OutagePermit permit;
    cr_expect_not(permit.evaluate(false, true, start), "never held a lease");
    cr_expect(permit.evaluate(true, false, start));
    cr_expect(permit.evaluate(false, true, start + 500ms));
    cr_expect_not(permit.evaluate(false, false, start + 1s));
    cr_expect_not(permit.evaluate(false, true, start + 1s + 500ms));
    cr_expect(permit.evaluate(true, true, start + 2s));
    cr_expect_not(permit.evaluate(false, true, start + 4s), "paused for two seconds");
}

// Guards against two daemons that serve one endpoint: for any link failures, a holder never
// dispatches in outage mode once another daemon may take over.
Test(outagedetector, outageDispatchExcludesTakeover)
{
    constexpr unsigned seed = 11;
    std::printf("seed %u\n", seed);
    std::mt19937 random(seed);
    Steps steps;
    for (unsigned run = 0; run < 3000; ++run)
        checkExclusion(random, run, steps);
    std::printf("%zu steps in outage mode, %zu takeovers\n", steps.outage, steps.takeovers);
    cr_expect_gt(steps.outage, 1000UL);
    cr_expect_gt(steps.takeovers, 100UL);
}
