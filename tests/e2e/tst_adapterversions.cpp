#include "support/platformfixture.h"

#include <algorithm>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

constexpr core::Duration versionBound = std::chrono::seconds(5);
constexpr char adapterModel[] = "base/a1";
/// Changes of endpoints are combined, and the coordinator asks new endpoints what they hold.
constexpr core::Duration listDelay = std::chrono::seconds(2);

/// Two endpoints of a model service, which load the newest version of an adapter.
struct VersionFixture
{
    PlatformFixture platform {"model", false};

    VersionFixture()
    {
        for (FakeEndpoint *endpoint : {&platform.first, &platform.second})
            endpoint->newestVersion = [this](const std::string &) { return version; };
    }

    void configure()
    {
        // With this target latency, only a newer version ends a wait at an endpoint in time.
        json longRoute = route("/long/", "model", "stream", true, 20000);
        longRoute["target_latency_ms"] = 10000;
        platform.store.put("config", "main", configuration(1, json::array({longRoute})));
    }
    bool waitUntilReady()
    {
        return platform.waitUntil([this] { return platform.pollReadiness() == 200; });
    }
    void announce(int newVersion)
    {
        version = newVersion;
        platform.store.put("versions", "base.a1",
                           {{"model", "base"}, {"adapter", "a1"}, {"version", newVersion}});
    }
    AnswerPtr start(const std::string &id, const std::string &fields = {})
    {
        return platform.send(platform.callerPort,
                             "POST /long/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
                                 + "\r\nDeadline-Ms: 20000\r\nModel: " + adapterModel
                                 + "\r\nToken-Count: 10,10\r\n" + fields
                                 + "Content-Length: 4\r\n\r\nbody");
    }

    void setListed(const FakeEndpoint &endpoint, bool isListed)
    {
        if (isListed)
            platform.store.put("servers", endpoint.id, endpoint.record("model"));
        else
            platform.store.remove("servers", endpoint.id);
        platform.runLoopFor(listDelay);
    }

    /// The first endpoint holds a newer version of the adapter than the second one. Only the first
    /// one is listed.
    void holdTwoVersions()
    {
        configure();
        announce(1);
        platform.first.hold("a1", 2);
        platform.second.hold("a1", 1);
        platform.first.isBusy = platform.second.isBusy = true;
        cr_assert(waitUntilReady());
        setListed(platform.second, false);
    }

    /// Starts streams until one has its first two events; the first ones are refused if the daemon
    /// does not know yet what the endpoints hold.
    AnswerPtr startUntilBegun()
    {
        AnswerPtr answer;
        int number = 0;
        const bool hasBegun = platform.waitUntil([&] {
            if (!answer || (answer->isEnded && answer->head.status == 503))
                answer = start("s" + std::to_string(++number));
            return answer->body == events(1, 2);
        });
        cr_assert(hasBegun, "status %d, output:\n%s", answer->head.status,
                  platform.output().c_str());
        return answer;
    }

    int version = 1;
};

} // namespace

// Guards against a request that waits in an endpoint's queue, without the newer version that is
// required by then, and begins on the old one past its bound.
Test(adapterversions, queuedRequestDoesNotBeginOnASupersededVersion, .timeout = 120)
{
    VersionFixture fixture;
    PlatformFixture &platform = fixture.platform;
    fixture.configure();
    cr_assert(fixture.waitUntilReady());
    FakeEndpoint::Exchange queued;
    FakeEndpoint::Exchange last;
    for (FakeEndpoint *endpoint : {&platform.first, &platform.second})
        endpoint->run = [&](const FakeEndpoint::Exchange &exchange) {
            last = exchange;
            if (!queued)
                queued = exchange;
            else
                stream(exchange, 2, false);
        };
    const AnswerPtr answer = fixture.start("r1");
    cr_assert(platform.waitUntil([&] { return queued != nullptr; }));
    cr_assert_not(queued->head.headers.contains("Expect-Version"));
    fixture.announce(2);
    const core::TimePoint announcedAt = platform.timers.now();
    cr_assert(platform.waitUntil([&] { return !queued->isOpen(); }, versionBound),
              "the request still waits %.1f s after the announcement:\n%s",
              core::toSeconds(platform.timers.now() - announcedAt), platform.output().c_str());
    cr_assert(platform.waitUntil([&] { return answer->isEnded; }));
    cr_assert_eq(answer->head.status, 200, "%s", platform.output().c_str());
    const std::string expected = last->head.headers.value("Expect-Version");
    cr_assert_str_eq(expected.c_str(), "2");
}

// Guards against a request that is taken from the queue of an endpoint with a superseded version at
// its bound, and finds no endpoint with the newer one then, although one would have taken it in the
// seconds before.
Test(adapterversions, queuedRequestIsSentToTheNewerVersionBeforeTheBound, .timeout = 120)
{
    VersionFixture fixture;
    PlatformFixture &platform = fixture.platform;
    fixture.configure();
    cr_assert(fixture.waitUntilReady());
    FakeEndpoint::Exchange queued;
    core::TimePoint announcedAt = core::TimePoint::max();
    for (FakeEndpoint *endpoint : {&platform.first, &platform.second})
        endpoint->run = [&](const FakeEndpoint::Exchange &exchange) {
            constexpr core::Duration acceptanceTime = milliseconds(3500);
            if (!queued)
                queued = exchange;
            else if (platform.timers.now() < announcedAt + acceptanceTime)
                stream(exchange, 2, false);
            else
                exchange->respond(503, {{"Not-Executed", "1"}}, {});
        };
    const AnswerPtr answer = fixture.start("r1");
    cr_assert(platform.waitUntil([&] { return queued != nullptr; }));
    fixture.announce(2);
    announcedAt = platform.timers.now();
    cr_assert(platform.waitUntil([&] { return answer->isEnded; }));
    cr_expect_eq(answer->head.status, 200, "%s", platform.output().c_str());
    cr_expect(answer->body == events(1, 2));
    cr_expect_not(queued->isOpen(), "the request still waits at the older version");
}

