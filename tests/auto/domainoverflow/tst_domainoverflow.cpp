#include "auto/domainoverflow/overflowpolicy.h"

#include <criterion/criterion.h>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace jackdawlead;
using namespace jackdawlead::decisions;
using namespace jackdawlead::decisions::routing;
using namespace jackdawlead::testsupport;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double allowedCredit = 0.05;
constexpr double allowedBytes = 1.2;

template <typename Policy> OverflowResult resultOf(OverflowScenario scenario)
{
    constexpr std::uint64_t seeds = 2;
    OverflowResult mean;
    for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed) {
        const OverflowResult result = OverflowSimulation<Policy>(scenario).run();
        mean.shortCredit += result.shortCredit / seeds;
        mean.otherCredit += result.otherCredit / seeds;
        mean.domainBytes += result.domainBytes / seeds;
        mean.regionBytes += result.regionBytes / seeds;
        mean.bytes += result.bytes / seeds;
        mean.mostTaken = std::max(mean.mostTaken, result.mostTaken);
    }
    return mean;
}

/// Compares the rule with the oracle. Bytes between regions count four times.
OverflowResult checkAgainstOracle(const char *load, const OverflowScenario &scenario)
{
    const OverflowResult oracle = resultOf<Oracle>(scenario);
    const OverflowResult overflow = resultOf<Overflow>(scenario);
    cr_log_info("%s, seeds 1 and 2: credit %.3f, oracle %.3f; bytes %.0f, oracle %.0f", load,
                overflow.shortCredit, oracle.shortCredit, overflow.bytes, oracle.bytes);
    cr_expect_geq(overflow.shortCredit, oracle.shortCredit - allowedCredit, "%s: credit %.3f", load,
                  overflow.shortCredit);
    cr_expect_geq(overflow.otherCredit, oracle.otherCredit - allowedCredit,
                  "%s: credit of the others %.3f", load, overflow.otherCredit);
    cr_expect_leq(overflow.bytes, allowedBytes * oracle.bytes, "%s: bytes %.0f", load,
                  overflow.bytes);
    return overflow;
}

DomainState stateOf(const char *domain, Distance distance, double load)
{
    return {core::FailureDomainId(domain), distance, 320, load, load / 12};
}

OverflowRequest requestAt(std::optional<core::Duration> age)
{
    return {core::ServiceId("chat"), milliseconds(800), {}, age, 12, 320};
}

} // namespace

// Guards against a short domain that keeps requests which free neighbours would answer in time, and
// against neighbours that get more than the surplus.
// Load: one domain at 1.4 and 2.2 of what it serves, the others at 0.5 and 0.7.
Test(domainoverflow, surplusOfOneShortDomainLeaves, .timeout = 120)
{
    checkAgainstOracle("1.4 and 0.5", {});
    checkAgainstOracle("2.2 and 0.7", {.demand = {2.2, 0.7, 0.7, 0.7, 0.7, 0.7}});
}

// Guards against paid traffic that serves nobody earlier. Load: all domains at 0.8.
Test(domainoverflow, nothingLeavesWhileNoDomainIsShort, .timeout = 120)
{
    const OverflowScenario scenario {.demand = {0.8, 0.8, 0.8, 0.8, 0.8, 0.8}};
    const OverflowResult result = resultOf<Overflow>(scenario);
    cr_assert_eq(result.bytes, 0);
    cr_assert_geq(result.otherCredit, 0.99);
}

// Guards against requests that change places between domains which are all too busy.
// Load: all domains at 1.2.
Test(domainoverflow, nothingLeavesWhileAllAreShort, .timeout = 120)
{
    const OverflowScenario scenario {.demand = {1.2, 1.2, 1.2, 1.2, 1.2, 1.2}};
    const OverflowResult constants = resultOf<ConstantCosts>(scenario);
    const OverflowResult result = resultOf<Overflow>(scenario);
    cr_assert_leq(result.bytes, constants.bytes / 100);
    cr_assert_geq(result.shortCredit, constants.shortCredit - allowedCredit);
}

