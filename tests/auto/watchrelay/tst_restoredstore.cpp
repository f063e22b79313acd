#include "relayfixture.h"

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

json versionRecord(int version)
{
    return {{"model", "m"}, {"adapter", "a"}, {"version", version}};
}

/// An endpoint record of another incarnation or state than the fixture's.
json recordWith(const Fixture &fixture, const char *field, const json &value)
{
    json record = fixture.endpoint.record("plain");
    record[field] = value;
    return record;
}

bool isLeaving(const Follower &daemon, const std::string &id)
{
    const fleet::Endpoint *endpoint = daemon.watch.endpoint(core::EndpointId(id));
    return endpoint != nullptr && endpoint->isLeaving;
}

} // namespace

// Guards against a daemon behind a relay that follows nothing after the store came back from a copy
// (CONFIG 1,320 on the large deployment): its revision was ahead of the relay's.
Test(restoredstore, followerBehindRelayFollowsTheRestoredStore, .timeout = 60)
{
    Fixture fixture;
    fixture.store.takeCopy();
    for (int version = 2; version < 8; ++version)
        fixture.store.put("config", "main", configuration(version));
    cr_assert(fixture.waitUntil([&] { return fixture.follower.generation() == 7; }));
    // The outage suspends the follower's own watches for longer than the relay needs to return.
    fixture.store.setMode(FakeStore::Mode::Refusing);
    fixture.store.restoreCopy();
    fixture.runLoopFor(milliseconds(300));
    fixture.store.setMode(FakeStore::Mode::Serving);
    fixture.runLoopFor(milliseconds(2000));
    fixture.store.put("config", "main", configuration(8));
    cr_assert(fixture.waitUntil([&] { return fixture.follower.generation() == 8; },
                                std::chrono::seconds(3)));
}

// Guards against changes that are missed for good because a watch continues at a revision that the
// restored store has given out again.
Test(restoredstore, reissuedRevisionsAreNotSkipped, .timeout = 60)
{
    Fixture fixture;
    fixture.store.takeCopy();
    fixture.store.put("config", "main", configuration(2));
    cr_assert(fixture.waitUntil([&] { return fixture.relayDaemon.generation() == 2; }));
    fixture.store.restoreCopy();
    fixture.store.put("config", "main", configuration(3));
    fixture.store.put("versions", "m.a", versionRecord(2));
    cr_assert(fixture.waitUntil(
        [&] { return fixture.relayDaemon.generation() == 3 && fixture.follower.generation() == 3; },
        std::chrono::seconds(3)));
}

// Guards against a restored object that counts as unchanged because its revision is the one of a
// lost change.
Test(restoredstore, reissuedRevisionDoesNotHideAnotherContent, .timeout = 60)
{
    Fixture fixture;
    fixture.store.takeCopy();
    fixture.store.put("servers", fixture.endpoint.id, recordWith(fixture, "slots", 5));
    const core::EndpointId id(fixture.endpoint.id);
    const auto slotsAt = [&](const Follower &daemon) { return daemon.watch.endpoint(id)->slots; };
    cr_assert(fixture.waitUntil(
        [&] { return slotsAt(fixture.relayDaemon) == 5 && slotsAt(fixture.follower) == 5; }));
    fixture.store.restoreCopy();
    fixture.store.put("servers", fixture.endpoint.id, recordWith(fixture, "slots", 6));
    fixture.store.compactHistory();
    cr_assert(fixture.waitUntil(
        [&] { return slotsAt(fixture.relayDaemon) == 6 && slotsAt(fixture.follower) == 6; },
        std::chrono::seconds(3)));
}

// Guards against new requests to an endpoint whose leaving the restored store does not know.
Test(restoredstore, leavingEndpointStaysLeaving, .timeout = 60)
{
    Fixture fixture;
    fixture.store.takeCopy();
    fixture.store.put("servers", fixture.endpoint.id, recordWith(fixture, "state", "draining"));
    cr_assert(fixture.waitUntil([&] {
        return isLeaving(fixture.relayDaemon, fixture.endpoint.id)
            && isLeaving(fixture.follower, fixture.endpoint.id);
    }));
    fixture.store.restoreCopy();
    fixture.runLoopFor(std::chrono::seconds(3));
    cr_assert(isLeaving(fixture.relayDaemon, fixture.endpoint.id));
    cr_assert(isLeaving(fixture.follower, fixture.endpoint.id));
    // A later incarnation of the endpoint takes requests.
    fixture.store.put("servers", fixture.endpoint.id, recordWith(fixture, "born", 2));
    cr_assert(fixture.waitUntil([&] {
        return !isLeaving(fixture.relayDaemon, fixture.endpoint.id)
            && !isLeaving(fixture.follower, fixture.endpoint.id);
    }));
}

// Guards against endpoints that are removed at once because the copy lacks them, although they
// serve and write their records again within two seconds.
Test(restoredstore, endpointsThatTheCopyLacksGetTimeToReturn, .timeout = 60)
{
    Fixture fixture;
    fixture.store.takeCopy();
    fixture.store.put("servers", "e-new", recordWith(fixture, "slots", 3));
    const core::EndpointId id("e-new");
    cr_assert(fixture.waitUntil([&] {
        return fixture.relayDaemon.watch.endpoint(id) && fixture.follower.watch.endpoint(id);
    }));
    fixture.store.restoreCopy();
    fixture.runLoopFor(milliseconds(1900));
    fixture.store.put("servers", "e-new", recordWith(fixture, "slots", 3));
    fixture.runLoopFor(std::chrono::seconds(3));
    cr_assert_eq(fixture.relayDaemon.removalsSeen, 0);
    cr_assert_eq(fixture.follower.removalsSeen, 0);
}

