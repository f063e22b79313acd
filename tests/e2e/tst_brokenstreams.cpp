#include "support/platformfixture.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

// A daemon has an initial retry budget until it knows how many daemons share the slack.
constexpr core::Duration budgetSettleTime = milliseconds(1500);

void refuse(const FakeEndpoint::Exchange &exchange)
{
    exchange->respond(503, {{"Not-Executed", "1"}}, {});
}

/// Sends the events up to `last` and closes the connection before the end of the stream.
void interrupt(const FakeEndpoint::Exchange &exchange, int last)
{
    exchange->startChunked(200, FakeEndpoint::stamped(exchange));
    if (last > 0)
        exchange->writeChunk(events(1, last));
    exchange->abort();
}

/// Lets the endpoint with the first run interrupt its stream after event `last`; `run` answers all
/// other requests.
void interruptFirstRun(PlatformFixture &fixture, int last,
                       const std::function<void(const FakeEndpoint::Exchange &)> &run)
{
    const auto count = std::make_shared<int>(0);
    fixture.first.run = fixture.second.run
        = [count, last, run](const FakeEndpoint::Exchange &exchange) {
              if (++*count == 1)
                  interrupt(exchange, last);
              else
                  run(exchange);
          };
}

/// Keeps received requests until a test answers them.
struct RequestQueue
{
    std::vector<FakeEndpoint::Exchange> exchanges;

    std::function<void(const FakeEndpoint::Exchange &)> run()
    {
        return [this](const FakeEndpoint::Exchange &exchange) { exchanges.push_back(exchange); };
    }
    void answerFirst() const
    {
        exchanges[0]->writeChunk(events(1, 3));
        exchanges[0]->finishChunked();
    }
};

} // namespace

// Guards against a request that ends without an answer: the head of the stream was forwarded before
// its first event, so that the daemon could only close the connection when the endpoint failed and
// no other one took the request.
Test(brokenstreams, streamBrokenBeforeItsFirstEventIsAnswered, .timeout = 60)
{
    PlatformFixture fixture("model");
    interruptFirstRun(fixture, 0, refuse);
    const auto answer = fixture.call("/stream/a", "r1", "base");
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    // 503 would be wrong, because the request may have run.
    cr_assert_eq(answer->head.status, 502);
}

// Guards against a stream that ends without an answer if it must not run again.
Test(brokenstreams, unrepeatableStreamBrokenBeforeItsFirstEventIsAnswered, .timeout = 60)
{
    PlatformFixture fixture("model");
    interruptFirstRun(fixture, 0, refuse);
    const auto answer = fixture.call("/once/a", "r1", "base");
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->head.status, 502);
    cr_assert_eq(fixture.first.runs.size() + fixture.second.runs.size(), 1U);
}

// Guards against forwarding the head of an earlier endpoint, of which no event was forwarded, with
// the events of a later one, and against a stream without events losing its head.
Test(brokenstreams, restartedStreamHasItsOwnHead, .timeout = 60)
{
    PlatformFixture fixture("model");
    interruptFirstRun(fixture, 0, [](const FakeEndpoint::Exchange &exchange) {
        auto fields = FakeEndpoint::stamped(exchange);
        fields.add("X-Run", "second");
        exchange->startChunked(200, fields);
        exchange->finishChunked();
    });
    const auto answer = fixture.call("/stream/a", "r1", "base");
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->head.status, 200);
    cr_assert_eq(answer->head.headers.value("X-Run"), "second");
}

// Guards against aborting an interrupted stream at once because the retry budget is used up at this
// moment: clients wait for the next event for seconds, and each new request adds to the budget.
Test(brokenstreams, brokenStreamWaitsForTheRetryBudget, .timeout = 60)
{
    PlatformFixture fixture("model", true, 0);
    fixture.runLoopFor(budgetSettleTime);
    interruptFirstRun(fixture, 3,
                      [](const FakeEndpoint::Exchange &exchange) { stream(exchange, 6, false); });
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitUntil([&] { return answer->body == events(1, 3); }));
    fixture.runLoopFor(milliseconds(200));
    cr_assert_not(answer->isEnded, "%s", fixture.output().c_str());
    // These requests add at least one retry: a fifth of them, times three fifths.
    constexpr int requests = 10;
    for (int number = 0; number < requests; ++number)
        fixture.call("/stream/a", "more" + std::to_string(number), "base");
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 6));
}

// Guards against waiting without limit for an endpoint that resumes a stream, after its client has
// disconnected.
Test(brokenstreams, brokenStreamEndsWhenNoEndpointTakesIt, .timeout = 60)
{
    PlatformFixture fixture("model");
    interruptFirstRun(fixture, 3, refuse);
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitUntil([&] { return answer->body == events(1, 3); }));
    const core::TimePoint interruptedAt = fixture.timers.now();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert_not(answer->isComplete);
    // Clients disconnect after a gap of four times the target latency of 800 ms.
    cr_assert_lt(fixture.timers.now() - interruptedAt, milliseconds(3200));
    cr_assert_leq(fixture.first.runs.size() + fixture.second.runs.size(), 8U);
}

// Guards against aborting a request that waits in an endpoint's queue, because the endpoint is
// silent, while no other endpoint can take it: its work was aborted as it began, and its client got
// a failure or an interrupted stream instead of the answer.
Test(brokenstreams, silentEndpointIsKeptWithoutRetryBudget, .timeout = 60)
{
    PlatformFixture fixture("model", true, 0);
    fixture.runLoopFor(budgetSettleTime);
    std::vector<FakeEndpoint::Exchange> queued;
    fixture.first.run = fixture.second.run
        = [&](const FakeEndpoint::Exchange &exchange) { queued.push_back(exchange); };
    const auto answer = fixture.start("/stream/a", "r1", "base");
    // Silence is detected after twice the target latency; the head arrives just before.
    fixture.runLoopFor(milliseconds(1500));
    cr_assert_eq(queued.size(), 1U);
    queued[0]->startChunked(200, FakeEndpoint::stamped(queued[0]));
    fixture.runLoopFor(milliseconds(400));
    cr_assert_not(answer->isEnded, "%s", fixture.output().c_str());
    queued[0]->writeChunk(events(1, 3));
    queued[0]->finishChunked();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 3));
}

