#include "support/forwardingfixture.h"

#include <csignal>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

bool hasInternalField(const http::MessageHead &head)
{
    return std::ranges::any_of(head.headers.fields(), [](const auto &field) {
        return field.first.starts_with("Jackdawlead-");
    });
}

} // namespace

// Guards against a request that changes on its way through another daemon, or tells endpoints and
// clients about that way.
Test(forwarding, requestAndAnswerPassUnchanged, .timeout = 90)
{
    ForwardingFixture fixture;
    std::string body;
    for (FakeEndpoint *endpoint : {&fixture.platform.first, &fixture.platform.second}) {
        endpoint->run = [&body](const FakeEndpoint::Exchange &exchange) {
            body = exchange->body;
            auto fields = FakeEndpoint::stamped(exchange);
            fields.add("Other-Field", "value");
            exchange->respond(207, fields, "some answer");
        };
    }
    fixture.platform.first.heads.clear();
    fixture.platform.second.heads.clear();
    const SentRequest request = fixture.cut.send("/order/new?x=1&y=%20");
    fixture.cut.waitForAll({request});
    cr_assert_eq(request.status(), 207, "%s", fixture.cut.output().c_str());
    cr_expect(request.answer->body == "some answer");
    cr_expect(request.answer->head.headers.value("Other-Field") == "value");
    cr_expect(request.answer->head.headers.contains("Response-Stamp"));
    cr_expect_not(hasInternalField(request.answer->head));
    cr_expect(body == "body");
    auto heads = fixture.platform.first.heads;
    heads.insert(heads.end(), fixture.platform.second.heads.begin(),
                 fixture.platform.second.heads.end());
    std::erase_if(heads, [](const auto &head) { return !head.target.starts_with("/order/"); });
    cr_assert_eq(heads.size(), 1);
    cr_expect(heads[0].method == "POST");
    cr_expect(heads[0].target == "/order/new?x=1&y=%20");
    cr_expect(heads[0].headers.value("Request-Id") == request.id);
    const int deadline = std::stoi(heads[0].headers.value("Deadline-Ms"));
    cr_expect(deadline > 3000 && deadline <= 4000, "%d ms", deadline);
    cr_expect_not(hasInternalField(heads[0]));
}

// Guards against an order that runs again, or is said not to have run, because the daemon that sent
// it on dies.
Test(forwarding, deathOfTheOtherDaemonRepeatsNoOrder, .timeout = 90)
{
    ForwardingFixture fixture;
    SentRequests orders;
    for (int number = 0; number < 10; ++number)
        orders.push_back(fixture.cut.send("/order/"));
    const auto haveRun = [&] {
        return std::ranges::all_of(
            orders, [&](const SentRequest &order) { return fixture.cut.runsOf(order) > 0; });
    };
    cr_assert(fixture.platform.waitUntil(haveRun), "%s", fixture.cut.output().c_str());
    fixture.platform.daemon.kill();
    fixture.cut.waitForAll(orders);
    for (const SentRequest &order : orders) {
        cr_expect_eq(fixture.cut.runsOf(order), 1);
        cr_expect(order.status() == 200 || order.status() == 502, "status %d", order.status());
    }
    const auto later = fixture.cut.sendFor(std::chrono::seconds(1), milliseconds(50));
    fixture.cut.waitForAll(later);
    cr_expect(std::ranges::all_of(later, [](const auto &sent) { return sent.status() == 200; }),
              "%s", fixture.cut.output().c_str());
}

// Guards against streams that lose or repeat events when the daemon that sent their request on
// dies.
Test(forwarding, streamsGoOnAfterTheDeathOfTheOtherDaemon, .timeout = 90)
{
    ForwardingFixture fixture("model");
    std::vector<FakeEndpoint::Exchange> open;
    for (FakeEndpoint *endpoint : {&fixture.platform.first, &fixture.platform.second}) {
        endpoint->run = [&open](const FakeEndpoint::Exchange &exchange) {
            if (exchange->head.headers.contains("Last-Event-Id")) {
                stream(exchange, 4, false);
                return;
            }
            exchange->startChunked(200, FakeEndpoint::stamped(exchange));
            exchange->writeChunk(events(1, 2));
            open.push_back(exchange);
        };
    }
    constexpr int streamCount = 8;
    std::vector<AnswerPtr> answers;
    answers.reserve(streamCount);
    for (int number = 0; number < streamCount; ++number)
        answers.push_back(fixture.startStream("s" + std::to_string(number)));
    const auto haveBegun = [&] {
        return std::ranges::all_of(answers,
                                   [](const auto &answer) { return answer->body == events(1, 2); });
    };
    cr_assert(fixture.platform.waitUntil(haveBegun), "events must pass as they arrive, output:\n%s",
              fixture.cut.output().c_str());
    fixture.platform.daemon.kill();
    fixture.platform.runLoopFor(std::chrono::seconds(1));
    for (const auto &exchange : open) {
        if (exchange->isOpen()) {
            exchange->writeChunk(events(3, 4));
            exchange->finishChunked();
        }
    }
    const auto isEnded = [](const auto &answer) { return answer->isEnded; };
    cr_assert(fixture.platform.waitUntil([&] { return std::ranges::all_of(answers, isEnded); }));
    for (const AnswerPtr &answer : answers) {
        cr_expect(answer->isComplete, "%s", fixture.cut.output().c_str());
        cr_expect(answer->body == events(1, 4));
    }
}

