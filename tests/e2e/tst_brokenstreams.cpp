#include "support/platformfixture.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

// After its start a daemon uses some repeated sends until it knows how many daemons share them.
constexpr core::Duration budgetKnown = milliseconds(1500);

void refuse(const FakeEndpoint::Exchange &exchange)
{
    exchange->respond(503, {{"Not-Executed", "1"}}, {});
}

/// Passes on the events up to `last` and ends without the end of the stream.
void breakOff(const FakeEndpoint::Exchange &exchange, int last)
{
    exchange->startChunked(200, FakeEndpoint::stamped(exchange));
    if (last > 0)
        exchange->writeChunk(events(1, last));
    exchange->abort();
}

/// Endpoints of which the first one asked breaks its stream off behind event `last`; the other
/// requests are answered as `run` says.
void breakFirstRun(PlatformFixture &fixture, int last,
                   const std::function<void(const FakeEndpoint::Exchange &)> &run)
{
    const auto count = std::make_shared<int>(0);
    fixture.first.run = fixture.second.run
        = [count, last, run](const FakeEndpoint::Exchange &exchange) {
              if (++*count == 1)
                  breakOff(exchange, last);
              else
                  run(exchange);
          };
}

/// Keeps the requests that it gets, until a test answers them.
struct Queue
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

// Guards against a request that ends without an answer: the head of the stream was passed on before
// its first event, so that closing the connection was all that was left when its endpoint broke off
// and no other one took the request.
Test(brokenstreams, streamBrokenBeforeItsFirstEventIsAnswered, .timeout = 60)
{
    PlatformFixture fixture("model");
    breakFirstRun(fixture, 0, refuse);
    const auto answer = fixture.call("/stream/a", "r1", "base");
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    // It may have run, so that nothing else is true.
    cr_assert_eq(answer->head.status, 502);
}

// Guards against the same for a stream that must not run again.
Test(brokenstreams, unrepeatableStreamBrokenBeforeItsFirstEventIsAnswered, .timeout = 60)
{
    PlatformFixture fixture("model");
    breakFirstRun(fixture, 0, refuse);
    const auto answer = fixture.call("/once/a", "r1", "base");
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->head.status, 502);
    cr_assert_eq(fixture.first.runs.size() + fixture.second.runs.size(), 1U);
}

// Guards against the head of an earlier endpoint standing over the events of a later one while
// nothing of the earlier one was passed on, and against a stream without events losing its head.
Test(brokenstreams, streamThatStartsAnewHasItsOwnHead, .timeout = 60)
{
    PlatformFixture fixture("model");
    breakFirstRun(fixture, 0, [](const FakeEndpoint::Exchange &exchange) {
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

// Guards against a stream that broke off midway being ended at once because the budget of repeated
// sends is used up at this moment: callers wait for the next event for seconds, and each new
// request adds to the budget.
Test(brokenstreams, brokenStreamWaitsForTheBudget, .timeout = 60)
{
    PlatformFixture fixture("model", true, 0);
    fixture.runLoopFor(budgetKnown);
    breakFirstRun(fixture, 3,
                  [](const FakeEndpoint::Exchange &exchange) { stream(exchange, 6, false); });
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitUntil([&] { return answer->body == events(1, 3); }));
    fixture.runLoopFor(milliseconds(200));
    cr_assert_not(answer->isEnded, "%s", fixture.output().c_str());
    // A fifth of them, and three fifths of that, are at least one.
    constexpr int requests = 10;
    for (int number = 0; number < requests; ++number)
        fixture.call("/stream/a", "more" + std::to_string(number), "base");
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 6));
}

// Guards against a stream that goes on being waited for without end: its caller has left by then.
Test(brokenstreams, brokenStreamEndsWhenNoEndpointTakesIt, .timeout = 60)
{
    PlatformFixture fixture("model");
    breakFirstRun(fixture, 3, refuse);
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitUntil([&] { return answer->body == events(1, 3); }));
    const core::TimePoint brokenAt = fixture.timers.now();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert_not(answer->isComplete);
    // Four times the target latency of 800 ms is the longest gap that callers bear.
    cr_assert_lt(fixture.timers.now() - brokenAt, milliseconds(3200));
    cr_assert_leq(fixture.first.runs.size() + fixture.second.runs.size(), 8U);
}

