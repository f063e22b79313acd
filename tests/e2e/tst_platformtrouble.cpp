#include "support/platformfixture.h"
#include "support/rawpeer.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

using Fixture = PlatformFixture;

/// A service whose only endpoint sends raw bytes given by the test.
struct RawEndpointFixture : Fixture
{
    RawPeer::DataHandler onRequest = [](http::Connection &, std::string_view) {};
    net::Address address {"127.0.0.1", picker.take()};
    RawPeer peer {loop, address, [this](http::Connection &connection, std::string_view bytes) {
                      onRequest(connection, bytes);
                  }};

    explicit RawEndpointFixture(const std::string &service)
        : Fixture(service.c_str())
    {
        json record = first.record(service);
        record["address"] = address.toString();
        store.remove("servers", first.id);
        store.remove("servers", second.id);
        store.put("servers", "e-raw", record);
        // A watch may end after several changes at once.
        runLoopFor(milliseconds(2500));
    }

    /// Starts an answer with `begin`, repeats `repeated` without end, and expects the failure.
    void expectBoundedFailure(const std::string &path, const std::string &model,
                              const std::string &begin, const std::string &repeated)
    {
        EndlessWriter writer(timers, repeated);
        onRequest = [&](http::Connection &connection, std::string_view) {
            connection.write(begin);
            writer.start(connection, [this, &connection] { return peer.isOpen(connection); });
        };
        const auto answer = start(path, "r1", model);
        // The request's timeout is 4 s; the failure must not wait for it.
        cr_assert(waitUntil([&] { return answer->isEnded; }, std::chrono::seconds(3)),
                  "no end after %s", begin.c_str());
        cr_assert_not(answer->isComplete && answer->head.status < 500);
        constexpr double maxMegabytes = 60;
        cr_assert_lt(usageOf(daemon).residentMegabytes, maxMegabytes);
        cr_assert_eq(daemon.exitCode(), std::nullopt);
        // The connection is closed, and the next request is served.
        cr_assert(waitUntil([&] { return peer.open() == 0; }));
        onRequest = [](http::Connection &connection, std::string_view) {
            connection.write("HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nResponse-Stamp: s\r\n"
                             "Content-Length: 12\r\n\r\ndata: fine\n\n");
        };
        AnswerPtr next;
        cr_assert(waitUntil([&] {
            if (!next || (next->isEnded && next->head.status != 200))
                next = start(path, "r2", model);
            return next->isEnded && next->head.status == 200;
        }));
    }
};

constexpr char stampedHead[] = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n";

/// A listening socket whose backlog is full, so that connecting takes seconds.
class FullListener
{
public:
    explicit FullListener(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_sockets.push_back(socket(AF_INET, SOCK_STREAM, 0));
        const int isReused = 1;
        setsockopt(m_sockets[0], SOL_SOCKET, SO_REUSEADDR, &isReused, sizeof isReused);
        cr_assert_eq(bind(m_sockets[0], reinterpret_cast<sockaddr *>(&address), sizeof address), 0);
        cr_assert_eq(listen(m_sockets[0], 0), 0);
        constexpr int fillerCount = 4;
        for (int number = 0; number < fillerCount; ++number) {
            const int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            (void)connect(filler, reinterpret_cast<sockaddr *>(&address), sizeof address);
            m_sockets.push_back(filler);
        }
    }
    ~FullListener()
    {
        for (const int held : m_sockets)
            close(held);
    }
    FullListener(const FullListener &) = delete;
    FullListener &operator=(const FullListener &) = delete;

private:
    std::vector<int> m_sockets;
};

} // namespace

// These five guard against an endpoint that sends without end: the daemon buffered the bytes until
// the request's timeout, and the client had no answer until then.
Test(platformtrouble, endlessAnswerIsAborted, .timeout = 60)
{
    RawEndpointFixture fixture("plain");
    fixture.expectBoundedFailure("/get/a", {}, std::string(stampedHead) + "\r\n",
                                 std::string(4096, 'x'));
}

Test(platformtrouble, endlessAtMostOnceAnswerIsAborted, .timeout = 60)
{
    RawEndpointFixture fixture("plain");
    fixture.expectBoundedFailure("/order/a", {}, std::string(stampedHead) + "\r\n",
                                 std::string(4096, 'x'));
}

Test(platformtrouble, endlessHeadIsAborted, .timeout = 60)
{
    RawEndpointFixture fixture("plain");
    fixture.expectBoundedFailure("/get/a", {}, stampedHead, "X-More: and more\r\n");
}

Test(platformtrouble, endlessEventIsAborted, .timeout = 60)
{
    RawEndpointFixture fixture("model");
    fixture.expectBoundedFailure(
        "/once/a", "base", std::string(stampedHead) + "\r\nid: 1\ndata: ", std::string(4096, 'x'));
}

Test(platformtrouble, endlesslyRepeatedEventIsAborted, .timeout = 60)
{
    RawEndpointFixture fixture("model");
    fixture.expectBoundedFailure("/once/a", "base", std::string(stampedHead) + "\r\n", event(1));
}

