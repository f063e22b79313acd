#include "relayfixture.h"

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

// Guards against each of 85 daemons watching the store for the same changes: 8,800 calls in a day
// of 40 seconds cost more than all refused requests.
Test(watchrelay, followersDoNotWatchTheStore, .timeout = 60)
{
    Fixture fixture;
    const int before = fixture.store.watches();
    fixture.runLoopFor(milliseconds(2500));
    // Three kinds; the relay's own watch of each waits 1.5 s.
    cr_assert_leq(fixture.store.watches() - before, 3 * 3);
    cr_assert_gt(fixture.relayRequests, 3);
    fixture.store.put("config", "main", configuration(2));
    cr_assert(
        fixture.waitUntil([&] { return fixture.follower.generation() == 2; }, milliseconds(200)));
}

// Guards against a configuration that exceeds its bound of 3 s because the relay crashed or hangs.
Test(watchrelay, silentRelayIsReplacedWithinTheBound, .timeout = 60)
{
    Fixture fixture;
    fixture.isRelaySilent = true;
    fixture.store.put("config", "main", configuration(2));
    cr_assert(fixture.waitUntil([&] { return fixture.follower.generation() == 2; },
                                std::chrono::seconds(3)));
}

// Guards against a configuration that is late because a daemon waits in full for each of two silent
// relays. The rest of the 3 s covers a store that answers late.
Test(watchrelay, twoSilentRelaysAreLeftEarly, .timeout = 60)
{
    Fixture fixture;
    http::Server spare(fixture.loop, fixture.timers,
                       [&](const auto &exchange) { fixture.unanswered.push_back(exchange); });
    cr_assert(spare.listen(fixture.spareRelayAddress).ok());
    fixture.follower.transport.setRelays(fixture.relayAddress, fixture.spareRelayAddress);
    fixture.isRelaySilent = true;
    const int before = fixture.relayRequests;
    cr_assert(fixture.waitUntil([&] { return fixture.relayRequests >= before + 3; }));
    fixture.store.put("config", "main", configuration(2));
    cr_assert(
        fixture.waitUntil([&] { return fixture.follower.generation() == 2; }, milliseconds(2000)));
}

// Guards against a relay that cannot reach the store and still answers watches as if nothing had
// changed.
Test(watchrelay, relayWithoutTheStoreRejectsWatches, .timeout = 60)
{
    Fixture fixture;
    // The relay's calls stay unanswered; the follower receives the configuration afterwards.
    fixture.store.setMode(FakeStore::Mode::Silent);
    fixture.runLoopFor(milliseconds(2000));
    const int before = fixture.relayRequests;
    fixture.store.setMode(FakeStore::Mode::Serving);
    fixture.store.put("config", "main", configuration(2));
    cr_assert(fixture.waitUntil([&] { return fixture.follower.generation() == 2; },
                                std::chrono::seconds(3)));
    cr_assert_gt(before, 0);
}

// Guards against relaying each change of endpoints' contents, which occurs with each order, to
// every daemon, and against suppressing that an endpoint is leaving.
Test(watchrelay, contentsAreNotRelayedButLeavingIs, .timeout = 60)
{
    Fixture fixture;
    const int before = fixture.follower.endpointsSeen;
    json record = fixture.endpoint.record("plain");
    record["seq"] = 5;
    record["models"] = json::array();
    fixture.store.put("servers", fixture.endpoint.id, record);
    fixture.runLoopFor(milliseconds(1500));
    cr_assert_eq(fixture.follower.endpointsSeen, before);
    record["state"] = "draining";
    fixture.store.put("servers", fixture.endpoint.id, record);
    cr_assert(fixture.waitUntil([&] { return fixture.follower.leavingSeen == 1; },
                                std::chrono::seconds(3)));
}

// Guards against two daemons that use each other as relay and receive no changes any more.
Test(watchrelay, daemonsThatNameEachOtherAsRelayReachTheStore, .timeout = 60)
{
    Fixture fixture;
    fixture.relayDaemon.transport.setRelays(fixture.relayAddress, std::nullopt);
    fixture.relayDaemon.transport.setIsRelay(false);
    fixture.relayDaemon.relay.deactivate();
    fixture.store.put("config", "main", configuration(2));
    cr_assert(fixture.waitUntil(
        [&] { return fixture.follower.generation() == 2 && fixture.relayDaemon.generation() == 2; },
        std::chrono::seconds(3)));
}

