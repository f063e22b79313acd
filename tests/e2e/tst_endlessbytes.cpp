#include "support/platformfixture.h"
#include "support/rawpeer.h"

#include <algorithm>
#include <list>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

constexpr double memoryLimitMegabytes = 256; ///< Of the daemon, without a setting.
constexpr core::Duration otherAnswerLimit = std::chrono::seconds(4); ///< Timeout of its route.
constexpr int minOtherRequests = 5;

/// Endpoints of one service that answer without end, and sound endpoints of another service.
struct Fixture
{
    PlatformFixture platform {"other"};
    RawPeer::DataHandler onRequest;
    net::Address firstAddress {"127.0.0.1", platform.picker.take()};
    net::Address secondAddress {"127.0.0.1", platform.picker.take()};
    std::list<EndlessWriter> writers;
    RawPeer firstPeer {platform.loop, firstAddress, handler()};
    RawPeer secondPeer {platform.loop, secondAddress, handler()};
    double peakMegabytes = 0;
    net::TimerService::Subscription memoryCheck;

    Fixture()
    {
        platform.store.put("config", "main",
                           configuration(2,
                                         {route("/get/", "plain", "idempotent"),
                                          route("/order/", "plain", "non_idempotent"),
                                          route("/sound/", "other", "non_idempotent")}));
        constexpr int slots = 200;
        for (const auto &[name, address] :
             {std::pair {"e-raw1", &firstAddress}, {"e-raw2", &secondAddress}}) {
            json record = platform.first.record("plain");
            record["address"] = address->toString();
            record["slots"] = slots;
            platform.store.put("servers", name, record);
        }
        platform.runLoopFor(milliseconds(2500));
        memoryCheck = platform.timers.every(milliseconds(10), [this] { checkMemory(); });
    }

    RawPeer::DataHandler handler()
    {
        return [this](http::Connection &connection, std::string_view bytes) {
            onRequest(connection, bytes);
        };
    }

    void checkMemory()
    {
        peakMegabytes = std::max(peakMegabytes, usageOf(platform.daemon).residentMegabytes);
    }

    bool isOpen(const http::Connection &connection) const
    {
        return firstPeer.isOpen(connection) || secondPeer.isOpen(connection);
    }

    /// Sends requests whose answer begins with `begin` and goes on with `repeated` without end, and
    /// checks that the daemon stays within its memory and answers other requests in time.
    void checkEndless(const std::string &begin, const std::string &repeated, int count)
    {
        onRequest = [&](http::Connection &connection, std::string_view) {
            connection.write(begin);
            writers.emplace_back(platform.timers, repeated).start(connection, [this, &connection] {
                return isOpen(connection);
            });
        };
        std::vector<AnswerPtr> answers;
        answers.reserve(static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number)
            answers.push_back(platform.start(number % 2 == 0 ? "/get/a" : "/order/a",
                                             "r" + std::to_string(number)));
        const auto areEnded = [&answers] {
            return std::ranges::all_of(answers, [](const auto &sent) { return sent->isEnded; });
        };
        int number = 0;
        AnswerPtr other;
        cr_assert(platform.waitUntil([&] {
            if (other && other->isEnded) {
                cr_assert_eq(other->head.status, 200, "%s", platform.output().c_str());
                cr_assert_lt(other->endedAt - other->startedAt, otherAnswerLimit);
                other.reset();
            }
            if (!other && (number < minOtherRequests || !areEnded()))
                other = platform.start("/sound/a", "other" + std::to_string(number++));
            return !other && areEnded();
        }));
        cr_assert_lt(peakMegabytes, memoryLimitMegabytes, "after %s", begin.c_str());
        cr_assert_eq(platform.daemon.exitCode(), std::nullopt);
        for (const AnswerPtr &answer : answers)
            cr_assert_geq(answer->head.status, 500);
        writers.clear();
    }
};

const std::string stamped = "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n";
const std::string filler(4096, 'x');

} // namespace

// These guard against endpoints whose answers have no end: the daemon kept up to 4 MB of each, and
// 100 at once took it past its memory limit, so that it was killed with all other requests.
Test(endlessbytes, bodiesWithLength, .timeout = 120)
{
    Fixture fixture;
    fixture.checkEndless(stamped + "Content-Length: 4000000\r\n\r\n", filler, 100);
}

Test(endlessbytes, bodiesWithoutLength, .timeout = 120)
{
    Fixture fixture;
    fixture.checkEndless(stamped + "\r\n", filler, 100);
}

Test(endlessbytes, chunkedBodies, .timeout = 120)
{
    Fixture fixture;
    fixture.checkEndless(stamped + "Transfer-Encoding: chunked\r\n\r\n",
                         "1000\r\n" + filler + "\r\n", 100);
}

Test(endlessbytes, bodiesOfFailures, .timeout = 120)
{
    Fixture fixture;
    fixture.checkEndless("HTTP/1.1 500 Failed\r\n\r\n", filler, 100);
}

