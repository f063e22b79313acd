#include "relayfixture.h"

#include <algorithm>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

constexpr int leavingCount = 5;
constexpr core::Duration cutPeriod = milliseconds(500);
constexpr core::Duration drainBound = std::chrono::seconds(3);

/// A fleet that follows the store while it cuts off all waiting watches twice a second.
struct CutFixture : Fixture
{
    net::TimerService::Subscription cutTimer;

    CutFixture()
    {
        for (int number = 0; number < leavingCount; ++number)
            store.put("servers", idOf(number), endpoint.record("plain"));
        const auto knowsAll = [](const Follower &daemon) {
            return daemon.watch.endpoints().size() == leavingCount + 1;
        };
        cr_assert(waitUntil([&] { return knowsAll(relayDaemon) && knowsAll(follower); }));
        cutTimer = timers.every(cutPeriod, [this] { store.cutWatches(); });
        runLoopFor(std::chrono::seconds(1));
    }

    static std::string idOf(int number) { return "leaving" + std::to_string(number); }

    /// Removes endpoints at several moments between two cuts, and returns how long the slowest one
    /// stayed known to `daemon`.
    core::Duration slowestRemoval(const Follower &daemon)
    {
        core::Duration slowest {};
        for (int number = 0; number < leavingCount; ++number) {
            runLoopFor(milliseconds(90));
            const core::EndpointId id(idOf(number));
            const core::TimePoint removedAt = timers.now();
            store.remove("servers", id.value());
            cr_assert(waitUntil([&] { return daemon.watch.endpoint(id) == nullptr; }));
            slowest = std::max(slowest, timers.now() - removedAt);
        }
        return slowest;
    }
};

} // namespace

// Guards against an endpoint that stays in use because the store cuts off waiting watches: each cut
// counted as an outage, and its end extended the use of endpoints that had been removed before.
Test(cutwatches, removedEndpointIsDroppedWithinTheBound, .timeout = 120)
{
    CutFixture fixture;
    cr_assert_lt(fixture.slowestRemoval(fixture.relayDaemon), drainBound);
}

// The same behind a relay, whose waiting daemons each cut rejected.
Test(cutwatches, followerBehindRelayDropsRemovedEndpoints, .timeout = 120)
{
    CutFixture fixture;
    cr_assert_lt(fixture.slowestRemoval(fixture.follower), drainBound);
}

// Guards against a cut watch that counts as a failure of the store: the daemon suspended watches of
// all kinds, and a relay rejected the daemons that waited there.
Test(cutwatches, cutWatchIsNoFailureOfTheStore, .timeout = 60)
{
    CutFixture fixture;
    fixture.follower.transport.setRelays(std::nullopt, std::nullopt);
    for (int check = 0; check < 40; ++check) {
        fixture.runLoopFor(milliseconds(73));
        cr_assert(fixture.relayDaemon.watch.isStoreReachable());
        cr_assert(fixture.follower.watch.isStoreReachable());
    }
}

// Guards against configurations that exceed their bound of 3 s while watches are cut off.
Test(cutwatches, configurationsArriveWithinTheBound, .timeout = 60)
{
    CutFixture fixture;
    for (int version = 2; version < 8; ++version) {
        fixture.store.put("config", "main", configuration(version));
        const auto generation = static_cast<std::uint64_t>(version);
        cr_assert(fixture.waitUntil(
            [&] {
                return fixture.relayDaemon.generation() == generation
                    && fixture.follower.generation() == generation;
            },
            std::chrono::seconds(3)));
        fixture.runLoopFor(milliseconds(310));
    }
}

// Guards against endpoints that are dropped although they only could not renew their entries: an
// outage that is longer than the interval of the renewals lets them return.
Test(cutwatches, endpointReturnsAfterAnOutage, .timeout = 60)
{
    CutFixture fixture;
    fixture.cutTimer.cancel();
    fixture.store.setMode(FakeStore::Mode::Refusing);
    fixture.store.cutWatches();
    fixture.runLoopFor(milliseconds(1500));
    const std::string id = CutFixture::idOf(0);
    fixture.store.remove("servers", id);
    fixture.store.setMode(FakeStore::Mode::Serving);
    fixture.runLoopFor(milliseconds(1800));
    fixture.store.put("servers", id, fixture.endpoint.record("plain"));
    fixture.runLoopFor(milliseconds(1500));
    cr_assert_eq(fixture.relayDaemon.removalsSeen, 0);
    cr_assert(fixture.relayDaemon.watch.endpoint(core::EndpointId(id)) != nullptr);
}

// Guards against an endpoint that has left and stays in use while outages follow one another: the
// end of its time to return is fixed when its entry is found missing.
Test(cutwatches, laterOutagesDoNotExtendTheUseOfAnEndpoint, .timeout = 60)
{
    CutFixture fixture;
    fixture.cutTimer.cancel();
    const core::EndpointId id(CutFixture::idOf(0));
    fixture.store.setMode(FakeStore::Mode::Refusing);
    fixture.store.cutWatches();
    fixture.runLoopFor(milliseconds(1500));
    fixture.store.remove("servers", id.value());
    fixture.store.setMode(FakeStore::Mode::Serving);
    // The entry is found missing when the daemon regains the store, after a second at most.
    fixture.runLoopFor(milliseconds(1600));
    cr_assert(fixture.relayDaemon.watch.endpoint(id) != nullptr);
    const core::TimePoint end = fixture.timers.now() + milliseconds(2200);
    fixture.store.setMode(FakeStore::Mode::Refusing);
    fixture.store.cutWatches();
    fixture.runLoopFor(milliseconds(300));
    fixture.store.setMode(FakeStore::Mode::Serving);
    cr_assert(fixture.waitUntil([&] { return fixture.relayDaemon.watch.endpoint(id) == nullptr; }));
    cr_assert_lt(fixture.timers.now(), end + milliseconds(100));
}