// Guards against new requests to an endpoint that has left and that the copy still holds as ready.
Test(restoredstore, endpointThatHasLeftDoesNotReturnWithTheCopy, .timeout = 60)
{
    Fixture fixture;
    fixture.store.takeCopy();
    fixture.store.remove("servers", fixture.endpoint.id);
    const core::EndpointId id(fixture.endpoint.id);
    cr_assert(fixture.waitUntil([&] {
        return !fixture.relayDaemon.watch.endpoint(id) && !fixture.follower.watch.endpoint(id);
    }));
    fixture.store.restoreCopy();
    fixture.store.put("config", "main", configuration(2));
    const auto isUsable = [&](const Follower &daemon) {
        return daemon.watch.endpoint(id) != nullptr && !isLeaving(daemon, fixture.endpoint.id);
    };
    cr_assert(fixture.waitUntil([&] { return fixture.follower.generation() == 2; }));
    const core::TimePoint end = fixture.timers.now() + std::chrono::seconds(3);
    while (fixture.timers.now() < end) {
        fixture.runLoopFor(milliseconds(50));
        cr_assert_not(isUsable(fixture.relayDaemon));
        cr_assert_not(isUsable(fixture.follower));
    }
    // The store removes the record of an endpoint that is gone after three heartbeats, so that one
    // that is still there belongs to an endpoint that serves.
    cr_assert(fixture.waitUntil(
        [&] { return isUsable(fixture.relayDaemon) && isUsable(fixture.follower); },
        std::chrono::seconds(3)));
}

// Guards against the same after a second restore, and against a daemon that still lives in the
// first one.
Test(restoredstore, twoRestoresInARow, .timeout = 60)
{
    Fixture fixture;
    fixture.store.takeCopy();
    fixture.store.put("config", "main", configuration(2));
    fixture.store.put("config", "main", configuration(3));
    cr_assert(fixture.waitUntil([&] { return fixture.follower.generation() == 3; }));
    fixture.store.restoreCopy();
    fixture.store.put("config", "main", configuration(4));
    fixture.runLoopFor(milliseconds(200));
    fixture.store.restoreCopy();
    fixture.store.put("config", "main", configuration(5));
    cr_assert(fixture.waitUntil(
        [&] { return fixture.relayDaemon.generation() == 5 && fixture.follower.generation() == 5; },
        std::chrono::seconds(3)));
}

// Guards against a confirmed configuration that comes back older with the copy.
Test(restoredstore, configurationInForceIsKept, .timeout = 60)
{
    Fixture fixture;
    fixture.store.takeCopy();
    fixture.store.put("config", "main", configuration(4));
    cr_assert(fixture.waitUntil([&] { return fixture.follower.generation() == 4; }));
    fixture.store.restoreCopy();
    fixture.store.put("config", "main", configuration(3));
    fixture.runLoopFor(std::chrono::seconds(3));
    cr_assert_eq(fixture.relayDaemon.generation(), 4U);
    cr_assert_eq(fixture.follower.generation(), 4U);
}

// Guards against a generation that hides another content: after a restore the operator may give out
// a lost generation again.
Test(restoredstore, reissuedGenerationIsPutInForce, .timeout = 60)
{
    const auto withRoute = [](const char *host) {
        json spec = configuration(2);
        spec["routes"].push_back({{"name", "r"},
                                  {"host", host},
                                  {"path_prefix", "/"},
                                  {"kind", "idempotent"},
                                  {"service", "plain"},
                                  {"timeout_ms", 1000}});
        return spec;
    };
    const auto routes = [](const Follower &daemon, const char *host) {
        return daemon.watch.routes()->find(host, "/") != nullptr;
    };
    Fixture fixture;
    fixture.store.takeCopy();
    fixture.store.put("config", "main", withRoute("lost"));
    cr_assert(fixture.waitUntil([&] { return routes(fixture.follower, "lost"); }));
    fixture.store.restoreCopy();
    fixture.store.put("config", "main", withRoute("new"));
    cr_assert(fixture.waitUntil(
        [&] { return routes(fixture.relayDaemon, "new") && routes(fixture.follower, "new"); },
        std::chrono::seconds(3)));
}

// Guards against daemons that stop following a store which states no era.
Test(restoredstore, storeWithoutErasIsFollowed, .timeout = 60)
{
    Fixture fixture;
    fixture.store.setStatesEra(false);
    fixture.store.put("config", "main", configuration(2));
    cr_assert(fixture.waitUntil(
        [&] { return fixture.relayDaemon.generation() == 2 && fixture.follower.generation() == 2; },
        std::chrono::seconds(3)));
}

// Guards against an endpoint that has left and stays in use while restores follow one another.
Test(restoredstore, laterRestoresDoNotExtendTheUseOfAnEndpoint, .timeout = 60)
{
    Fixture fixture;
    fixture.store.takeCopy();
    fixture.store.put("servers", "e-new", recordWith(fixture, "slots", 3));
    const core::EndpointId id("e-new");
    const auto isKnown = [&] { return fixture.relayDaemon.watch.endpoint(id) != nullptr; };
    cr_assert(fixture.waitUntil(isKnown));
    fixture.store.restoreCopy();
    const core::TimePoint restoredAt = fixture.timers.now();
    for (int restore = 0; restore < 4; ++restore) {
        fixture.runLoopFor(milliseconds(900));
        fixture.store.restoreCopy();
    }
    cr_assert(fixture.waitUntil([&] { return !isKnown(); }, milliseconds(100)),
              "still known after %.1f s", core::toSeconds(fixture.timers.now() - restoredAt));
}