// Guards against each of 195 daemons listing all kinds again whenever the store loses its history:
// the relay determines the changes, and the watches of the others continue. A day of 34 seconds
// with six such losses had 17,000 calls.
Test(watchrelay, onlyTheRelayListsAgainAfterLostHistory, .timeout = 60)
{
    Fixture fixture;
    json record = fixture.endpoint.record("plain");
    record["state"] = "draining";
    fixture.store.suspendWatches();
    fixture.store.put("servers", fixture.endpoint.id, record);
    fixture.store.put("config", "main", configuration(2));
    fixture.store.compactHistory();
    const int lists = fixture.store.lists();
    const int watches = fixture.store.watches();
    cr_assert(fixture.waitUntil(
        [&] { return fixture.follower.generation() == 2 && fixture.follower.leavingSeen == 1; },
        std::chrono::seconds(5)));
    // One list of each kind by the relay.
    cr_assert_leq(fixture.store.lists() - lists, 3);
    cr_assert_leq(fixture.store.watches() - watches, 4 * 3);
    // An object that the relay's list no longer contains is removed at followers as well.
    fixture.store.remove("servers", fixture.endpoint.id);
    fixture.store.compactHistory();
    cr_assert(fixture.waitUntil([&] { return fixture.follower.removalsSeen == 1; },
                                std::chrono::seconds(5)));
}

// Guards against an endpoint that left without notice being used for over two seconds longer
// because the relay was lost: the failure of a relay doesn't imply a failure of the store. The
// bound is 3 s.
Test(watchrelay, lostRelayDoesNotDelayEndpointRemoval, .timeout = 60)
{
    Fixture fixture;
    fixture.isRelaySilent = true;
    fixture.store.remove("servers", fixture.endpoint.id);
    cr_assert(
        fixture.waitUntil([&] { return fixture.follower.removalsSeen == 1; }, milliseconds(2500)));
}

// The same while the relay has lost the store and reports it.
Test(watchrelay, relayWithoutTheStoreDoesNotDelayEndpointRemoval, .timeout = 60)
{
    Fixture fixture;
    fixture.relayDaemon.relay.recordStoreFailure(platform::ObjectKind::Endpoints);
    fixture.store.remove("servers", fixture.endpoint.id);
    cr_assert(
        fixture.waitUntil([&] { return fixture.follower.removalsSeen == 1; }, milliseconds(2500)));
}

// Guards against all daemons calling a store that is down: they call two relays, whose calls are
// not priced, and the store itself only every few seconds.
Test(watchrelay, followerRarelyCallsTheStoreDuringAnOutage, .timeout = 60)
{
    Fixture fixture;
    // The spare relay is the same daemon at another address; both report that the store is lost.
    http::Server spare(fixture.loop, fixture.timers,
                       [&](const auto &exchange) { fixture.serve(exchange); });
    cr_assert(spare.listen(fixture.spareRelayAddress).ok());
    fixture.follower.transport.setRelays(fixture.relayAddress, fixture.spareRelayAddress);
    fixture.store.setMode(FakeStore::Mode::Refusing);
    for (const auto kind : {platform::ObjectKind::Configuration, platform::ObjectKind::Endpoints,
                            platform::ObjectKind::AdapterVersions})
        fixture.relayDaemon.relay.recordStoreFailure(kind);
    const auto before = fixture.followerStoreCalls();
    fixture.runLoopFor(std::chrono::seconds(4));
    const auto own = fixture.followerStoreCalls() - before;
    // The three kinds at once, then one each 2.5 s; without relays 18 in this time.
    cr_assert_leq(own, 3 + 2, "%d calls", static_cast<int>(own));
    // Afterwards the daemon reaches the store again within seconds.
    fixture.store.setMode(FakeStore::Mode::Serving);
    fixture.store.put("config", "main", configuration(2));
    cr_assert(fixture.waitUntil([&] { return fixture.follower.generation() == 2; },
                                std::chrono::seconds(3)));
}

// Guards against two relays that are each other's spare relay and so watch through each other: none
// of 195 daemons received a configuration any more.
Test(watchrelay, relayDoesNotWatchThroughItsSpare, .timeout = 60)
{
    Fixture fixture;
    fixture.relayDaemon.transport.setRelays(std::nullopt, fixture.relayAddress);
    fixture.relayDaemon.transport.setIsRelay(true);
    fixture.runLoopFor(milliseconds(1800));
    const int before = fixture.relayRequests;
    fixture.store.put("config", "main", configuration(2));
    cr_assert(fixture.waitUntil([&] { return fixture.relayDaemon.generation() == 2; },
                                milliseconds(500)));
    cr_assert_leq(fixture.relayRequests - before, 3); // The follower's only.
}

// Guards against a daemon that lost its relay and calls the store although the spare relay could
// serve it.
Test(watchrelay, spareRelayServesWhenTheRelayIsUnreachable, .timeout = 60)
{
    Fixture fixture;
    const net::Address closedAddress {"127.0.0.1", fixture.ports.take()};
    fixture.follower.transport.setRelays(closedAddress, fixture.relayAddress);
    fixture.runLoopFor(milliseconds(1500));
    const auto before = fixture.followerStoreCalls();
    fixture.store.put("config", "main", configuration(2));
    cr_assert(
        fixture.waitUntil([&] { return fixture.follower.generation() == 2; }, milliseconds(500)));
    fixture.runLoopFor(milliseconds(100));
    cr_assert_eq(fixture.followerStoreCalls(), before);
}