// Guards against aborting a request at a silent endpoint if the retry budget would allow a retry
// but no other endpoint holds the adapter or has a free slot.
Test(brokenstreams, silentEndpointIsKeptWithoutAnAlternative, .timeout = 60)
{
    PlatformFixture fixture("model");
    fixture.store.remove("servers", fixture.second.id);
    fixture.runLoopFor(milliseconds(1500));
    std::vector<FakeEndpoint::Exchange> queued;
    fixture.first.run = [&](const FakeEndpoint::Exchange &exchange) { queued.push_back(exchange); };
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitUntil([&] { return queued.size() == 1; }));
    // It accepts no new requests from here on, and continues those that it has.
    fixture.store.put("servers", fixture.first.id, fixture.first.record("model", "draining"));
    fixture.runLoopFor(milliseconds(2200));
    cr_assert_not(answer->isEnded, "%s", fixture.output().c_str());
    queued[0]->startChunked(200, FakeEndpoint::stamped(queued[0]));
    queued[0]->writeChunk(events(1, 3));
    queued[0]->finishChunked();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
}

// Guards against removing a request from the queue of the only endpoint that holds its adapter,
// only to add it at the end of the same queue.
Test(brokenstreams, requestStaysQueuedAtItsOnlyHolder, .timeout = 60)
{
    PlatformFixture fixture("model");
    fixture.store.remove("servers", fixture.second.id);
    fixture.runLoopFor(milliseconds(1500));
    RequestQueue queue;
    fixture.first.run = queue.run();
    const auto answer = fixture.start("/stream/a", "r1", "base");
    fixture.runLoopFor(milliseconds(2200));
    cr_assert_eq(queue.exchanges.size(), 1U, "%s", fixture.output().c_str());
    queue.exchanges[0]->startChunked(200, FakeEndpoint::stamped(queue.exchanges[0]));
    queue.answerFirst();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete);
}

// Guards against aborting a run as it begins: the head of its answer had arrived, but silence was
// measured from the send.
Test(brokenstreams, headCountsAsActivity, .timeout = 60)
{
    PlatformFixture fixture("model");
    RequestQueue queue;
    fixture.first.run = fixture.second.run = queue.run();
    const auto answer = fixture.start("/stream/a", "r1", "base");
    fixture.runLoopFor(milliseconds(1450));
    cr_assert_eq(queue.exchanges.size(), 1U);
    queue.exchanges[0]->startChunked(200, FakeEndpoint::stamped(queue.exchanges[0]));
    fixture.runLoopFor(milliseconds(600));
    cr_assert_eq(queue.exchanges.size(), 1U, "%s", fixture.output().c_str());
    queue.answerFirst();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete);
}

// Guards against forwarding the head with a comment, after which the daemon can only close the
// connection if the stream breaks.
Test(brokenstreams, commentDoesNotForwardTheHead, .timeout = 60)
{
    PlatformFixture fixture("model");
    int runs = 0;
    const auto run = [&](const FakeEndpoint::Exchange &exchange) {
        if (++runs > 1) {
            refuse(exchange);
            return;
        }
        exchange->startChunked(200, FakeEndpoint::stamped(exchange));
        exchange->writeChunk(": still here\n\n");
        exchange->abort();
    };
    fixture.first.run = fixture.second.run = run;
    const auto answer = fixture.call("/stream/a", "r1", "base");
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->head.status, 502);
}

// Guards against forwarding a part of an event of one run before the events of the next run.
Test(brokenstreams, truncatedFirstEventIsNotJoinedToTheNextRun, .timeout = 60)
{
    PlatformFixture fixture("model");
    int runs = 0;
    const auto run = [&](const FakeEndpoint::Exchange &exchange) {
        if (++runs > 1) {
            stream(exchange, 4, false);
            return;
        }
        exchange->startChunked(200, FakeEndpoint::stamped(exchange));
        exchange->writeChunk("id: 1\nda");
        exchange->abort();
    };
    fixture.first.run = fixture.second.run = run;
    const auto answer = fixture.call("/stream/a", "r1", "base");
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 4));
}

// Guards against resuming a stream after its client has disconnected: the gap after which clients
// disconnect begins with the last event, not with the interruption that is detected later.
Test(brokenstreams, gapIsMeasuredFromTheLastEvent, .timeout = 60)
{
    PlatformFixture fixture("model");
    FakeEndpoint::Exchange interrupted;
    fixture.first.run = fixture.second.run = [&](const FakeEndpoint::Exchange &exchange) {
        if (interrupted) {
            refuse(exchange);
            return;
        }
        interrupted = exchange;
        exchange->startChunked(200, FakeEndpoint::stamped(exchange));
        exchange->writeChunk(events(1, 3));
    };
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitUntil([&] { return answer->body == events(1, 3); }));
    const core::TimePoint lastEventAt = fixture.timers.now();
    fixture.runLoopFor(milliseconds(900));
    interrupted->abort();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    // Four target latencies less one, and some event loop iterations.
    cr_assert_lt(fixture.timers.now() - lastEventAt, milliseconds(2700), "%s",
                 fixture.output().c_str());
}