// Guards against clients that send without end: the daemon must read a bounded number of bytes.
Test(platformtrouble, endlessRequestIsRejected, .timeout = 60)
{
    Fixture fixture;
    const std::string head = "POST /get/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n";
    const std::pair<std::string, std::string> requests[] {
        {head, "X-More: and more\r\n"},
        {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
        {head + "Transfer-Encoding: chunked\r\n\r\n5;extension=", std::string(4096, 'x')},
        {"", std::string(4096, '\0')},
    };
    for (const auto &[begin, repeated] : requests) {
        EndlessWriter writer(fixture.timers, repeated);
        http::Connection raw(fixture.loop, {"127.0.0.1", fixture.callerPort}, limit);
        bool isClosed = false;
        std::string received;
        raw.setHandlers({
            .onConnected =
                [&, first = begin] {
                    raw.write(first);
                    writer.start(raw, [&isClosed] { return !isClosed; });
                },
            .onData =
                [&] {
                    received += raw.received();
                    raw.consume(raw.received().size());
                },
            .onDrained = {},
            .onClosed = [&](http::CloseReason) { isClosed = true; },
        });
        cr_assert(fixture.waitUntil([&] { return isClosed || !received.empty(); }));
        cr_assert(received.empty() || received.starts_with("HTTP/1.1 4"), "%s", received.c_str());
        cr_assert_lt(writer.written(), 16UL * 1024 * 1024);
    }
    constexpr double maxMegabytes = 60;
    cr_assert_lt(usageOf(fixture.daemon).residentMegabytes, maxMegabytes);
    cr_assert_eq(fixture.call("/get/a", "last")->head.status, 200);
}

// Guards against treating a stalled stream as slow because it sends a byte now and then: only
// complete events with a greater id are progress.
Test(platformtrouble, commentsDoNotPreventStallDetection, .timeout = 60)
{
    Fixture fixture("model");
    std::vector<FakeEndpoint::Exchange> stalled;
    const auto run = [&](const FakeEndpoint::Exchange &exchange) {
        if (!stalled.empty()) {
            stream(exchange, 6, false);
            return;
        }
        stalled.push_back(exchange);
        exchange->startChunked(200, FakeEndpoint::stamped(exchange));
        exchange->writeChunk(events(1, 3));
    };
    fixture.first.run = fixture.second.run = run;
    const auto comments = fixture.timers.every(milliseconds(100), [&] {
        for (const auto &exchange : stalled)
            exchange->writeChunk(": still here\n\n");
    });
    const auto answer = fixture.call("/stream/a", "r1", "base");
    cr_assert(answer->isComplete);
    cr_assert(answer->body.ends_with(events(4, 6)));
    cr_assert_eq(fixture.first.runs.size() + fixture.second.runs.size(), 2U);
}

// Guards against aborting a slow but healthy stream: its endpoint sends other answers meanwhile,
// and clients disconnect only after a gap of more than 1.6 s.
Test(platformtrouble, slowStreamAtAnActiveEndpointIsNotAborted, .timeout = 60)
{
    Fixture fixture("model");
    fixture.store.remove("servers", fixture.second.id);
    fixture.runLoopFor(milliseconds(1500));
    FakeEndpoint::Exchange slow;
    FakeEndpoint::Exchange fast;
    fixture.first.run = [&](const FakeEndpoint::Exchange &exchange) {
        exchange->startChunked(200, FakeEndpoint::stamped(exchange));
        exchange->writeChunk(event(1));
        (slow ? fast : slow) = exchange;
    };
    const auto slowAnswer = fixture.start("/stream/a", "slow", "base");
    cr_assert(fixture.waitUntil([&] { return slow != nullptr; }));
    const auto fastAnswer = fixture.start("/stream/a", "fast", "base");
    cr_assert(fixture.waitUntil([&] { return fast != nullptr; }));
    int id = 1;
    const auto fastEvents
        = fixture.timers.every(milliseconds(100), [&] { fast->writeChunk(event(++id)); });
    fixture.runLoopFor(milliseconds(1600));
    slow->writeChunk(events(2, 3));
    slow->finishChunked();
    cr_assert(fixture.waitUntil([&] { return slowAnswer->isEnded; }));
    cr_assert(slowAnswer->isComplete);
    cr_assert_eq(slowAnswer->body, events(1, 3));
    cr_assert_eq(fixture.first.runs.size(), 2U);
}

// Guards against aborting a long interrupted stream at the first refusal of another endpoint: its
// wait was measured from its arrival, which was long ago.
Test(platformtrouble, brokenStreamWaitsForAFreeSlot, .timeout = 60)
{
    Fixture fixture("model");
    FakeEndpoint::Exchange interrupted;
    int refusals = 0;
    const auto run = [&](const FakeEndpoint::Exchange &exchange) {
        if (!interrupted) {
            interrupted = exchange;
            exchange->startChunked(200, FakeEndpoint::stamped(exchange));
            exchange->writeChunk(event(1));
        } else if (refusals < 2) {
            ++refusals;
            exchange->respond(503, {{"Not-Executed", "1"}}, {});
        } else {
            stream(exchange, 6, false);
        }
    };
    fixture.first.run = fixture.second.run = run;
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitUntil([&] { return interrupted != nullptr; }));
    int id = 1;
    const auto fastEvents
        = fixture.timers.every(milliseconds(400), [&] { interrupted->writeChunk(event(++id)); });
    // Longer than a request waits for a free slot.
    cr_assert(fixture.waitUntil([&] { return id == 5; }));
    interrupted->abort();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 6));
    cr_assert_eq(refusals, 2);
}

