#include "support/platformfixture.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

/// Two endpoints, of which the one that is chosen first sends nothing more, and the other one runs
/// `other`.
struct Fixture : PlatformFixture
{
    FakeEndpoint::Exchange silent;     ///< At the endpoint that was chosen first.
    FakeEndpoint::Exchange secondSend; ///< The first one at the other endpoint.
    int otherSends = 0;
    bool isSilentClosed = false;

    using Run = std::function<void(const FakeEndpoint::Exchange &)>;

    /// `begin` is run by the endpoint that is chosen first before it turns silent.
    explicit Fixture(const char *service, const Run &begin, const Run &other)
        : PlatformFixture(service)
    {
        first.run = second.run = [this, begin, other](const FakeEndpoint::Exchange &exchange) {
            if (!silent) {
                silent = exchange;
                silent->setDisconnectHandler([this] { isSilentClosed = true; });
                begin(exchange);
                return;
            }
            if (!secondSend)
                secondSend = exchange;
            ++otherSends;
            other(exchange);
        };
    }

    bool waitForSecondSend()
    {
        return waitUntil([this] { return secondSend != nullptr; });
    }
};

void refuse(const FakeEndpoint::Exchange &exchange)
{
    exchange->respond(503, {{"Not-Executed", "1"}}, {});
}

void keep(const FakeEndpoint::Exchange &) { }

void beginStream(const FakeEndpoint::Exchange &exchange)
{
    exchange->startChunked(200, FakeEndpoint::stamped(exchange));
    exchange->writeChunk(events(1, 3));
}

} // namespace

// Guards against giving up a stream whose endpoint is silent for a while, for another endpoint that
// then refuses it: the caller lost an answer that its endpoint went on with.
Test(silentendpoints, refusedReplacementLosesNoStream, .timeout = 60)
{
    Fixture fixture("model", beginStream, refuse);
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitForSecondSend());
    fixture.runLoopFor(milliseconds(200)); // The refusal arrives.
    fixture.silent->writeChunk(events(4, 6));
    fixture.silent->finishChunked();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 6));
}

// Guards against taking a request from the queue of its endpoint, perhaps as its turn comes, for
// another endpoint that then refuses it.
Test(silentendpoints, refusedReplacementLosesNoQueuedRequest, .timeout = 60)
{
    Fixture fixture("model", keep, refuse);
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitForSecondSend());
    fixture.runLoopFor(milliseconds(200));
    stream(fixture.silent, 6, false);
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert_eq(answer->head.status, 200, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 6));
}

// The same for a request that is no stream.
Test(silentendpoints, refusedReplacementLosesNoAnswer, .timeout = 60)
{
    Fixture fixture("plain", keep, refuse);
    const auto answer = fixture.start("/get/a", "r1");
    cr_assert(fixture.waitForSecondSend());
    fixture.runLoopFor(milliseconds(200));
    fixture.silent->respond(200, FakeEndpoint::stamped(fixture.silent), "whole answer");
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert_eq(answer->head.status, 200, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, "whole answer");
}

// Guards against giving up a stream for another endpoint that takes the request and fails.
Test(silentendpoints, brokenReplacementLosesNoStream, .timeout = 60)
{
    Fixture fixture("model", beginStream,
                    [](const FakeEndpoint::Exchange &exchange) { exchange->abort(); });
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitForSecondSend());
    fixture.runLoopFor(milliseconds(200));
    fixture.silent->writeChunk(events(4, 6));
    fixture.silent->finishChunked();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 6));
    cr_assert_leq(fixture.otherSends, 1, "a route's attempts are exceeded");
}