Test(endlessbytes, headsOfAllKinds, .timeout = 120)
{
    Fixture fixture;
    const std::pair<std::string, std::string> heads[] {
        {"HTTP/1.1 200 ", filler},
        {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
        {"HTTP/1.1 200 OK\r\nX-Name-", filler},
        {"HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {stamped + "Transfer-Encoding: chunked\r\n\r\n", "0"},
        {stamped + "Transfer-Encoding: chunked\r\n\r\n4;extension=", filler},
        {stamped + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: and more\r\n"},
    };
    constexpr int requests = 20;
    for (const auto &[begin, repeated] : heads)
        fixture.checkEndless(begin, repeated, requests);
}

// Guards against the bodies of clients that together exceed the memory of the process: 30 requests
// of 4 MB took it to 290 MB. A refused request must not have run.
Test(endlessbytes, largeRequestsStayWithinTheMemory, .timeout = 120)
{
    Fixture fixture;
    PlatformFixture &platform = fixture.platform;
    json limits = configuration(3, json::array({route("/order/", "other", "non_idempotent")}));
    constexpr std::size_t bodyBytes = 4UL * 1024 * 1024;
    limits["limits"]["max_body_bytes"] = bodyBytes;
    platform.store.put("config", "main", limits);
    platform.runLoopFor(milliseconds(500));
    std::vector<net::TimerService::Subscription> work;
    for (FakeEndpoint *endpoint : {&platform.first, &platform.second})
        endpoint->run = [&](const FakeEndpoint::Exchange &exchange) {
            work.push_back(platform.timers.once(milliseconds(1000), [exchange] {
                exchange->respond(200, FakeEndpoint::stamped(exchange), "whole answer");
            }));
        };
    std::vector<std::pair<std::string, AnswerPtr>> answers;
    constexpr int requests = 60;
    const std::string body(bodyBytes, 'x');
    for (int number = 0; number < requests; ++number) {
        const std::string id = "r" + std::to_string(number);
        std::string request = "POST /order/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
            + "\r\nDeadline-Ms: 4000\r\nContent-Length: ";
        request += std::to_string(bodyBytes);
        request += "\r\n\r\n";
        request += body;
        answers.emplace_back(id, platform.send(platform.callerPort, request));
    }
    cr_assert(platform.waitUntil([&] {
        return std::ranges::all_of(answers, [](const auto &sent) { return sent.second->isEnded; });
    }));
    int served = 0;
    for (const auto &[id, answer] : answers) {
        const auto hasRun = [&name = id](const FakeEndpoint &endpoint) {
            return std::ranges::find(endpoint.runs, name) != endpoint.runs.end();
        };
        served += answer->head.status == 200 ? 1 : 0;
        if (answer->head.status == 503)
            cr_assert_not(hasRun(platform.first) || hasRun(platform.second));
    }
    std::string statuses;
    for (const auto &[id, answer] : answers)
        statuses += " " + std::to_string(answer->head.status);
    cr_assert_gt(served, 0, "%s\n%s", statuses.c_str(), platform.output().c_str());
    cr_assert_lt(fixture.peakMegabytes, memoryLimitMegabytes);
    cr_assert_eq(platform.daemon.exitCode(), std::nullopt);
}

// Guards against answers that their callers don't read and that stay buffered without a limit.
Test(endlessbytes, unreadAnswersStayWithinTheMemory, .timeout = 120)
{
    Fixture fixture;
    PlatformFixture &platform = fixture.platform;
    const std::string body(3UL * 1024 * 1024, 'x');
    for (FakeEndpoint *endpoint : {&platform.first, &platform.second})
        endpoint->run = [&body](const FakeEndpoint::Exchange &exchange) {
            exchange->respond(200, FakeEndpoint::stamped(exchange), body);
        };
    std::vector<std::unique_ptr<http::Connection>> callers;
    constexpr int callerCount = 120;
    for (int number = 0; number < callerCount; ++number) {
        callers.push_back(std::make_unique<http::Connection>(
            platform.loop, net::Address {"127.0.0.1", platform.callerPort}, limit));
        http::Connection &caller = *callers.back();
        caller.setHandlers({.onConnected =
                                [&caller, number] {
                                    caller.setReadEnabled(false);
                                    caller.write("GET /sound/a HTTP/1.1\r\nHost: a.example\r\n"
                                                 "Request-Id: slow"
                                                 + std::to_string(number)
                                                 + "\r\nDeadline-Ms: 4000\r\n\r\n");
                                },
                            .onData = {},
                            .onDrained = {},
                            .onClosed = [](http::CloseReason) {}});
    }
    platform.runLoopFor(std::chrono::seconds(6));
    cr_assert_lt(fixture.peakMegabytes, memoryLimitMegabytes);
    cr_assert_eq(platform.daemon.exitCode(), std::nullopt);
    platform.first.run = platform.second.run = [](const FakeEndpoint::Exchange &exchange) {
        exchange->respond(200, FakeEndpoint::stamped(exchange), "whole answer");
    };
    cr_assert_eq(platform.call("/sound/a", "last")->head.status, 200);
}