// Guards against a rule that counts slots and not times. Load: one domain at 1.4; a neighbour at
// 0.35 of its own, 3.5 times slower than the others, so that it misses the target.
Test(domainoverflow, slowNeighbourGetsNoSurplus, .timeout = 120)
{
    checkAgainstOracle("slow neighbour",
                       {.demand = {1.4, 0.1, 0.5, 0.5, 0.5, 0.5},
                        .slowness = {1, 3.5, 1, 1, 1, 1},
                        .prefill = milliseconds(300)});
}

// Guards against a link between regions that is filled until its answers are late. Load: a region
// at 1.15, 0.97 and 0.97, the other one at 0.4; 4 Mbit/s between them.
Test(domainoverflow, narrowLinkIsNotOverfilled, .timeout = 120)
{
    checkAgainstOracle(
        "narrow link",
        {.demand = {1.15, 0.97, 0.97, 0.4, 0.4, 0.4}, .linkBytesPerSecond = 4e6 / 8});
}

// Guards against requests that keep going to a region which does not answer, and against one that
// is not used again afterwards. Load: a region at 1.4, 0.97 and 0.97, the other one at 0.4; cut for
// 10 s, or a tenth of the requests between the regions lost.
Test(domainoverflow, brokenLinkIsAvoided, .timeout = 120)
{
    OverflowScenario scenario {.demand = {1.4, 0.97, 0.97, 0.4, 0.4, 0.4}};
    scenario.regionsCut = Window {seconds(15), seconds(25)};
    checkAgainstOracle("cut", scenario);
    scenario.regionsCut.reset();
    scenario.lossProbability = 0.1;
    checkAgainstOracle("lossy", scenario);
}

// Guards against a share that swings between nothing and all because its effect shows late.
// Load: one domain at 1.4, the others at 0.5; loads 3 s old.
Test(domainoverflow, staleLoadsDoNotMakeTheShareSwing, .timeout = 120)
{
    checkAgainstOracle("loads 3 s old", {.viewDelay = seconds(3)});
}

// Guards against a shortage that is not seen, or not left, without a coordinator.
// Load: one domain at 1.4, the others at 0.5; no loads for 10 s. Traffic to the other region counts
// once here: with four times its price the rule needs 1.4 times the oracle's.
Test(domainoverflow, shortageIsServedWithoutCoordinator, .timeout = 120)
{
    const OverflowScenario scenario {.coordinatorLost = Window {seconds(15), seconds(25)}};
    const OverflowResult oracle = resultOf<Oracle>(scenario);
    const OverflowResult result = resultOf<Overflow>(scenario);
    cr_assert_geq(result.shortCredit, oracle.shortCredit - allowedCredit);
    cr_assert_leq(result.domainBytes + result.regionBytes,
                  allowedBytes * (oracle.domainBytes + oracle.regionBytes));
}

// Guards against a short burst that is sent away although the queue serves it in time.
// Load: one domain at 0.5 with 2.0 for 1.5 s, the others at 0.5.
Test(domainoverflow, shortBurstStaysMostly, .timeout = 120)
{
    OverflowScenario scenario {.demand = {2.0, 0.5, 0.5, 0.5, 0.5, 0.5}};
    scenario.burst = Window {seconds(20), milliseconds(21500)};
    checkAgainstOracle("burst", scenario);
}

// Guards against a jump of demand that sends more to one neighbour at once than a rule does which
// knows all loads. Load: one domain jumps from 0.5 to 1.8 at 20 s; one neighbour of the region is
// at 0.2 and one at 0.4.
Test(domainoverflow, jumpOfDemandDoesNotFloodOneNeighbour, .timeout = 120)
{
    OverflowScenario scenario {.demand = {1.8, 0.2, 0.4, 0.5, 0.5, 0.5}};
    scenario.burst = Window {seconds(20), seconds(40)};
    const OverflowResult result = checkAgainstOracle("jump to 1.8", scenario);
    cr_assert_leq(result.mostTaken, resultOf<Oracle>(scenario).mostTaken,
                  "one neighbour took %.0f in 500 ms", result.mostTaken);
}

