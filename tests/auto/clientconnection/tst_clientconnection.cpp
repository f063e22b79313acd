#include "http/clientconnection.h"
#include "http/controlclient.h"
#include "support/loopwait.h"
#include "support/ports.h"
#include "support/rawpeer.h"

#include <criterion/criterion.h>

#include <atomic>
#include <optional>
#include <thread>

using namespace jackdawlead;
using testsupport::EndlessWriter;
using testsupport::RawPeer;

namespace {

constexpr core::Duration testLimit = std::chrono::seconds(20);

std::string response(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nX-Stamp: " + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A connection to a peer that responds to each request with a handler of the test.
struct Fixture
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    testsupport::PortPicker ports;
    net::Address address {"127.0.0.1", ports.take()};
    RawPeer::DataHandler onRequest;
    RawPeer peer {loop, address, [this](http::Connection &connection, std::string_view bytes) {
                      onRequest(connection, bytes);
                  }};
    http::ClientConnection connection {loop, address, testLimit};
    int heads = 0;
    std::string stamp;
    std::string body;
    std::optional<http::ExchangeEnd> end;

    void send(const std::string &id)
    {
        heads = 0;
        stamp.clear();
        body.clear();
        end.reset();
        http::ExchangeObserver observer;
        observer.onHead = [this](http::MessageHead &head) {
            ++heads;
            stamp = head.headers.value("X-Stamp");
        };
        observer.onBody = [this](const std::string &bytes) { body += bytes; };
        observer.onEnd = [this](http::ExchangeEnd reached) { end = reached; };
        connection.send({"GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\n\r\n", false,
                         "Request-Id", id},
                        std::move(observer));
    }

    bool waitForEnd()
    {
        return testsupport::waitUntil(
            loop, timers, [this] { return end.has_value(); }, testLimit);
    }

    /// Responds to one request, then sends the pieces in `late` and the response to the next one,
    /// with a delay before each; checks that the second exchange receives its own response only.
    void expectOwnResponseAfter(const std::vector<std::string> &late)
    {
        onRequest
            = [](http::Connection &open, std::string_view) { open.write(response("r1", "1")); };
        send("r1");
        cr_assert(waitForEnd());
        cr_assert(connection.isReusable());
        std::vector<net::TimerService::Subscription> timeouts;
        onRequest = [&](http::Connection &open, std::string_view) {
            core::Duration delay {};
            for (const std::string &piece : late) {
                delay += std::chrono::milliseconds(30);
                timeouts.push_back(timers.once(delay, [&open, &piece] { open.write(piece); }));
            }
            delay += std::chrono::milliseconds(30);
            timeouts.push_back(timers.once(delay, [&open] { open.write(response("r2", "two")); }));
        };
        send("r2");
        cr_assert(waitForEnd());
        cr_assert(*end == http::ExchangeEnd::Complete);
        cr_assert_eq(heads, 1);
        cr_assert_eq(stamp, "r2");
        cr_assert_eq(body, "two");
    }

    /// Sends `begin` and then `repeated` without end; checks that the exchange ends as malformed
    /// after a bounded number of bytes.
    void expectEndOfEndlessResponse(const std::string &begin, const std::string &repeated)
    {
        EndlessWriter writer(timers, repeated);
        onRequest = [&](http::Connection &open, std::string_view) {
            open.write(begin);
            writer.start(open, [this, &open] { return peer.isOpen(open); });
        };
        send("r1");
        cr_assert(waitForEnd());
        cr_assert(*end == http::ExchangeEnd::Malformed);
        cr_assert_not(connection.isReusable());
        constexpr std::size_t maxWritten = 16 * 1024 * 1024;
        cr_assert_leq(writer.written(), maxWritten, "%zu bytes written", writer.written());
    }
};

} // namespace

// Guards against a late duplicate of a response on a reused connection that is taken for the
// response to the next request: it was delivered complete, and the own response then arrived
// without its head.
Test(clientconnection, lateDuplicateResponseIsSkipped, .timeout = 60)
{
    Fixture fixture;
    fixture.expectOwnResponseAfter({response("r1", "1")});
}

// Guards against a late duplicate in pieces: its head was taken for that of the own response.
Test(clientconnection, lateDuplicateResponseInPiecesIsSkipped, .timeout = 60)
{
    Fixture fixture;
    const std::string late = response("r1", "first answer");
    fixture.expectOwnResponseAfter(
        {late.substr(0, 10), late.substr(10, late.size() - 15), late.substr(late.size() - 5)});
}

// Guards against a late response without a request id that is taken for the own one.
Test(clientconnection, responseWithoutIdIsSkipped, .timeout = 60)
{
    Fixture fixture;
    fixture.expectOwnResponseAfter({"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"});
}