// Guards against a request that waits in an endpoint's queue being taken from there for its silence
// while nothing else can take it: its work was cut off as it began, and its caller got a failure or
// a broken stream in place of the answer.
Test(brokenstreams, silentEndpointIsKeptWithoutABudgetForAnother, .timeout = 60)
{
    PlatformFixture fixture("model", true, 0);
    fixture.runLoopFor(budgetKnown);
    std::vector<FakeEndpoint::Exchange> queued;
    fixture.first.run = fixture.second.run
        = [&](const FakeEndpoint::Exchange &exchange) { queued.push_back(exchange); };
    const auto answer = fixture.start("/stream/a", "r1", "base");
    // Twice the target latency is when silence is noticed; the head comes just before.
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

// Guards against the same where the budget would allow it and no other endpoint holds the adapter
// or has room.
Test(brokenstreams, silentEndpointIsKeptWhileAllOthersAreGone, .timeout = 60)
{
    PlatformFixture fixture("model");
    fixture.store.remove("servers", fixture.second.id);
    fixture.runLoopFor(milliseconds(1500));
    std::vector<FakeEndpoint::Exchange> queued;
    fixture.first.run = [&](const FakeEndpoint::Exchange &exchange) { queued.push_back(exchange); };
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitUntil([&] { return queued.size() == 1; }));
    // It takes nothing new from here on, and goes on with what it has.
    fixture.store.put("servers", fixture.first.id, fixture.first.record("model", "draining"));
    fixture.runLoopFor(milliseconds(2200));
    cr_assert_not(answer->isEnded, "%s", fixture.output().c_str());
    queued[0]->startChunked(200, FakeEndpoint::stamped(queued[0]));
    queued[0]->writeChunk(events(1, 3));
    queued[0]->finishChunked();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
}

// Guards against a request being cut from the queue of the only endpoint that holds its adapter, to
// be put at the end of the same queue.
Test(brokenstreams, requestKeepsItsPlaceAtItsOnlyHolder, .timeout = 60)
{
    PlatformFixture fixture("model");
    fixture.store.remove("servers", fixture.second.id);
    fixture.runLoopFor(milliseconds(1500));
    Queue queue;
    fixture.first.run = queue.run();
    const auto answer = fixture.start("/stream/a", "r1", "base");
    fixture.runLoopFor(milliseconds(2200));
    cr_assert_eq(queue.exchanges.size(), 1U, "%s", fixture.output().c_str());
    queue.exchanges[0]->startChunked(200, FakeEndpoint::stamped(queue.exchanges[0]));
    queue.answerFirst();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete);
}

// Guards against a run being cut off in the moment in which it begins: the head of its answer had
// come, and silence was counted from the send.
Test(brokenstreams, headIsASignOfLife, .timeout = 60)
{
    PlatformFixture fixture("model");
    Queue queue;
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

// Guards against a comment that passes the head on, and leaves a closed connection as the only end.
Test(brokenstreams, commentIsNoEvent, .timeout = 60)
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

// Guards against a part of an event of one run that stands before the events of the next one.
Test(brokenstreams, tornFirstEventIsNotJoinedToTheNextRun, .timeout = 60)
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

// Guards against a stream that is waited for after its caller has left: the gap that callers bear
// begins with the last event, not with the break that is noticed later.
Test(brokenstreams, gapIsCountedFromTheLastEvent, .timeout = 60)
{
    PlatformFixture fixture("model");
    FakeEndpoint::Exchange broken;
    fixture.first.run = fixture.second.run = [&](const FakeEndpoint::Exchange &exchange) {
        if (broken) {
            refuse(exchange);
            return;
        }
        broken = exchange;
        exchange->startChunked(200, FakeEndpoint::stamped(exchange));
        exchange->writeChunk(events(1, 3));
    };
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitUntil([&] { return answer->body == events(1, 3); }));
    const core::TimePoint lastEventAt = fixture.timers.now();
    fixture.runLoopFor(milliseconds(900));
    broken->abort();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    // Four target latencies less one, and some turns of the loop.
    cr_assert_lt(fixture.timers.now() - lastEventAt, milliseconds(2700), "%s",
                 fixture.output().c_str());
}