// Guards against an older adapter version that is used past its bound of 5 s because the answers of
// the store reach the relay late: a follower then took an announcement for as recent as the last
// answer of its relay.
Test(watchrelay, lateAnswersDoNotExtendTheUseOfAnOldVersion, .timeout = 120)
{
    constexpr core::Duration bound = std::chrono::seconds(5);
    constexpr int announcements = 80;
    struct Announcement
    {
        fleet::AdapterKey key;
        core::TimePoint at;
    };
    Fixture fixture;
    fixture.store.delayWatchAnswers("versions", milliseconds(2200), 2);
    std::vector<Announcement> superseding;
    const auto checkRequired = [&] {
        const core::TimePoint now = fixture.timers.now();
        std::erase_if(superseding, [&](const Announcement &announcement) {
            const bool isRequired
                = fixture.follower.watch.lowestAllowedVersion(announcement.key).value_or(0) == 2;
            cr_assert(isRequired || now - announcement.at <= bound, "%s: %.2f s after it",
                      announcement.key.toString().c_str(), core::toSeconds(now - announcement.at));
            return isRequired;
        });
        return superseding.empty();
    };
    for (int number = 0; number < announcements; ++number) {
        const std::string adapter = "a" + std::to_string(number);
        fixture.store.put("versions", "m." + adapter,
                          {{"model", "m"}, {"adapter", adapter}, {"version", 2}});
        superseding.push_back(
            {{core::ModelId("m"), core::AdapterId(adapter)}, fixture.timers.now()});
        fixture.runLoopFor(milliseconds(430));
        checkRequired();
    }
    cr_assert(fixture.waitUntil(checkRequired, 2 * bound));
}

// Guards against a daemon that learns of no version while all answers of the store are late: a
// watch was given up 0.8 s after its wait, and so was each repetition, and the answers were
// discarded.
Test(watchrelay, announcementsAreLearnedWhileAllAnswersAreLate, .timeout = 120)
{
    Fixture fixture;
    fixture.store.delayWatchAnswers("versions", milliseconds(1500), 1);
    for (int version = 3; version < 8; ++version) {
        fixture.store.put("versions", "m.a",
                          {{"model", "m"}, {"adapter", "a"}, {"version", version}});
        const auto isRequired = [version](const Follower &daemon) {
            const fleet::AdapterKey key {core::ModelId("m"), core::AdapterId("a")};
            return daemon.watch.lowestAllowedVersion(key) == version;
        };
        cr_assert(fixture.waitUntil([&] { return isRequired(fixture.relayDaemon); }),
                  "the relay does not know version %d", version);
        cr_assert(fixture.waitUntil([&] { return isRequired(fixture.follower); }),
                  "the daemon behind the relay does not know version %d", version);
    }
}

// Guards against a daemon that looks through its requests once for each of some ten thousand
// adapters when it starts: none was sent before the versions were known.
Test(watchrelay, versionsOfTheInitialListExpireNoRequests, .timeout = 60)
{
    Fixture fixture;
    const fleet::AdapterKey key {core::ModelId("m"), core::AdapterId("a")};
    cr_assert_eq(fixture.follower.watch.lowestAllowedVersion(key).value_or(0), 2);
    fixture.runLoopFor(milliseconds(300));
    cr_assert_eq(fixture.follower.versionsExpired, 0);
    fixture.store.put("versions", "m.a", {{"model", "m"}, {"adapter", "a"}, {"version", 3}});
    cr_assert(fixture.waitUntil([&] { return fixture.follower.versionsExpired == 1; },
                                std::chrono::seconds(5)));
}

// Guards against an endpoint that stays in use past its bound of 3 s because the watches of another
// kind fail: that counted as an outage of the store, in which entries may expire, and kept all
// watches away from the relay and the store.
Test(watchrelay, failedWatchesOfAnotherKindDelayNoRemoval, .timeout = 120)
{
    constexpr core::Duration bound = std::chrono::seconds(3);
    constexpr int endpoints = 8;
    Fixture fixture;
    const auto nameOf = [](int number) { return "leaving" + std::to_string(number); };
    for (int number = 0; number < endpoints; ++number)
        fixture.store.put("servers", nameOf(number), fixture.endpoint.record("plain"));
    fixture.runLoopFor(milliseconds(2000));
    cr_assert_eq(fixture.follower.watch.endpoints().size(), endpoints + 1);
    for (const std::string kind : {"versions", "config"}) {
        fixture.store.setSilentKind(kind);
        fixture.runLoopFor(milliseconds(2500));
        for (int number = 0; number < endpoints / 2; ++number) {
            const std::string name = nameOf(number + (kind == "config" ? endpoints / 2 : 0));
            const core::EndpointId id(name);
            fixture.store.remove("servers", name);
            const core::TimePoint removedAt = fixture.timers.now();
            cr_assert(fixture.waitUntil(
                [&] { return fixture.follower.watch.endpoint(id) == nullptr; }, 2 * bound));
            cr_expect_leq(fixture.timers.now() - removedAt, bound, "%s, %s silent: %.2f s",
                          name.c_str(), kind.c_str(),
                          core::toSeconds(fixture.timers.now() - removedAt));
            fixture.runLoopFor(milliseconds(330));
        }
    }
}