// Guards against an interim response in pieces that is taken for the final response.
Test(clientconnection, interimResponseIsSkipped, .timeout = 60)
{
    Fixture fixture;
    fixture.expectOwnResponseAfter({"HTTP/1.1 100 Con", "tinue\r\n\r\n"});
}

// Guards against taking the end of the connection for proof that a response without length or
// chunks is whole: the two kinds of ends must stay distinguishable.
Test(clientconnection, endOfUnframedResponseIsReported, .timeout = 60)
{
    Fixture fixture;
    fixture.onRequest = [](http::Connection &open, std::string_view) {
        open.write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nbody");
        open.shutdownAfterFlush();
    };
    fixture.send("r1");
    cr_assert(fixture.waitForEnd());
    cr_assert(*fixture.end == http::ExchangeEnd::CompleteAtClose);
    cr_assert(http::isComplete(*fixture.end));
    cr_assert_eq(fixture.body, "body");
    cr_assert_not(fixture.connection.isReusable());
}

// The next tests guard against a faulty peer with an endless head, interim response or response to
// another request: it must cost a bounded number of bytes, and the exchange must end.
Test(clientconnection, endlessHeadEndsTheExchange, .timeout = 60)
{
    Fixture fixture;
    fixture.expectEndOfEndlessResponse("HTTP/1.1 200 OK\r\n", "X-More: and more\r\n");
}

Test(clientconnection, endlessHeaderLineEndsTheExchange, .timeout = 60)
{
    Fixture fixture;
    fixture.expectEndOfEndlessResponse("HTTP/1.1 200 OK\r\nX-Line: ", std::string(4096, 'x'));
}

Test(clientconnection, endlessInterimResponsesEndTheExchange, .timeout = 60)
{
    Fixture fixture;
    fixture.expectEndOfEndlessResponse("", "HTTP/1.1 100 Continue\r\n\r\n");
}

Test(clientconnection, endlessResponseToAnotherRequestEndsTheExchange, .timeout = 60)
{
    Fixture fixture;
    fixture.expectEndOfEndlessResponse("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n",
                                       std::string(4096, 'x'));
}

Test(clientconnection, endlessChunkExtensionEndsTheExchange, .timeout = 60)
{
    Fixture fixture;
    fixture.expectEndOfEndlessResponse("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: "
                                       "chunked\r\n\r\n5;extension=",
                                       std::string(4096, 'x'));
}

Test(clientconnection, endlessTrailerEndsTheExchange, .timeout = 60)
{
    Fixture fixture;
    fixture.expectEndOfEndlessResponse("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: "
                                       "chunked\r\n\r\n0\r\nX-Trailer: ",
                                       std::string(4096, 'x'));
}

Test(clientconnection, malformedResponseEndsTheExchange, .timeout = 60)
{
    Fixture fixture;
    fixture.expectEndOfEndlessResponse("", std::string(4096, '\0'));
}

// Guards against abandoning and requesting again a large response that is arriving, which would
// never complete over a busy link; and against a response that stalls and still keeps its call
// open.
Test(clientconnection, startedResponseIsReadPastTheTimeout, .timeout = 60)
{
    Fixture fixture;
    http::ControlClient client(fixture.loop, fixture.timers);
    net::TimerService::Subscription timer;
    int pieces = 0;
    int lastPiece = 10;
    fixture.onRequest = [&](http::Connection &open, std::string_view) {
        open.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
        timer = fixture.timers.every(std::chrono::milliseconds(50), [&] {
            if (pieces++ < lastPiece)
                open.write("x");
        });
    };
    std::optional<absl::StatusOr<http::Response>> result;
    net::HttpRequest request;
    request.path = "/";
    const auto call = [&] {
        result.reset();
        client.call(fixture.address, request, std::chrono::milliseconds(200),
                    [&result](auto response) { result = std::move(response); });
        cr_assert(testsupport::waitUntil(
            fixture.loop, fixture.timers, [&] { return result.has_value(); }, testLimit));
    };
    call();
    cr_assert(result->ok());
    cr_assert_eq((*result)->body, std::string(10, 'x'));
    lastPiece = 3;
    pieces = 0;
    call();
    cr_assert(absl::IsDeadlineExceeded(result->status()));
}

// Guards against exhausting the memory with an endless response of the store or a daemon: the call
// fails long before its timeout.
Test(clientconnection, endlessResponseFailsTheCall, .timeout = 60)
{
    Fixture fixture;
    EndlessWriter writer(fixture.timers, std::string(4096, 'x'));
    fixture.onRequest = [&](http::Connection &open, std::string_view) {
        open.write("HTTP/1.1 200 OK\r\n\r\n");
        writer.start(open, [&] { return fixture.peer.isOpen(open); });
    };
    http::ControlClient client(fixture.loop, fixture.timers);
    std::optional<absl::StatusCode> code;
    net::HttpRequest request;
    request.path = "/";
    client.call(fixture.address, request, testLimit * 2,
                [&code](const auto &result) { code = result.status().code(); });
    cr_assert(testsupport::waitUntil(
        fixture.loop, fixture.timers, [&] { return code.has_value(); }, testLimit));
    cr_assert(*code == absl::StatusCode::kResourceExhausted);
    // The fixture's own connection stays open.
    cr_assert(testsupport::waitUntil(
        fixture.loop, fixture.timers, [&] { return fixture.peer.open() == 1; }, testLimit));
}

