#include "support/platformfixture.h"

#include <algorithm>
#include <csignal>
#include <list>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

/// A daemon before endpoints that work for a fixed time, and the requests that are sent to it from
/// SIGTERM until its process is gone.
struct Fixture
{
    PlatformFixture platform;
    core::Duration workTime {};
    std::list<net::TimerService::Subscription> work;
    std::vector<std::string> accepted; ///< Ids of the requests that endpoints began to run.
    std::vector<std::pair<std::string, AnswerPtr>> answers;

    explicit Fixture(core::Duration time)
        : workTime(time)
    {
        constexpr int timeoutMilliseconds = 6000;
        constexpr int streamTimeoutMilliseconds = 12000;
        platform.store.put(
            "config", "main",
            configuration(2,
                          {route("/get/", "plain", "idempotent", false, timeoutMilliseconds),
                           route("/order/", "plain", "non_idempotent", false, timeoutMilliseconds),
                           route("/stream/", "plain", "stream", true, streamTimeoutMilliseconds),
                           route("/ready/", "plain", "idempotent")}));
        for (FakeEndpoint *endpoint : {&platform.first, &platform.second})
            endpoint->run = [this](const FakeEndpoint::Exchange &exchange) { run(exchange); };
        cr_assert(platform.waitUntilServed("/ready/a"));
        accepted.clear();
    }

    void run(const FakeEndpoint::Exchange &exchange)
    {
        if (exchange->head.target.starts_with("/ready/")) {
            exchange->respond(200, FakeEndpoint::stamped(exchange), "ready");
            return;
        }
        accepted.push_back(exchange->head.headers.value("Request-Id"));
        if (exchange->head.target.starts_with("/stream/")) {
            exchange->startChunked(200, FakeEndpoint::stamped(exchange));
            continueStream(exchange, 1, platform.timers.now() + workTime);
            return;
        }
        work.push_back(platform.timers.once(workTime, [exchange] {
            exchange->respond(200, FakeEndpoint::stamped(exchange), "whole answer");
        }));
    }

    /// Sends an event every 100 ms until the end of the work.
    void continueStream(const FakeEndpoint::Exchange &exchange, int next, core::TimePoint end)
    {
        exchange->writeChunk(event(next));
        const core::Duration left = end - platform.timers.now();
        if (left <= core::Duration::zero()) {
            exchange->finishChunked();
            return;
        }
        work.push_back(platform.timers.once(
            std::min<core::Duration>(left, milliseconds(100)),
            [this, exchange, next, end] { continueStream(exchange, next + 1, end); }));
    }

    void send(const std::string &path)
    {
        const std::string id = path.substr(1, 1) + std::to_string(answers.size());
        const char *deadline = path.starts_with("/stream/") ? "12000" : "6000";
        answers.emplace_back(id,
                             platform.send(platform.callerPort,
                                           "POST " + path
                                               + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
                                               + "\r\nDeadline-Ms: " + deadline
                                               + "\r\nContent-Length: 4\r\n\r\nbody",
                                           id));
    }

    bool areAllEnded() const
    {
        return std::ranges::all_of(answers, [](const auto &sent) { return sent.second->isEnded; });
    }

    /// Lets the daemon learn how long the endpoints work.
    void warmUp(const std::string &path = "/get/a")
    {
        constexpr int requests = 10;
        for (int number = 0; number < requests; ++number)
            send(path);
        cr_assert(platform.waitUntil([this] { return areAllEnded(); }));
        answers.clear();
        accepted.clear();
    }

    bool hasRun(const std::string &id) const
    {
        return std::ranges::find(accepted, id) != accepted.end();
    }

    /// Stops the daemon, sends a request to each path in each period until its process is gone, and
    /// checks that each was answered completely, or refused and not run.
    void checkPlannedStop(const std::vector<std::string> &paths = {"/order/a", "/get/a"},
                          core::Duration period = milliseconds(100))
    {
        platform.daemon.signal(SIGTERM);
        const auto sender = platform.timers.every(period, [this, &paths] {
            for (const std::string &path : paths)
                send(path);
        });
        cr_assert(platform.waitUntil([this] { return platform.daemon.exitCode().has_value(); }));
        cr_assert_eq(*platform.daemon.exitCode(), 0);
        const core::TimePoint exitedAt = platform.timers.now();
        cr_assert(platform.waitUntil([this] { return areAllEnded(); }));
        int served = 0;
        for (const auto &[id, answer] : answers) {
            const bool isAnswered = answer->isComplete && answer->head.status == 200;
            served += isAnswered ? 1 : 0;
            const bool isRefused = answer->isComplete && answer->head.status == 503 && !hasRun(id);
            // The process may end while a connection is opened.
            const bool isTooLate = !hasRun(id) && !answer->isComplete
                && exitedAt - answer->startedAt < milliseconds(200);
            cr_assert(isAnswered || isRefused || isTooLate,
                      "%s, sent %.2f s before the exit: status %d, complete %d, ran %d\n%s",
                      id.c_str(), core::toSeconds(exitedAt - answer->startedAt),
                      answer->head.status, static_cast<int>(answer->isComplete),
                      static_cast<int>(hasRun(id)), platform.output().c_str());
        }
        cr_assert_gt(served, 0);
    }
};

} // namespace

