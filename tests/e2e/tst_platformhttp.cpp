#include "support/platformfixture.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

using Fixture = PlatformFixture;

/// Responds with the id of another request.
void answerWithForeignId(const FakeEndpoint::Exchange &exchange)
{
    net::Headers headers = FakeEndpoint::stamped(exchange);
    headers.set("Request-Id", "another");
    exchange->respond(200, headers, "another's answer");
}

} // namespace

// Guards against forwarding the response to another request that is left over on a persistent
// connection: it is dropped, and the request runs elsewhere when its own response doesn't arrive.
Test(platformhttp, foreignAnswerIsNotForwarded, .timeout = 60)
{
    Fixture fixture;
    for (int number = 0; number < 4; ++number)
        cr_assert_eq(fixture.call("/get/a", "warm" + std::to_string(number))->head.status, 200);
    fixture.first.run = answerWithForeignId;
    for (int number = 0; number < 4; ++number) {
        const auto answer = fixture.call("/get/a", "r" + std::to_string(number));
        cr_assert_eq(answer->head.status, 200);
        cr_assert_eq(answer->head.headers.value("Request-Id"), "r" + std::to_string(number));
        cr_assert_eq(answer->body, "whole answer");
    }
}

// Guards against buffering a whole stream in the daemon when its client reads slowly or not at all.
Test(platformhttp, slowReaderLimitsTheEndpointsOutput, .timeout = 60)
{
    Fixture fixture("model");
    constexpr int eventsPerChunk = 3000;
    constexpr std::size_t totalBytes = 48 * 1024 * 1024;
    FakeEndpoint::Exchange stream;
    const auto run = [&stream](const FakeEndpoint::Exchange &exchange) {
        exchange->startChunked(200, FakeEndpoint::stamped(exchange));
        stream = exchange;
    };
    fixture.first.run = fixture.second.run = run;
    const auto answer = fixture.start("/once/a", "r1", "base");
    cr_assert(fixture.waitUntil([&] { return stream != nullptr; }));
    stream->writeChunk(event(0));
    cr_assert(fixture.waitUntil([&] { return !answer->body.empty(); }));
    answer->connection->setReadEnabled(false);
    std::size_t written = 0;
    for (int id = 1; written < totalBytes; id += eventsPerChunk) {
        const std::string chunk = events(id, id + eventsPerChunk - 1);
        written += chunk.size();
        stream->writeChunk(chunk);
    }
    fixture.runLoopFor(milliseconds(1500));
    // The loopback sockets and the daemon's own limit buffer far less than half of the stream.
    cr_assert_gt(stream->pendingOutput(), totalBytes / 2, "only %zu bytes were held back",
                 stream->pendingOutput());
}

// Guards against a daemon that serves an outdated configuration, or is ready too early, after every
// process of the system was killed while the configuration changed.
Test(platformhttp, restartedDaemonServesTheNewestConfiguration, .timeout = 60)
{
    Fixture fixture;
    cr_assert_eq(fixture.call("/get/a", "r1")->head.status, 200);
    fixture.killDaemon();
    fixture.store.put("config", "main",
                      configuration(2, json::array({route("/moved/", "plain", "idempotent")})));
    fixture.startDaemon();
    cr_assert(fixture.waitUntil([&] { return fixture.pollReadiness() == 200; }));
    cr_assert_eq(fixture.call("/moved/a", "r2")->head.status, 200);
    cr_assert_eq(fixture.call("/get/a", "r3")->head.status, 404);
}

// Guards against sending requests for a removed endpoint to another one that reuses its address:
// the new endpoint receives only requests with its own id.
Test(platformhttp, reusedAddressIsNotUsedForTheRemovedEndpoint, .timeout = 60)
{
    Fixture fixture;
    for (int number = 0; number < 4; ++number)
        cr_assert_eq(fixture.call("/get/a", "warm" + std::to_string(number))->head.status, 200);
    const std::string removedId = fixture.first.id;
    fixture.store.remove("servers", removedId);
    fixture.first.id = "e-third";
    json record = fixture.first.record("other");
    record["born"] = 2;
    fixture.store.put("servers", fixture.first.id, record);
    fixture.store.put("config", "main",
                      configuration(2,
                                    json::array({route("/get/", "plain", "idempotent"),
                                                 route("/third/", "other", "idempotent")})));
    cr_assert(fixture.waitUntilServed("/third/a"));
    fixture.first.runs.clear();
    for (int number = 0; number < 6; ++number)
        cr_assert_eq(fixture.call("/get/a", "r" + std::to_string(number))->head.status, 200);
    cr_assert(fixture.first.runs.empty());
    for (const http::MessageHead &head : fixture.first.heads)
        cr_assert(head.headers.value("Expect-Instance") == removedId
                  || head.headers.value("Expect-Instance") == fixture.first.id);
}