// Guards against two short domains that fill one neighbour in turns and then both leave it.
// Load: two domains of a region at 1.4, the third at 0.3, the others at 0.5.
Test(domainoverflow, twoShortDomainsShareANeighbour, .timeout = 120)
{
    checkAgainstOracle("two short domains", {.demand = {1.4, 1.4, 0.3, 0.5, 0.5, 0.5}});
}

// Guards against 12 daemons that all send to the neighbour which looks best, and against neighbours
// that get more than what exceeds the capacity. Load: 12 daemons with 18 requests a second each see
// the same views: their domain at 1.2 of its slots, and two neighbours with 256 and 192 free ones.
Test(domainoverflow, herdOfTwelveDividesTheSurplus)
{
    constexpr int daemons = 12;
    constexpr int requests = 180;
    std::vector<DomainOverflow> overflows(daemons);
    std::mt19937_64 random(20261207);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::map<std::string, int> sends;
    for (int number = 0; number < requests; ++number) {
        const core::TimePoint now(seconds(10) + seconds(1) * number / 18);
        for (DomainOverflow &overflow : overflows) {
            overflow.recordSend(core::ServiceId("chat"), now);
            const auto decision = overflow.decide(
                {stateOf("a", Distance::SameDomain, 384), stateOf("b", Distance::SameRegion, 64),
                 stateOf("c", Distance::SameRegion, 128), stateOf("d", Distance::OtherRegion, 0)},
                requestAt(milliseconds(300)), uniform(random), now);
            // The rates are known after some seconds.
            if (number >= requests / 2)
                ++sends[decision.domain ? decision.domain->value() : "a"];
        }
    }
    const double leaving = sends["b"] + sends["c"] + sends["d"];
    cr_expect_float_eq(sends["b"] / leaving, 0.55, 0.1, "share of b %.2f", sends["b"] / leaving);
    // 216 requests a second, of which the domain serves 178; the wait calls for somewhat more.
    const double share = leaving / (daemons * requests / 2.0);
    cr_expect(share > 0.1 && share < 0.4, "leaving share %.2f", share);
    cr_expect_lt(sends["d"], leaving / 20);
}

// Guards against unknown loads that count as free slots, or as none. Load: this domain at 1.3 by
// the requests of its own daemons, its neighbour unknown.
Test(domainoverflow, unknownLoadsAreNeitherAllNorNothing)
{
    const auto leavingOf = [](std::optional<core::Duration> age) {
        DomainOverflow overflow;
        int leaving = 0;
        constexpr int requests = 1000;
        for (int number = 0; number < requests; ++number) {
            const core::TimePoint now(seconds(10) + milliseconds(60) * number);
            overflow.recordSend(core::ServiceId("chat"), now);
            const auto decision = overflow.decide(
                {stateOf("a", Distance::SameDomain, 416), stateOf("b", Distance::SameRegion, 0)},
                requestAt(age), number / static_cast<double>(requests), now);
            leaving += decision.distance == Distance::SameRegion ? 1 : 0;
        }
        return leaving;
    };
    const int known = leavingOf(milliseconds(300));
    const int unknown = leavingOf(std::nullopt);
    cr_assert_gt(unknown, 0);
    cr_assert_lt(unknown, known / 2, "%d with unknown loads, %d with known ones", unknown, known);
}

// Guards against requests that all wait for the time-out of a link which was just found broken.
// Load: 20 requests a second at each of 12 daemons, their domain at 1.3, one neighbour of the
// region, which fails.
Test(domainoverflow, failedNeighbourIsTriedByOneRequest)
{
    DomainOverflow overflow;
    const core::ServiceId service("chat");
    const core::FailureDomainId neighbour("b");
    // The sends to the neighbour in 3 s; each of them draws the lowest number.
    const auto sendsFrom = [&](core::TimePoint begin, int requests) {
        int sends = 0;
        for (int number = 0; number < requests; ++number) {
            const core::TimePoint now = begin + milliseconds(50) * number;
            overflow.recordSend(service, now);
            const auto decision = overflow.decide(
                {stateOf("a", Distance::SameDomain, 416), stateOf("b", Distance::SameRegion, 64)},
                requestAt(milliseconds(300)), 0, now);
            sends += decision.domain == neighbour ? 1 : 0;
        }
        return sends;
    };
    const core::TimePoint begin(seconds(10));
    cr_assert_eq(sendsFrom(begin, 60), 60);
    overflow.recordFailure(service, neighbour, begin + seconds(3));
    cr_assert_eq(sendsFrom(begin + seconds(3), 38), 0);
    cr_assert_eq(sendsFrom(begin + seconds(5), 38), 1);
    overflow.recordFirstEvent(service, neighbour, milliseconds(110), 0.2, begin + seconds(7));
    cr_assert_eq(sendsFrom(begin + seconds(7), 20), 20);
}

