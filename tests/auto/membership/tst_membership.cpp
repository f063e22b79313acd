#include "auto/membership/fleetsimulation.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <cstdio>

using namespace jackdawlead;
using namespace std::chrono_literals;
using decisions::Fact;
using decisions::FactKind;
using decisions::FactSubject;
using decisions::FactVersion;
using decisions::MemberState;
using tests::FleetSimulation;

namespace {

constexpr std::uint64_t seeds[] = {1, 2, 3};
// Limit on all control traffic of a daemon, in both directions together.
constexpr double maxBytesPerSecond = 13'000;

double seconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::size_t countKnowing(FleetSimulation &fleet, const Fact &fact)
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        const Fact *known = fleet.node(index).facts().find(fact.kind, fact.subject);
        count += known && known->version >= fact.version;
    }
    return count;
}

/// Number of nodes other than `subject` that have `state` recorded for it.
std::size_t countObservers(FleetSimulation &fleet, std::size_t subject, MemberState state)
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index)
        count += index != subject
            && fleet.node(index).stateOf(FleetSimulation::host(subject)) == state;
    return count;
}

struct Convergence
{
    core::Duration time;
    double messagesPerDaemon;
    double bytesPerDaemonAndSecond;
};

Convergence measureSpread(std::size_t count, bool isUrgent, std::uint64_t seed)
{
    FleetSimulation fleet(count, 0.0, seed);
    fleet.runFor(5s);
    const Fact fact {isUrgent ? FactKind::Generation : FactKind::ObjectApi, FactSubject("x"),
                     FactVersion(7), "daemon-0"};
    fleet.node(0).announce(fact, isUrgent);
    const std::uint64_t messages = fleet.messages();
    const std::uint64_t bytes = fleet.bytes();
    const core::Duration time
        = fleet.runUntil([&] { return countKnowing(fleet, fact) == count; }, 60s);
    fleet.runFor(std::max(core::Duration(10s) - time, core::Duration::zero()));
    const double perDaemon = 2.0 / static_cast<double>(count);
    return {time, static_cast<double>(fleet.messages() - messages) * perDaemon / 2,
            static_cast<double>(fleet.bytes() - bytes) * perDaemon
                / seconds(std::max(time, core::Duration(10s)))};
}

void checkSpread(std::size_t count, bool isUrgent, core::Duration limit)
{
    for (const std::uint64_t seed : seeds) {
        const Convergence result = measureSpread(count, isUrgent, seed);
        std::printf("seed %llu, %zu daemons, %s: all after %.2f s; %.1f messages per daemon and "
                    "%.0f bytes/s per daemon in both directions over 10 s\n",
                    static_cast<unsigned long long>(seed), count, isUrgent ? "urgent" : "ordinary",
                    seconds(result.time), result.messagesPerDaemon, result.bytesPerDaemonAndSecond);
        cr_expect_lt(result.time.count(), limit.count());
        cr_expect_lt(result.bytesPerDaemonAndSecond, maxBytesPerSecond);
    }
}

void checkDetection(std::size_t count, core::Duration limit)
{
    for (const std::uint64_t seed : seeds) {
        FleetSimulation fleet(count, 0.0, seed);
        fleet.runFor(5s);
        fleet.setStopped(1, true);
        const core::Duration first
            = fleet.runUntil([&] { return countObservers(fleet, 1, MemberState::Dead) > 0; }, 120s);
        const core::Duration remaining = fleet.runUntil(
            [&] { return countObservers(fleet, 1, MemberState::Dead) == count - 1; }, 120s);
        std::printf("seed %llu, %zu daemons: killed daemon removed by the first after %.2f s, by "
                    "all after %.2f s\n",
                    static_cast<unsigned long long>(seed), count, seconds(first),
                    seconds(first + remaining));
        cr_expect_lt((first + remaining).count(), limit.count());
    }
}

/// Runs with message loss and returns the number of (observer, subject) pairs ever seen as dead.
std::size_t falseRemovals(std::size_t count, double loss, core::Duration duration,
                          std::uint64_t seed)
{
    FleetSimulation fleet(count, loss, seed);
    std::size_t removals = 0;
    for (core::Duration time {}; time < duration; time += 1s) {
        fleet.runFor(1s);
        for (std::size_t subject = 0; subject < count; ++subject)
            removals += countObservers(fleet, subject, MemberState::Dead);
    }
    std::printf("seed %llu, %zu daemons, loss %.2f, %.0f s: %zu false removals, %.0f bytes/s per "
                "daemon in both directions\n",
                static_cast<unsigned long long>(seed), count, loss, seconds(duration), removals,
                2.0 * static_cast<double>(fleet.bytes()) / static_cast<double>(count)
                    / seconds(duration));
    return removals;
}

} // namespace

// Guards against an accepted configuration that does not reach all daemons within its time limit.
Test(membership, urgentFactReachesAllOf7)
{
    checkSpread(7, true, 2s);
}
Test(membership, urgentFactReachesAllOf360)
{
    checkSpread(360, true, 4s);
}
Test(membership, ordinaryFactReachesAllOf7)
{
    checkSpread(7, false, 8s);
}
Test(membership, ordinaryFactReachesAllOf360)
{
    checkSpread(360, false, 12s);
}

// Guards against a killed daemon that stays in use until the host list drops it.
Test(membership, killedDaemonIsRemovedByAllOf7)
{
    checkDetection(7, 12s);
}
Test(membership, killedDaemonIsRemovedByAllOf360)
{
    checkDetection(360, 30s);
}