// Guards against requests that are sent to an endpoint late in a planned stop and cut off when the
// process ends: work that may not be repeated had run, and its caller got a 504.
Test(plannedstop, slowWorkIsNotCutOff, .timeout = 60)
{
    Fixture fixture(std::chrono::seconds(3));
    fixture.warmUp();
    fixture.checkPlannedStop();
}

// Guards against streams that are accepted in a planned stop because earlier ones took less time,
// and are cut off when the process ends.
Test(plannedstop, streamsThatBecomeSlowerAreNotCutOff, .timeout = 120)
{
    struct Case
    {
        core::Duration before;
        core::Duration after;
    };
    const Case cases[] = {{milliseconds(500), milliseconds(5500)},
                          {milliseconds(1000), milliseconds(4500)},
                          {milliseconds(100), milliseconds(6300)},
                          {milliseconds(2500), milliseconds(4800)}};
    for (const Case &times : cases) {
        Fixture fixture(times.before);
        fixture.warmUp("/stream/a");
        fixture.workTime = times.after;
        fixture.checkPlannedStop({"/stream/a"});
    }
}

// Guards against the same at a rate at which few requests tell that work has become slower.
Test(plannedstop, rareRequestsThatBecomeSlowerAreNotCutOff, .timeout = 120)
{
    struct Case
    {
        const char *path;
        core::Duration before;
        core::Duration after;
        core::Duration period;
    };
    const Case cases[] = {{"/stream/a", milliseconds(100), milliseconds(5000), milliseconds(1500)},
                          {"/stream/a", milliseconds(400), milliseconds(4800), milliseconds(900)},
                          {"/order/a", milliseconds(100), milliseconds(4800), milliseconds(1500)}};
    for (const Case &rare : cases) {
        Fixture fixture(rare.before);
        fixture.warmUp(rare.path);
        fixture.workTime = rare.after;
        fixture.checkPlannedStop({rare.path}, rare.period);
    }
}

// Guards against work that is accepted late in a stop because most other work of its service is
// short.
Test(plannedstop, longWorkAmongShortIsNotCutOff, .timeout = 60)
{
    Fixture fixture(milliseconds(20));
    for (FakeEndpoint *endpoint : {&fixture.platform.first, &fixture.platform.second})
        endpoint->run = [&fixture](const FakeEndpoint::Exchange &exchange) {
            const bool isOrder = exchange->head.target.starts_with("/order/");
            fixture.workTime = milliseconds(isOrder ? 3000 : 20);
            fixture.run(exchange);
        };
    fixture.warmUp("/order/a");
    constexpr int rounds = 8; // More than the answers that are remembered.
    for (int round = 0; round < rounds; ++round)
        fixture.warmUp("/get/a");
    fixture.platform.daemon.signal(SIGTERM);
    int ticks = 0;
    constexpr int orderTick = 100; // 5 s after SIGTERM.
    const auto sender = fixture.platform.timers.every(
        milliseconds(50), [&] { fixture.send(++ticks == orderTick ? "/order/a" : "/get/a"); });
    cr_assert(
        fixture.platform.waitUntil([&] { return fixture.platform.daemon.exitCode().has_value(); }));
    cr_assert(fixture.platform.waitUntil([&] { return fixture.areAllEnded(); }));
    for (const auto &[id, answer] : fixture.answers)
        cr_assert(!id.starts_with("o") || !fixture.hasRun(id) || answer->head.status == 200,
                  "%s ran, status %d\n%s", id.c_str(), answer->head.status,
                  fixture.platform.output().c_str());
}

