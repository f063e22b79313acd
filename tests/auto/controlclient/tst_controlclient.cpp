#include "http/controlclient.h"
#include "support/loopwait.h"
#include "support/ports.h"
#include "support/rawpeer.h"

#include <criterion/criterion.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace jackdawlead;

namespace {

constexpr char accepted[] = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
constexpr char done[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr char report[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext";

/// A peer that answers with the bytes that a test gives, and sends a second copy of its last answer
/// on a connection before the next one.
struct Fixture
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    testsupport::PortPicker ports;
    net::Address address {"127.0.0.1", ports.take()};
    std::string answer;
    bool repeatsLast = true;
    std::map<const http::Connection *, std::string> lastAnswers;
    testsupport::RawPeer peer {loop, address, [this](http::Connection &connection, auto) {
                                   std::string &last = lastAnswers[&connection];
                                   connection.write((repeatsLast ? last : "") + answer);
                                   last = answer;
                               }};
    http::ControlClient client {loop, timers};

    /// Makes a call that the peer answers with `bytes`; returns the status that the caller gets.
    int call(const std::string &bytes, const http::ControlClient::Options &options)
    {
        answer = bytes;
        std::optional<int> status;
        net::HttpRequest request;
        request.method = "POST";
        request.path = "/order";
        client.call(
            address, request, std::chrono::seconds(2),
            [&status](const auto &response) { status = response.ok() ? response->status : 0; },
            options);
        cr_assert(testsupport::waitUntil(
            loop, timers, [&status] { return status.has_value(); }, std::chrono::seconds(10)));
        // The connection is kept from the loop.
        testsupport::runFor(loop, timers, std::chrono::milliseconds(20));
        return *status;
    }
};

} // namespace

// Guards against a late second copy of an earlier success that is taken for the success of an
// unload: the planner counted a slot as free and ordered a load that crashed the endpoint.
Test(controlclient, copyOfAnEmptySuccessIsNotTakenForTheNextOne, .timeout = 30)
{
    Fixture fixture;
    const http::ControlClient::Options unload {.needsOwnSuccess = true};
    cr_assert_eq(fixture.call(done, unload), 200);
    cr_assert_eq(fixture.call(accepted, unload), 202);
    cr_assert_eq(fixture.peer.accepted(), 2);
}

// Guards against a new connection for each order, which endpoints and prices count: a copy of an
// answer that can be told from a success does no harm.
Test(controlclient, connectionsAreReusedAfterOtherAnswers, .timeout = 30)
{
    Fixture fixture;
    fixture.repeatsLast = false;
    const http::ControlClient::Options unload {.needsOwnSuccess = true};
    cr_assert_eq(fixture.call(done, unload), 200);
    cr_assert_eq(fixture.call(accepted, {}), 202);
    cr_assert_eq(fixture.call(done, unload), 200);
    cr_assert_eq(fixture.call(report, {}), 200);
    cr_assert_eq(fixture.call(done, unload), 200);
    cr_assert_eq(fixture.peer.accepted(), 1);
}

// Guards against the answer to an order that is taken for that to the next call: a late copy of a
// report was read instead, and the own answer was still on its way on the same connection.
Test(controlclient, connectionWithACopyIsNotUsedAgain, .timeout = 30)
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    testsupport::PortPicker ports;
    const net::Address address {"127.0.0.1", ports.take()};
    int requests = 0;
    net::TimerService::Subscription ownAnswer;
    testsupport::RawPeer peer(loop, address, [&](http::Connection &connection, auto) {
        if (++requests == 1) {
            connection.write(std::string(report));
        } else if (requests == 2) {
            connection.write(std::string(report)); // A copy; the own answer follows later.
            ownAnswer = timers.once(std::chrono::milliseconds(60), [&] {
                // A later connection may have the address of a closed one.
                if (peer.accepted() == 1 && peer.isOpen(connection))
                    connection.write(std::string(accepted));
            });
        }
    });
    http::ControlClient client(loop, timers);
    std::vector<int> statuses;
    const auto call = [&](const http::ControlClient::Options &options) {
        net::HttpRequest request;
        request.method = "POST";
        request.path = "/order";
        client.call(
            address, request, std::chrono::milliseconds(300),
            [&](const auto &response) { statuses.push_back(response.ok() ? response->status : 0); },
            options);
        const std::size_t expected = statuses.size() + 1;
        cr_assert(testsupport::waitUntil(
            loop, timers, [&] { return statuses.size() == expected; }, std::chrono::seconds(5)));
    };
    const http::ControlClient::Options order {
        .isOwnResponse = [](const http::Response &response) { return response.body.empty(); }};
    call({});
    testsupport::runFor(loop, timers, std::chrono::milliseconds(20));
    call(order);
    testsupport::runFor(loop, timers, std::chrono::milliseconds(5));
    call(order); // Gets no answer of its own.
    cr_assert(statuses == (std::vector<int> {200, 0, 0}), "the third call got %d", statuses[2]);
    cr_assert_eq(peer.accepted(), 2);
}

// Guards against a response without end that a daemon keeps, for each endpoint that it asks.
Test(controlclient, responseOverItsLimitEndsTheCall, .timeout = 30)
{
    Fixture fixture;
    constexpr std::size_t limit = 1000;
    const std::string body(2 * limit, 'x');
    const std::string large
        = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    cr_assert_eq(fixture.call(large, {.maxResponseBytes = limit}), 0);
    cr_assert_eq(fixture.call(large, {}), 200);
}

// Guards against a response that is discarded because it arrives after the timeout of a call for
// which a late one is of use.
Test(controlclient, lateSuccessIsReportedAfterTheTimeout, .timeout = 30)
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    testsupport::PortPicker ports;
    const net::Address address {"127.0.0.1", ports.take()};
    http::Connection *waiting = nullptr;
    testsupport::RawPeer peer {
        loop, address, [&waiting](http::Connection &connection, auto) { waiting = &connection; }};
    http::ControlClient client {loop, timers};
    std::vector<int> statuses;
    net::HttpRequest request;
    request.path = "/watch";
    client.call(address, request, std::chrono::milliseconds(50),
                [&statuses](const auto &response) {
                    statuses.push_back(response.ok() ? response->status : 0);
                },
                {.lateResponseTime = std::chrono::seconds(10)});
    cr_assert(testsupport::waitUntil(
        loop, timers, [&] { return waiting && !statuses.empty(); }, std::chrono::seconds(10)));
    cr_assert_eq(statuses.front(), 0);
    waiting->write(done);
    cr_assert(testsupport::waitUntil(
        loop, timers, [&statuses] { return statuses.size() == 2; }, std::chrono::seconds(5)));
    cr_assert_eq(statuses.back(), 200);
}
