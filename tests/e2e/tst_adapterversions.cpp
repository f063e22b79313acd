#include "support/platformfixture.h"

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

constexpr core::Duration versionBound = std::chrono::seconds(5);
constexpr char adapterModel[] = "base/a1";

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
    AnswerPtr start(const std::string &id)
    {
        return platform.send(platform.callerPort,
                             "POST /long/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
                                 + "\r\nDeadline-Ms: 20000\r\nModel: " + adapterModel
                                 + "\r\nToken-Count: 10,10\r\nContent-Length: 4\r\n\r\nbody");
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
