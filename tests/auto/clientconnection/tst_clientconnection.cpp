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

std::string answer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nX-Stamp: " + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A connection to a peer that answers each request as the test says.
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

    /// Answers one request, then the next one behind `late`, in pieces with a pause in between.
    void expectOwnAnswerBehind(const std::vector<std::string> &late)
    {
        onRequest = [](http::Connection &open, std::string_view) { open.write(answer("r1", "1")); };
        send("r1");
        cr_assert(waitForEnd());
        cr_assert(connection.isReusable());
        std::vector<net::TimerService::Subscription> pauses;
        onRequest = [&](http::Connection &open, std::string_view) {
            core::Duration delay {};
            for (const std::string &piece : late) {
                delay += std::chrono::milliseconds(30);
                pauses.push_back(timers.once(delay, [&open, &piece] { open.write(piece); }));
            }
            delay += std::chrono::milliseconds(30);
            pauses.push_back(timers.once(delay, [&open] { open.write(answer("r2", "two")); }));
        };
        send("r2");
        cr_assert(waitForEnd());
        cr_assert(*end == http::ExchangeEnd::Complete);
        cr_assert_eq(heads, 1);
        cr_assert_eq(stamp, "r2");
        cr_assert_eq(body, "two");
    }

    /// The peer begins its answer with `begin` and goes on with `repeated` without end.
    void expectEndOfEndless(const std::string &begin, const std::string &repeated)
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
        constexpr std::size_t mostTaken = 16 * 1024 * 1024;
        cr_assert_leq(writer.written(), mostTaken, "%zu bytes written", writer.written());
    }
};

} // namespace

// Guards against the second copy of an answer, late on a connection that is in use again, standing
// in for the next answer: it arrived whole, and the own answer then came without its head.
Test(clientconnection, lateSecondAnswerIsSkipped, .timeout = 60)
{
    Fixture fixture;
    fixture.expectOwnAnswerBehind({answer("r1", "1")});
}

// The same when it comes in pieces: its head was then taken for that of the own answer.
Test(clientconnection, lateSecondAnswerInPiecesIsSkipped, .timeout = 60)
{
    Fixture fixture;
    const std::string late = answer("r1", "first answer");
    fixture.expectOwnAnswerBehind(
        {late.substr(0, 10), late.substr(10, late.size() - 15), late.substr(late.size() - 5)});
}

// The same when it names no request.
Test(clientconnection, answerWithoutAnIdIsSkipped, .timeout = 60)
{
    Fixture fixture;
    fixture.expectOwnAnswerBehind({"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"});
}

// Guards against interim responses in pieces being taken for the answer.
Test(clientconnection, interimResponseIsSkipped, .timeout = 60)
{
    Fixture fixture;
    fixture.expectOwnAnswerBehind({"HTTP/1.1 100 Con", "tinue\r\n\r\n"});
}

// Guards against a peer in trouble whose head, interim responses or answer to another request has
// no end: it must cost a bounded number of bytes, and the exchange must end.
Test(clientconnection, endlessHeadEnds, .timeout = 60)
{
    Fixture fixture;
    fixture.expectEndOfEndless("HTTP/1.1 200 OK\r\n", "X-More: and more\r\n");
}

Test(clientconnection, endlessHeaderLineEnds, .timeout = 60)
{
    Fixture fixture;
    fixture.expectEndOfEndless("HTTP/1.1 200 OK\r\nX-Line: ", std::string(4096, 'x'));
}

Test(clientconnection, endlessInterimResponsesEnd, .timeout = 60)
{
    Fixture fixture;
    fixture.expectEndOfEndless("", "HTTP/1.1 100 Continue\r\n\r\n");
}

Test(clientconnection, endlessForeignAnswerEnds, .timeout = 60)
{
    Fixture fixture;
    fixture.expectEndOfEndless("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n",
                               std::string(4096, 'x'));
}

Test(clientconnection, endlessChunkExtensionEnds, .timeout = 60)
{
    Fixture fixture;
    fixture.expectEndOfEndless("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n5;extension=",
                               std::string(4096, 'x'));
}

Test(clientconnection, endlessTrailerEnds, .timeout = 60)
{
    Fixture fixture;
    fixture.expectEndOfEndless("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n0\r\nX-Trailer: ",
                               std::string(4096, 'x'));
}

Test(clientconnection, bytesThatAreNoAnswerEnd, .timeout = 60)
{
    Fixture fixture;
    fixture.expectEndOfEndless("", std::string(4096, '\0'));
}