// Guards against joining the events of two runs, and against a second run that goes on in vain,
// when the silent endpoint goes on while the request waits at the other one.
Test(silentendpoints, endpointThatGoesOnEndsTheReplacement, .timeout = 60)
{
    Fixture fixture("model", beginStream, keep);
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitForSecondSend());
    bool isSecondClosed = false;
    fixture.secondSend->setDisconnectHandler([&] { isSecondClosed = true; });
    fixture.silent->writeChunk(events(4, 5));
    cr_assert(fixture.waitUntil([&] { return isSecondClosed; }, milliseconds(400)), "%s",
              fixture.output().c_str());
    fixture.silent->writeChunk(events(6, 6));
    fixture.silent->finishChunked();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 6));
}

// Guards against a silent endpoint that still works on a request when another one has begun to run
// it, and against its late events in the caller's stream.
Test(silentendpoints, replacementThatBeginsEndsTheSilentRun, .timeout = 60)
{
    Fixture fixture("model", beginStream, [](const FakeEndpoint::Exchange &exchange) {
        exchange->startChunked(200, FakeEndpoint::stamped(exchange));
        exchange->writeChunk(events(4, 4));
    });
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitForSecondSend());
    cr_assert_eq(fixture.secondSend->head.headers.value("Last-Event-Id"), "3");
    cr_assert(fixture.waitUntil([&] { return fixture.isSilentClosed; }, milliseconds(400)), "%s",
              fixture.output().c_str());
    fixture.silent->writeChunk(events(4, 6));
    fixture.secondSend->writeChunk(events(5, 6));
    fixture.secondSend->finishChunked();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 6));
}

// Guards against a run that goes on at either endpoint after its caller has left.
Test(silentendpoints, bothRunsEndWhenTheCallerLeaves, .timeout = 60)
{
    Fixture fixture("model", beginStream, keep);
    auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitForSecondSend());
    bool isSecondClosed = false;
    fixture.secondSend->setDisconnectHandler([&] { isSecondClosed = true; });
    answer->connection.reset();
    cr_assert(fixture.waitUntil([&] { return isSecondClosed && fixture.isSilentClosed; },
                                milliseconds(400)),
              "%s", fixture.output().c_str());
}

// Guards against taking an endpoint for silent from which the daemon doesn't read, because its
// client reads too slowly.
Test(silentendpoints, slowClientDoesNotReplaceItsEndpoint, .timeout = 60)
{
    constexpr int lastEvent = 2000;
    const std::string data = "data: " + std::string(8 * 1024, 'x') + "\n\n";
    const auto streamLongEvents = [&data](const FakeEndpoint::Exchange &exchange) {
        exchange->startChunked(200, FakeEndpoint::stamped(exchange));
        for (int id = 1; id <= lastEvent; ++id)
            exchange->writeChunk("id: " + std::to_string(id) + "\n" + data);
        exchange->finishChunked();
    };
    Fixture fixture("model", streamLongEvents, refuse);
    http::Connection client(fixture.loop, {"127.0.0.1", fixture.callerPort}, limit);
    std::string received;
    client.setHandlers({.onConnected =
                            [&client] {
                                client.write(
                                    "POST /stream/a HTTP/1.1\r\nHost: a.example\r\n"
                                    "Request-Id: r1\r\nDeadline-Ms: 4000\r\nModel: base\r\n"
                                    "Token-Count: 10,10\r\nContent-Length: 4\r\n\r\nbody");
                                client.setReadEnabled(false);
                            },
                        .onData =
                            [&] {
                                received += client.received();
                                client.consume(client.received().size());
                            },
                        .onDrained = {},
                        .onClosed = [](http::CloseReason) {}});
    cr_assert(fixture.waitUntil([&] { return fixture.silent != nullptr; }));
    // Longer than the time after which a silent endpoint is replaced, which is 1.1 s.
    fixture.runLoopFor(milliseconds(2600));
    cr_assert_eq(fixture.otherSends, 0, "%s", fixture.output().c_str());
    client.setReadEnabled(true);
    cr_assert(fixture.waitUntil([&] { return received.ends_with("\r\n0\r\n\r\n"); }), "%s",
              fixture.output().c_str());
    cr_assert_eq(fixture.otherSends, 0, "%s", fixture.output().c_str());
}