// Guards against an endpoint that goes on to work for a client that has left, because the other
// daemon keeps its connection.
Test(forwarding, leavingClientIsPassedOn, .timeout = 90)
{
    ForwardingFixture fixture("model");
    FakeEndpoint::Exchange open;
    for (FakeEndpoint *endpoint : {&fixture.platform.first, &fixture.platform.second}) {
        endpoint->run = [&open](const FakeEndpoint::Exchange &exchange) {
            exchange->startChunked(200, FakeEndpoint::stamped(exchange));
            exchange->writeChunk(events(1, 2));
            open = exchange;
        };
    }
    const AnswerPtr answer = fixture.startStream("s1");
    cr_assert(fixture.platform.waitUntil([&] { return answer->body == events(1, 2); }));
    answer->connection.reset();
    cr_expect(fixture.platform.waitUntil([&] { return !open->isOpen(); }, milliseconds(500)));
}

// Guards against a request that waits although no daemon reaches an endpoint.
Test(forwarding, requestThatNobodyCanSendIsRefusedSoon, .timeout = 90)
{
    ForwardingFixture fixture;
    fixture.platform.first.crash();
    fixture.platform.second.crash();
    fixture.platform.runLoopFor(milliseconds(100));
    const auto requests = fixture.cut.sendFor(std::chrono::seconds(1), milliseconds(50));
    fixture.cut.waitForAll(requests);
    for (const SentRequest &request : requests) {
        cr_expect_eq(request.status(), 503);
        cr_expect(request.answer->endedAt - request.answer->startedAt < std::chrono::seconds(1));
        cr_expect_eq(fixture.cut.runsOf(request), 0);
    }
}

// Guards against a client that sends requests to endpoints of its choice by the message that is
// meant for daemons.
Test(forwarding, clientsCannotUseTheWayBetweenDaemons, .timeout = 90)
{
    PlatformFixture platform;
    const AnswerPtr answer
        = platform.send(platform.callerPort,
                        "POST /endpoint-request HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
                        "Jackdawlead-Endpoint: e-first\r\nContent-Length: 4\r\n\r\nbody");
    cr_assert(platform.waitUntil([&] { return answer->isEnded; }));
    cr_expect_eq(answer->head.status, 404);
    cr_expect(platform.first.runs.empty());
}

// Guards against a request that waits at a daemon that stands still and reaches the endpoint with
// the deadline of before the wait.
Test(forwarding, timeAtAStandingDaemonCountsTowardsTheDeadline, .timeout = 90)
{
    ForwardingFixture fixture;
    struct Arrival
    {
        std::string id;
        core::Duration deadline;
        core::TimePoint at;
    };
    std::vector<Arrival> arrivals;
    for (FakeEndpoint *endpoint : {&fixture.platform.first, &fixture.platform.second}) {
        endpoint->run = [&](const FakeEndpoint::Exchange &exchange) {
            const net::Headers &fields = exchange->head.headers;
            arrivals.push_back({fields.value("Request-Id"),
                                milliseconds(std::stoi(fields.value("Deadline-Ms"))),
                                fixture.platform.timers.now()});
            exchange->respond(200, FakeEndpoint::stamped(exchange), "whole answer");
        };
    }
    for (Process *process : {&fixture.platform.daemon, &fixture.third})
        process->signal(SIGSTOP);
    SentRequests requests;
    for (int number = 0; number < 6; ++number) {
        requests.push_back(fixture.cut.send("/order/"));
        fixture.platform.runLoopFor(milliseconds(50));
    }
    fixture.platform.runLoopFor(milliseconds(1200));
    for (Process *process : {&fixture.platform.daemon, &fixture.third})
        process->signal(SIGCONT);
    fixture.cut.waitForAll(requests);
    const auto later = fixture.cut.sendFor(std::chrono::seconds(1), milliseconds(50));
    fixture.cut.waitForAll(later);
    int checked = 0;
    constexpr core::Duration tolerance = milliseconds(500);
    for (const SentRequest &request : requests) {
        for (const Arrival &arrival : arrivals) {
            if (arrival.id != request.id)
                continue;
            ++checked;
            const core::Duration left
                = milliseconds(4000) - (arrival.at - request.answer->startedAt);
            cr_expect(arrival.deadline <= left + tolerance, "%s: %lld ms instead of %lld ms",
                      request.id.c_str(),
                      static_cast<long long>(core::toMilliseconds(arrival.deadline)),
                      static_cast<long long>(core::toMilliseconds(left)));
        }
    }
    cr_expect(checked > 0, "no request waited, output:\n%s", fixture.cut.output().c_str());
    for (const SentRequest &request : later)
        cr_expect_eq(request.status(), 200);
}