// Guards against a large answer that is on its way being given up and asked for again, so that it
// never arrives over a busy link; and against one that ends by a byte now and then.
Test(clientconnection, callWaitsForTheRestOfAnAnswer, .timeout = 60)
{
    Fixture fixture;
    http::ControlClient caller(fixture.loop, fixture.timers);
    net::TimerService::Subscription turn;
    int pieces = 0;
    int lastPiece = 10;
    fixture.onRequest = [&](http::Connection &open, std::string_view) {
        open.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
        turn = fixture.timers.every(std::chrono::milliseconds(50), [&] {
            if (pieces++ < lastPiece)
                open.write("x");
        });
    };
    std::optional<absl::StatusOr<http::Response>> result;
    net::HttpRequest request;
    request.path = "/";
    const auto call = [&] {
        result.reset();
        caller.call(fixture.address, request, std::chrono::milliseconds(200),
                    [&result](auto answer) { result = std::move(answer); });
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

// Guards against the answer of a store or a daemon that has no end filling the memory: the call
// fails long before its time is over.
Test(clientconnection, endlessAnswerOfACallEnds, .timeout = 60)
{
    Fixture fixture;
    EndlessWriter writer(fixture.timers, std::string(4096, 'x'));
    fixture.onRequest = [&](http::Connection &open, std::string_view) {
        open.write("HTTP/1.1 200 OK\r\n\r\n");
        writer.start(open, [&] { return fixture.peer.isOpen(open); });
    };
    http::ControlClient caller(fixture.loop, fixture.timers);
    std::optional<absl::StatusCode> code;
    net::HttpRequest request;
    request.path = "/";
    caller.call(fixture.address, request, testLimit * 2,
                [&code](const auto &result) { code = result.status().code(); });
    cr_assert(testsupport::waitUntil(
        fixture.loop, fixture.timers, [&] { return code.has_value(); }, testLimit));
    cr_assert(*code == absl::StatusCode::kResourceExhausted);
    // The fixture's own connection stays.
    cr_assert(testsupport::waitUntil(
        fixture.loop, fixture.timers, [&] { return fixture.peer.open() == 1; }, testLimit));
}

namespace {

/// A peer that answers at once, on a thread of its own.
class PromptPeer
{
public:
    explicit PromptPeer(const net::Address &address)
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
    ~PromptPeer()
    {
        m_isOver = true;
        m_thread.join();
    }
    PromptPeer(const PromptPeer &) = delete;
    PromptPeer &operator=(const PromptPeer &) = delete;

private:
    std::atomic<bool> m_isOver = false;
    net::EventLoop m_loop;
    net::TimerService m_timers {m_loop};
    RawPeer m_peer;
    net::TimerService::Subscription m_check;
    std::thread m_thread;
};

/// A call with a limit of 200 ms, made in a turn of the loop that is busy before and after it.
struct BusyCaller
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    testsupport::PortPicker ports;
    net::Address address {"127.0.0.1", ports.take()};
    std::optional<absl::StatusOr<http::Response>> result;
    core::Duration took {};

    void call(core::Duration busyBefore, core::Duration busyAfter)
    {
        http::ControlClient caller(loop, timers);
        const auto turn = timers.once(core::Duration::zero(), [&] {
            std::this_thread::sleep_for(busyBefore);
            net::HttpRequest request;
            request.path = "/";
            const core::TimePoint begin = timers.now();
            caller.call(address, request, std::chrono::milliseconds(200),
                        [this, begin](auto answer) {
                            took = timers.now() - begin;
                            result = std::move(answer);
                        });
            std::this_thread::sleep_for(busyAfter);
        });
        cr_assert(testsupport::waitUntil(
            loop, timers, [this] { return result.has_value(); }, testLimit));
    }

    void expectAnswer() const
    {
        cr_assert(result->ok(), "%s", std::string(result->status().message()).c_str());
        cr_assert_eq((*result)->body, "fine");
    }
};

} // namespace

// Guards against calls that end unanswered because this process is late: while each turn of its
// loop took 250 ms, a coordinator took every order for lost, whose answers had come after 60 ms,
// and sent it again.
Test(clientconnection, callIsAnsweredWhileTheLoopIsHeldUp, .timeout = 60)
{
    BusyCaller caller;
    const PromptPeer peer(caller.address);
    caller.call({}, std::chrono::milliseconds(250));
    caller.expectAnswer();
}

// Guards against the same for a call at the end of a long turn: its time counted from the begin of
// the turn, so that it ended within a millisecond.
Test(clientconnection, callAtTheEndOfALongTurnHasItsWholeTime, .timeout = 60)
{
    BusyCaller caller;
    const PromptPeer peer(caller.address);
    caller.call(std::chrono::milliseconds(250), {});
    caller.expectAnswer();
}

// Guards against a call to a silent peer that lasts as long as the loop was held up once: the time
// of a lease ends meanwhile.
Test(clientconnection, callIsBoundedWhateverHeldTheLoopUp, .timeout = 60)
{
    BusyCaller caller;
    RawPeer silent(caller.loop, caller.address, [](http::Connection &, std::string_view) {});
    constexpr core::Duration held = std::chrono::seconds(1); // Under the limit to connect.
    caller.call({}, held);
    cr_assert(absl::IsDeadlineExceeded(caller.result->status()));
    // Twice its time, and a generous margin for a busy machine.
    cr_assert_lt(caller.took, held + std::chrono::milliseconds(900));
}

// Guards against a request that was given up as not sent being sent all the same: its connection
// opened after that and before it was destroyed, so that unrepeatable work ran twice. Found by
// scripts/soak --seed 303 --seconds 30 --callers 100, where a frozen daemon went on.
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