// Guards against giving up the rest of a stream whose endpoint breaks off in a stop, although
// another one would go on with it in time.
Test(plannedstop, brokenStreamIsResumed, .timeout = 60)
{
    Fixture fixture(milliseconds(900));
    fixture.warmUp("/stream/a");
    fixture.platform.daemon.signal(SIGTERM);
    fixture.platform.runLoopFor(milliseconds(1000));
    bool hasBroken = false;
    for (FakeEndpoint *endpoint : {&fixture.platform.first, &fixture.platform.second})
        endpoint->run = [&](const FakeEndpoint::Exchange &exchange) {
            if (std::exchange(hasBroken, true)) {
                stream(exchange, 6, false);
                return;
            }
            exchange->startChunked(200, FakeEndpoint::stamped(exchange));
            exchange->writeChunk(events(1, 3));
            // By then only what is nearly certain to end is accepted.
            fixture.work.push_back(fixture.platform.timers.once(milliseconds(1000),
                                                                [exchange] { exchange->abort(); }));
        };
    fixture.send("/stream/a");
    cr_assert(fixture.platform.waitUntil([&] { return fixture.areAllEnded(); }));
    const auto &answer = fixture.answers.front().second;
    cr_assert(answer->isComplete, "%s", fixture.platform.output().c_str());
    cr_assert_eq(answer->body, events(1, 6));
}

// The same for work that is answered at once, and may not be repeated.
Test(plannedstop, workThatBecomesSlowerIsNotCutOff, .timeout = 60)
{
    Fixture fixture(milliseconds(100));
    fixture.warmUp();
    fixture.workTime = milliseconds(4800);
    // A shorter period fills the endpoints, so that they accept nothing late in the stop.
    fixture.checkPlannedStop({"/order/a"}, milliseconds(300));
}

// The same without earlier answers, so that only the limits of the requests are known.
Test(plannedstop, workOfUnknownTimeIsNotCutOff, .timeout = 60)
{
    Fixture fixture(std::chrono::seconds(3));
    fixture.checkPlannedStop();
}

// Guards against a stop in which fast work is refused, and against new connections that are closed
// before their first request is read.
Test(plannedstop, fastWorkIsServedUntilTheEnd, .timeout = 60)
{
    Fixture fixture(milliseconds(20));
    fixture.warmUp();
    fixture.platform.daemon.signal(SIGTERM);
    const core::TimePoint stoppedAt = fixture.platform.timers.now();
    while (fixture.platform.timers.now() - stoppedAt < std::chrono::seconds(5)) {
        fixture.send("/order/a");
        fixture.platform.runLoopFor(milliseconds(50));
        if (fixture.platform.daemon.exitCode())
            break;
    }
    cr_assert(fixture.platform.waitUntil([&] { return fixture.areAllEnded(); }));
    // The process ends when no connection is left, so that the last ones may find it gone.
    constexpr std::size_t lastOnes = 3;
    for (std::size_t number = 0; number + lastOnes < fixture.answers.size(); ++number) {
        const auto &[id, answer] = fixture.answers[number];
        cr_assert_eq(answer->head.status, 200, "%s of %zu\n%s", id.c_str(), fixture.answers.size(),
                     fixture.platform.output().c_str());
    }
}

// Guards against a connection that the daemon closes as idle while the first request is on its way:
// clients open it, and send after a round trip.
Test(plannedstop, newConnectionGetsTimeForItsFirstRequest, .timeout = 60)
{
    Fixture fixture(std::chrono::seconds(1));
    fixture.warmUp();
    fixture.platform.daemon.signal(SIGTERM);
    fixture.platform.runLoopFor(milliseconds(2400));
    // Keeps the process running.
    fixture.send("/order/a");
    fixture.platform.runLoopFor(milliseconds(400));
    http::Connection raw(fixture.platform.loop, {"127.0.0.1", fixture.platform.callerPort}, limit);
    bool isClosed = false;
    std::string received;
    raw.setHandlers({.onConnected = {},
                     .onData =
                         [&] {
                             received += raw.received();
                             raw.consume(raw.received().size());
                         },
                     .onDrained = {},
                     .onClosed = [&](http::CloseReason) { isClosed = true; }});
    fixture.platform.runLoopFor(milliseconds(200));
    cr_assert_not(isClosed, "closed before its first request");
    raw.write("GET /get/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: first\r\n"
              "Deadline-Ms: 2000\r\n\r\n");
    cr_assert(fixture.platform.waitUntil([&] { return isClosed || !received.empty(); }));
    cr_assert(received.starts_with("HTTP/1.1 200"), "%s", received.c_str());
}