// Guards against a neighbour or link that gets its full part although its answers come later and
// later. Load: as above, with two equal neighbours, of which one answers 280 ms later.
Test(domainoverflow, neighbourThatAnswersLateGetsNothing)
{
    DomainOverflow overflow;
    const core::ServiceId service("chat");
    std::map<std::string, int> sends;
    constexpr int requests = 100;
    for (int number = 0; number < requests; ++number) {
        const core::TimePoint now(seconds(10) + milliseconds(50) * number);
        overflow.recordSend(service, now);
        overflow.recordFirstEvent(service, core::FailureDomainId("a"), milliseconds(100), 0.5, now);
        overflow.recordFirstEvent(service, core::FailureDomainId("b"), milliseconds(380), 0.5, now);
        overflow.recordFirstEvent(service, core::FailureDomainId("c"), milliseconds(103), 0.5, now);
        const auto decision = overflow.decide(
            {stateOf("a", Distance::SameDomain, 416), stateOf("b", Distance::SameRegion, 64),
             stateOf("c", Distance::SameRegion, 64)},
            requestAt(milliseconds(300)), number / static_cast<double>(requests), now);
        ++sends[decision.domain ? decision.domain->value() : "a"];
    }
    cr_assert_eq(sends["b"], 0);
    cr_assert_gt(sends["c"], requests / 10);
}

// Guards against a beginning and an end in turns while a domain is at the edge of a shortage.
// Load: this domain in turns at 1.0 and at 1.3 for 250 ms each.
Test(domainoverflow, shortageDoesNotEndBetweenTwoPeaks)
{
    DomainOverflow overflow;
    const core::ServiceId service("chat");
    int changes = 0;
    bool wasSendingAway = false;
    for (int step = 0; step < 400; ++step) {
        const core::TimePoint now(seconds(10) + milliseconds(50) * step);
        const bool isPeak = step / 5 % 2 == 0;
        overflow.recordSend(service, now);
        overflow.decide({stateOf("a", Distance::SameDomain, isPeak ? 416 : 320),
                         stateOf("b", Distance::SameRegion, 100)},
                        requestAt(milliseconds(300)), 0.5, now);
        changes += overflow.isSendingAway(service) != wasSendingAway ? 1 : 0;
        wasSendingAway = overflow.isSendingAway(service);
    }
    cr_assert_eq(changes, 1);
}

// Guards against a choice that differs from the former one while no distance costs are set.
// Load: 2,000 drawn sets of 60 endpoints. The constants are repeated here on purpose.
Test(domainoverflow, choiceWithoutCostsIsTheFormerOne)
{
    std::mt19937_64 random(20261207);
    std::uniform_real_distribution<double> uniform(0, 1);
    for (int round = 0; round < 2000; ++round) {
        std::vector<EndpointOption> options(60);
        for (std::size_t index = 0; index < options.size(); ++index) {
            EndpointOption &option = options[index];
            option.endpoint = core::EndpointId(std::to_string(index));
            option.slots = 32;
            option.load = 60 * uniform(random);
            option.distance = static_cast<Distance>(index % 3);
            option.isConnected = uniform(random) < 0.5;
        }
        std::vector<EndpointOption> explicitCosts = options;
        for (EndpointOption &option : explicitCosts) {
            constexpr double formerCosts[] = {0, 0.1, 0.5};
            option.distanceCost = formerCosts[static_cast<int>(option.distance)];
        }
        const double draw = uniform(random);
        cr_assert(chooseEndpoint(options, draw, 4).endpoint
                  == chooseEndpoint(explicitCosts, draw, 4).endpoint);
    }
}