namespace {

/// A peer that responds immediately, on its own thread.
class ImmediatePeer
{
public:
    explicit ImmediatePeer(const net::Address &address)
        : m_peer(m_loop, address,
                 [](http::Connection &open, std::string_view) {
                     open.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine");
                 })
        , m_check(m_timers.every(std::chrono::milliseconds(10),
                                 [this] {
                                     if (m_isOver)
                                         m_loop.stop();
                                 }))
        , m_thread([this] { m_loop.run(); })
    { }
    ~ImmediatePeer()
    {
        m_isOver = true;
        m_thread.join();
    }
    ImmediatePeer(const ImmediatePeer &) = delete;
    ImmediatePeer &operator=(const ImmediatePeer &) = delete;

private:
    std::atomic<bool> m_isOver = false;
    net::EventLoop m_loop;
    net::TimerService m_timers {m_loop};
    RawPeer m_peer;
    net::TimerService::Subscription m_check;
    std::thread m_thread;
};

/// A call with a timeout of 200 ms from a loop iteration that blocks before and after it.
struct BlockedClient
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    testsupport::PortPicker ports;
    net::Address address {"127.0.0.1", ports.take()};
    std::optional<absl::StatusOr<http::Response>> result;
    core::Duration elapsed {};

    void call(core::Duration blockedBefore, core::Duration blockedAfter)
    {
        http::ControlClient client(loop, timers);
        const auto timer = timers.once(core::Duration::zero(), [&] {
            std::this_thread::sleep_for(blockedBefore);
            net::HttpRequest request;
            request.path = "/";
            const core::TimePoint begin = timers.now();
            client.call(address, request, std::chrono::milliseconds(200),
                        [this, begin](auto response) {
                            elapsed = timers.now() - begin;
                            result = std::move(response);
                        });
            std::this_thread::sleep_for(blockedAfter);
        });
        cr_assert(testsupport::waitUntil(
            loop, timers, [this] { return result.has_value(); }, testLimit));
    }

    void expectResponse() const
    {
        cr_assert(result->ok(), "%s", std::string(result->status().message()).c_str());
        cr_assert_eq((*result)->body, "fine");
    }
};

} // namespace

// Guards against calls that time out because this process is late: while each iteration of its loop
// took 250 ms, a coordinator considered every order lost although the response had arrived after 60
// ms, and sent the order again.
Test(clientconnection, callIsAnsweredWhileTheLoopIsBlocked, .timeout = 60)
{
    BlockedClient client;
    const ImmediatePeer peer(client.address);
    client.call({}, std::chrono::milliseconds(250));
    client.expectResponse();
}

// Guards against a timeout that counts from the start of the loop iteration: a call at the end of a
// long iteration failed within a millisecond.
Test(clientconnection, timeoutOfACallStartsAtTheCallNotAtTheIteration, .timeout = 60)
{
    BlockedClient client;
    const ImmediatePeer peer(client.address);
    client.call(std::chrono::milliseconds(250), {});
    client.expectResponse();
}

// Guards against a call to a silent peer that is extended by all the time for which the loop was
// blocked, because a lease can expire meanwhile.
Test(clientconnection, callToSilentPeerIsBoundedWhenTheLoopIsBlocked, .timeout = 60)
{
    BlockedClient client;
    RawPeer silent(client.loop, client.address, [](http::Connection &, std::string_view) {});
    constexpr core::Duration blocked = std::chrono::seconds(1); // Below the connect timeout.
    client.call({}, blocked);
    cr_assert(absl::IsDeadlineExceeded(client.result->status()));
    // Twice the timeout, and a margin for a busy machine.
    cr_assert_lt(client.elapsed, blocked + std::chrono::milliseconds(900));
}

// Guards against sending an abandoned request that was reported as not sent: its connection opened
// before it was destroyed, so that work that must run once ran twice. Found by
// scripts/soak --seed 303 --seconds 30 --callers 100, where a frozen daemon continued.
Test(clientconnection, abandonedRequestIsNotSentWhenTheConnectionOpens, .timeout = 60)
{
    Fixture fixture;
    std::string received;
    fixture.onRequest = [&](http::Connection &, std::string_view bytes) { received += bytes; };
    fixture.send("r1");
    cr_assert_not(fixture.connection.mayHaveSent());
    fixture.connection.abandon();
    testsupport::runFor(fixture.loop, fixture.timers, std::chrono::milliseconds(200));
    cr_assert(received.empty(), "%s", received.c_str());
}