// Guards against refusing requests some milliseconds before the first configuration is read: 104
// were refused after all daemons had been killed in a burst (incident inc-0642).
Test(platformtrouble, requestWaitsForTheFirstConfiguration, .timeout = 60)
{
    Fixture fixture("plain", false);
    // The daemon listens, but the store has no configuration yet.
    cr_assert(fixture.waitUntil([&] { return fixture.pollReadiness() == 503; }));
    const auto answer = fixture.start("/get/a", "r1");
    const auto write = fixture.timers.once(milliseconds(100), [&] {
        fixture.store.put("config", "main", configuration(1, defaultRoutes()));
    });
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert_eq(answer->head.status, 200);
}

// Guards against sending a request to an endpoint long after the daemon knew that it leaves,
// because the connection was still being opened then.
Test(platformtrouble, pendingConnectionToALeavingEndpointIsAbandoned, .timeout = 60)
{
    Fixture fixture;
    const std::uint16_t port = fixture.picker.take();
    const FullListener full(port);
    json record = fixture.first.record("plain");
    record["address"] = "127.0.0.1:" + std::to_string(port);
    fixture.store.put("servers", "e-full", record);
    fixture.store.remove("servers", fixture.first.id);
    fixture.runLoopFor(milliseconds(2500));
    // Half of them go to each endpoint.
    constexpr int calls = 8;
    std::vector<AnswerPtr> answers;
    answers.reserve(calls);
    for (int number = 0; number < calls; ++number)
        answers.push_back(fixture.start("/get/a", "r" + std::to_string(number)));
    fixture.runLoopFor(milliseconds(100));
    record["state"] = "draining";
    fixture.store.put("servers", "e-full", record);
    cr_assert(fixture.waitUntil([&] {
        return std::ranges::all_of(answers, [](const auto &answer) { return answer->isEnded; });
    }));
    for (const auto &answer : answers)
        cr_assert_eq(answer->head.status, 200, "%s", fixture.output().c_str());
    cr_assert(fixture.output().find("endpoint leaves before the connection is open")
                  != std::string::npos,
              "%s", fixture.output().c_str());
}

// Guards against a request that is read late in a planned stop, forwarded, and aborted without an
// answer when the process exits: its endpoint is silent and its timeout exceeds the remaining time.
// Found by scripts/soak --seed 301 --seconds 30 --callers 100.
Test(platformtrouble, requestReadLateInAPlannedStopIsAnswered, .timeout = 60)
{
    Fixture fixture;
    std::vector<FakeEndpoint::Exchange> silent;
    fixture.first.run = fixture.second.run
        = [&](const FakeEndpoint::Exchange &exchange) { silent.push_back(exchange); };
    fixture.daemon.signal(SIGTERM);
    fixture.runLoopFor(milliseconds(2000));
    // The process does not exit while this request is open.
    const auto earlier = fixture.start("/order/a", "earlier");
    fixture.runLoopFor(milliseconds(3300));
    // A new connection may be closed as idle before its request is read; the request is sent again.
    AnswerPtr answer;
    cr_assert(fixture.waitUntil([&] {
        if (!answer || (answer->isEnded && !answer->isComplete && silent.size() < 2))
            answer = fixture.start("/order/a", "late");
        return answer->isEnded && (answer->isComplete || silent.size() == 2);
    }));
    // It must be answered, whether it is refused or runs.
    cr_assert(answer->isComplete, "no answer; the daemon wrote:\n%s", fixture.output().c_str());
}

// Guards against 404 for a route that was added longer ago than the bound of 3 s, from a daemon
// whose watch of the configuration has gone silent. Clients do not repeat a request after 404.
Test(platformtrouble, addedRouteIsFoundWhileTheWatchIsSilent, .timeout = 60)
{
    constexpr core::Duration bound = std::chrono::seconds(3);
    PlatformFixture fixture;
    json routes = defaultRoutes();
    routes.push_back(route("/added/", "plain", "idempotent"));
    std::optional<core::TimePoint> addedAt;
    fixture.store.silenceNextWatch("config", [&] {
        fixture.store.put("config", "main", configuration(2, routes));
        addedAt = fixture.timers.now();
    });
    cr_assert(fixture.waitUntil([&] { return addedAt.has_value(); }));
    fixture.runLoopFor(bound + milliseconds(10));
    for (int number = 0; number < 10; ++number) {
        const AnswerPtr answer = fixture.call("/added/x", "late" + std::to_string(number));
        cr_expect_eq(answer->head.status, 200, "%d, %.2f s after the route was added",
                     answer->head.status, core::toSeconds(answer->startedAt - *addedAt));
        fixture.runLoopFor(milliseconds(10));
    }
}