// Guards against the removal of healthy daemons on a lossy network.
Test(membership, packetLossCausesNoFalseRemovalAmong7)
{
    for (const std::uint64_t seed : seeds)
        cr_expect_eq(falseRemovals(7, 0.05, 600s, seed), 0UL);
}
Test(membership, packetLossCausesNoFalseRemovalAmong360)
{
    cr_expect_eq(falseRemovals(360, 0.05, 60s, seeds[0]), 0UL);
}

// Guards against a paused daemon that stays removed after it resumed, or that removes all others.
Test(membership, pausedDaemonBecomesAliveAgain)
{
    for (const std::uint64_t seed : seeds) {
        std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
        FleetSimulation fleet(7, 0.0, seed);
        fleet.runFor(5s);
        fleet.setStopped(2, true);
        fleet.runFor(30s);
        cr_expect_eq(countObservers(fleet, 2, MemberState::Dead), 6UL);
        fleet.setStopped(2, false);
        const core::Duration time = fleet.runUntil(
            [&] { return countObservers(fleet, 2, MemberState::Alive) == 6; }, 60s);
        std::printf("alive again for all after %.2f s\n", seconds(time));
        cr_expect_lt(time.count(), core::Duration(15s).count());
        fleet.runFor(20s);
        for (std::size_t other = 0; other < 7; ++other)
            cr_expect_eq(countObservers(fleet, other, MemberState::Alive), 6UL);
    }
}

// Guards against two halves that never probe each other again after a partition has healed.
Test(membership, healedPartitionIsDetected)
{
    for (const std::uint64_t seed : seeds) {
        std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
        FleetSimulation fleet(8, 0.0, seed);
        for (std::size_t index = 0; index < 4; ++index)
            fleet.setGroup(index, 1);
        fleet.runFor(120s);
        cr_expect_eq(countObservers(fleet, 0, MemberState::Dead), 4UL);
        for (std::size_t index = 0; index < 4; ++index)
            fleet.setGroup(index, 0);
        const auto isWhole = [&] {
            for (std::size_t index = 0; index < 8; ++index)
                if (countObservers(fleet, index, MemberState::Alive) != 7)
                    return false;
            return true;
        };
        const core::Duration time = fleet.runUntil(isWhole, 120s);
        std::printf("healed after %.2f s\n", seconds(time));
        cr_expect_lt(time.count(), core::Duration(60s).count());
    }
}

// Guards against new work for a daemon that is leaving according to gossip or missing in the host
// list.
Test(membership, leavingOrUnlistedDaemonIsNotUsable)
{
    FleetSimulation fleet(7, 0.0, 1);
    fleet.runFor(5s);
    fleet.node(3).leave();
    const core::Duration time
        = fleet.runUntil([&] { return countObservers(fleet, 3, MemberState::Leaving) == 6; }, 10s);
    std::printf("leaving known to all after %.2f s\n", seconds(time));
    cr_expect_lt(time.count(), core::Duration(5s).count());
    cr_expect_not(fleet.node(0).isUsable(FleetSimulation::host(3)));
    fleet.node(0).setHosts({FleetSimulation::host(1)});
    cr_expect_not(fleet.node(0).isUsable(FleetSimulation::host(2)));
    cr_expect(fleet.node(0).isUsable(FleetSimulation::host(1)));
}

// Guards against messages and memory that grow with the number of facts.
Test(membership, factsAreBounded)
{
    decisions::FactStore store({.maxPerMessage = 5, .maxFacts = 10, .maxSubjectBytes = 20});
    const Fact member {FactKind::Member, FactSubject("m"), FactVersion(1), {}};
    cr_expect(store.merge(member));
    for (int index = 0; index < 100; ++index)
        cr_expect(store.merge(
            {FactKind::Quarantine, FactSubject("f" + std::to_string(index)), FactVersion(1), {}}));
    cr_expect_eq(store.size(), 10UL);
    cr_expect_not_null(store.find(FactKind::Member, FactSubject("m")));
    cr_expect_eq(store.take(100, 7).size(), 5UL);
    for (int message = 0; message < 100; ++message)
        store.take(100, 7);
    cr_expect_eq(store.pendingCount(), 0UL,
                 "every fact is retransmitted a bounded number of times");
    cr_expect_not(store.merge(member), "the same version is not newer");
    cr_expect_not(
        store.merge({FactKind::Member, FactSubject(std::string(21, 'x')), FactVersion(1), {}}));
}

// Guards against malformed messages of a peer that are partly accepted or stop the daemon.
Test(membership, malformedFactsAreRejected)
{
    const std::vector<Fact> facts {{FactKind::ObjectApi, FactSubject("h"), FactVersion(3), "up"}};
    const auto good = serving::factsFromJson(serving::factsToJson(facts));
    cr_assert(good.ok());
    cr_expect(*good == facts);
    for (const char *text :
         {"null", "{}", "[1]", "[[0]]", "[[9,\"h\",1,\"\"]]", "[[0,\"h\",-1,\"\"]]",
          "[[0,1,1,\"\"]]", "[[0,\"h\",1,\"\"],[0,\"h\",1]]"})
        cr_expect_not(serving::factsFromJson(nlohmann::json::parse(text)).ok(), "%s", text);
    cr_expect_not(serving::factsFromJson(nlohmann::json(1000, {0, "h", 1, ""})).ok());
}