// Guards against a stream that begins on the newer version of its adapter and, when its run breaks
// off, goes on at an endpoint that still holds the older one.
Test(adapterversions, streamDoesNotGoBackToAnOlderVersion, .timeout = 120)
{
    VersionFixture fixture;
    PlatformFixture &platform = fixture.platform;
    fixture.holdTwoVersions();
    FakeEndpoint::Exchange begun;
    platform.first.run = [&begun](const FakeEndpoint::Exchange &exchange) {
        if (exchange->head.headers.contains("Last-Event-Id")) {
            stream(exchange, 4, false);
            return;
        }
        exchange->startChunked(200, FakeEndpoint::stamped(exchange));
        exchange->writeChunk(events(1, 2));
        begun = exchange;
    };
    platform.second.run
        = [](const FakeEndpoint::Exchange &exchange) { stream(exchange, 4, false); };
    const AnswerPtr answer = fixture.startUntilBegun();
    fixture.setListed(platform.second, true);
    fixture.announce(2); // From now on the version before may be used for some seconds.
    platform.runLoopFor(milliseconds(100));
    begun->abort();
    cr_assert(platform.waitUntil([&] { return answer->isEnded; }));
    cr_expect(platform.second.runs.empty(), "the stream went back to version 1, output:\n%s",
              platform.output().c_str());
    cr_expect(answer->isComplete, "output:\n%s", platform.output().c_str());
    cr_expect(answer->body == events(1, 4));
}

// Guards against the same if the daemon learns only later that the first endpoint has loaded the
// newer version: the version that it expected at the send is not the one of the run.
Test(adapterversions, streamOnAnUnexpectedVersionDoesNotGoBack, .timeout = 120)
{
    VersionFixture fixture;
    PlatformFixture &platform = fixture.platform;
    fixture.configure();
    for (FakeEndpoint *endpoint : {&platform.first, &platform.second}) {
        endpoint->hold("a1", 1);
        endpoint->isBusy = true;
    }
    cr_assert(fixture.waitUntilReady());
    fixture.setListed(platform.second, false);
    FakeEndpoint::Exchange begun;
    std::vector<int> versions;
    for (FakeEndpoint *endpoint : {&platform.first, &platform.second})
        endpoint->run = [&begun, &versions, endpoint](const FakeEndpoint::Exchange &exchange) {
            versions.push_back(endpoint->heldVersion("a1"));
            if (exchange->head.headers.contains("Last-Event-Id")) {
                stream(exchange, 4, false);
                return;
            }
            net::Headers headers = FakeEndpoint::stamped(exchange);
            headers.add("Weight-Versions", std::to_string(versions.back()));
            exchange->startChunked(200, headers);
            exchange->writeChunk(events(1, 2));
            begun = exchange;
        };
    platform.first.hold("a1", 2); // The next report tells the daemon.
    const AnswerPtr answer = fixture.start("s1");
    cr_assert(platform.waitUntil([&] { return answer->body == events(1, 2); }));
    fixture.setListed(platform.second, true);
    fixture.announce(2);
    platform.runLoopFor(milliseconds(100));
    begun->abort();
    cr_assert(platform.waitUntil([&] { return answer->isEnded; }));
    cr_expect(std::ranges::is_sorted(versions), "the stream went back to version 1, output:\n%s",
              platform.output().c_str());
    cr_expect(answer->isComplete, "output:\n%s", platform.output().c_str());
    cr_expect(answer->body == events(1, 4));
}

// Guards against a stream that a client takes up, after it may have begun on the newer version of
// its adapter, at an endpoint that still holds the older one.
Test(adapterversions, takenUpStreamDoesNotGoBackToAnOlderVersion, .timeout = 120)
{
    VersionFixture fixture;
    PlatformFixture &platform = fixture.platform;
    fixture.holdTwoVersions();
    std::string usedVersion;
    platform.second.run = [&usedVersion](const FakeEndpoint::Exchange &exchange) {
        usedVersion = exchange->head.headers.value("Expect-Version");
        stream(exchange, 4, false);
    };
    fixture.setListed(platform.second, true);
    fixture.setListed(platform.first, false);
    fixture.announce(2);
    platform.runLoopFor(milliseconds(100));
    const AnswerPtr answer = fixture.start("s2", "Last-Event-Id: 2\r\nResumes: s1\r\n");
    platform.runLoopFor(milliseconds(500));
    cr_expect(platform.second.runs.empty(), "the stream goes on at version 1, output:\n%s",
              platform.output().c_str());
    platform.second.isBusy = false; // It loads the newer version.
    cr_assert(platform.waitUntil([&] { return answer->isEnded; }));
    cr_expect_eq(answer->head.status, 200);
    cr_expect_str_eq(usedVersion.c_str(), "2");
}

// Guards against a daemon that serves before it knows which versions are announced, and so uses
// superseded ones for as long as the list of versions does not arrive.
Test(adapterversions, daemonIsNotReadyBeforeItKnowsTheVersions, .timeout = 120)
{
    VersionFixture fixture;
    fixture.platform.store.setSilentKind("versions");
    fixture.announce(2);
    fixture.configure();
    cr_assert_not(fixture.platform.waitUntil(
        [&] { return fixture.platform.pollReadiness() == 200; }, std::chrono::seconds(3)));
    fixture.platform.store.setSilentKind({});
    cr_assert(fixture.waitUntilReady());
}
