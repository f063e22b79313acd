#include "support/platformfixture.h"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

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

/// A client with the small segments and buffers of a real link, which reads when it is told to.
class SlowClient
{
public:
    explicit SlowClient(std::uint16_t port)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        constexpr int bufferBytes = 32 * 1024;
        constexpr int segmentBytes = 1400;
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
        setsockopt(m_socket, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        cr_assert_eq(connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address), 0);
        const std::string request = "POST /stream/a HTTP/1.1\r\nHost: a.example\r\n"
                                    "Request-Id: r1\r\nDeadline-Ms: 12000\r\nModel: base\r\n"
                                    "Token-Count: 10,10\r\nContent-Length: 4\r\n\r\nbody";
        cr_assert_eq(::write(m_socket, request.data(), request.size()),
                     static_cast<ssize_t>(request.size()));
        fcntl(m_socket, F_SETFL, O_NONBLOCK);
    }
    ~SlowClient() { ::close(m_socket); }
    SlowClient(const SlowClient &) = delete;
    SlowClient &operator=(const SlowClient &) = delete;

    void read(std::size_t maxBytes)
    {
        if (maxBytes == 0)
            return;
        std::string buffer(maxBytes, '\0');
        const ssize_t size = ::read(m_socket, buffer.data(), maxBytes);
        if (size > 0)
            m_received.append(buffer, 0, static_cast<std::size_t>(size));
        else
            m_isClosed = size == 0 || errno != EAGAIN;
    }
    bool isComplete() const { return m_received.ends_with("\r\n0\r\n\r\n"); }
    bool isClosed() const { return m_isClosed; }

private:
    int m_socket;
    std::string m_received;
    bool m_isClosed = false;
};

/// Sends a complete stream of 2.4 MB, more than the buffers between endpoint and client hold.
void streamLongEvents(const FakeEndpoint::Exchange &exchange)
{
    const std::string data = "data: " + std::string(8 * 1024, 'x') + "\n\n";
    exchange->startChunked(200, FakeEndpoint::stamped(exchange));
    for (int id = 1; id <= 300; ++id)
        exchange->writeChunk("id: " + std::to_string(id) + "\n" + data);
    exchange->finishChunked();
}

json routesWithLongStreams()
{
    json routes = defaultRoutes();
    for (json &entry : routes)
        entry["timeout_ms"] = 12000;
    return routes;
}

/// Checks that a client gets its stream from one endpoint if it reads `slowBytes` each 50 ms for
/// `slowTime`, and then everything.
void checkSlowClient(const std::function<void(const FakeEndpoint::Exchange &)> &other,
                     std::size_t slowBytes, core::Duration slowTime)
{
    Fixture fixture("model", streamLongEvents, other);
    json routes = routesWithLongStreams();
    routes.push_back(route("/ready/", "model", "idempotent"));
    fixture.store.put("config", "main", configuration(2, routes));
    const auto run = fixture.first.run;
    fixture.first.run = fixture.second.run = [](const FakeEndpoint::Exchange &exchange) {
        exchange->respond(200, FakeEndpoint::stamped(exchange), "ready");
    };
    cr_assert(fixture.waitUntilServed("/ready/a"));
    fixture.first.run = fixture.second.run = run;
    SlowClient client(fixture.callerPort);
    const core::TimePoint startedAt = fixture.timers.now();
    const auto reader = fixture.timers.every(milliseconds(50), [&] {
        constexpr std::size_t fastBytes = 100000;
        const bool isSlow = fixture.timers.now() - startedAt < slowTime;
        client.read(isSlow ? slowBytes : fastBytes);
    });
    cr_assert(fixture.waitUntil([&] { return client.isComplete() || client.isClosed(); }), "%s",
              fixture.output().c_str());
    cr_assert(client.isComplete(), "%s", fixture.output().c_str());
    cr_assert_eq(fixture.otherSends, 0, "%s", fixture.output().c_str());
}

/// Checks that a failure of the endpoint with the second send ends no run at the first one.
void checkFailedReplacement(int status, bool isStamped)
{
    Fixture fixture("plain", keep, [=](const FakeEndpoint::Exchange &exchange) {
        exchange->respond(status, isStamped ? FakeEndpoint::stamped(exchange) : net::Headers(),
                          "failure");
    });
    const auto answer = fixture.start("/get/a", "r1");
    cr_assert(fixture.waitForSecondSend());
    fixture.runLoopFor(milliseconds(200));
    fixture.silent->respond(200, FakeEndpoint::stamped(fixture.silent), "whole answer");
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert_eq(answer->head.status, 200, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, "whole answer");
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
    checkSlowClient(refuse, 2500, milliseconds(2500));
}

// Guards against an endpoint that is never read again after the request was sent to another one
// while its client was slow.
Test(silentendpoints, clientThatReadsAgainGetsItsStream, .timeout = 60)
{
    checkSlowClient(keep, 2500, milliseconds(2500));
}

// Guards against closing the connection of a client that reads nothing for some seconds.
Test(silentendpoints, pausedClientGetsItsStream, .timeout = 60)
{
    checkSlowClient(refuse, 0, milliseconds(4500));
}

// Guards against an error of the other endpoint that ends a run in progress.
Test(silentendpoints, failureOfTheReplacementLosesNoAnswer, .timeout = 60)
{
    checkFailedReplacement(500, true);
    checkFailedReplacement(404, true);
    checkFailedReplacement(429, false);
}

// Guards against a request that stays with a dead endpoint until its deadline, because the other
// one refused it twice within a moment.
Test(silentendpoints, refusalsForAMomentEndNoSearch, .timeout = 60)
{
    constexpr int refusals = 2;
    int sends = 0;
    Fixture fixture("plain", keep, [&sends](const FakeEndpoint::Exchange &exchange) {
        if (++sends <= refusals)
            refuse(exchange);
        else
            exchange->respond(200, FakeEndpoint::stamped(exchange), "whole answer");
    });
    const auto run = fixture.first.run;
    fixture.first.run = fixture.second.run = [&](const FakeEndpoint::Exchange &exchange) {
        const bool isDead = fixture.silent
            && exchange->head.headers.value("Expect-Instance")
                == fixture.silent->head.headers.value("Expect-Instance");
        if (!isDead)
            run(exchange);
    };
    const auto answer = fixture.call("/get/a", "r1");
    cr_assert_eq(answer->head.status, 200, "%s", fixture.output().c_str());
}

// Guards against a stream that is given up when the endpoint that took it over breaks off, because
// the wait in the queue of a silent endpoint, where it did not run, counts as one of the attempts
// of its route.
Test(silentendpoints, waitInAQueueUsesUpNoAttempt, .timeout = 60)
{
    int sends = 0;
    Fixture fixture("model", keep, [&sends](const FakeEndpoint::Exchange &exchange) {
        if (++sends > 1) {
            stream(exchange, 6, false);
            return;
        }
        exchange->startChunked(200, FakeEndpoint::stamped(exchange));
        exchange->writeChunk(events(1, 3));
    });
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitForSecondSend());
    cr_assert(fixture.waitUntil([&] { return fixture.isSilentClosed; }));
    fixture.secondSend->abort();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 6));
}

// Guards against ending the run at a silent endpoint for another one whose answer is malformed from
// its first bytes on, although it begins with a valid event.
Test(silentendpoints, malformedReplacementLosesNoStream, .timeout = 60)
{
    Fixture fixture("model", beginStream, [](const FakeEndpoint::Exchange &exchange) {
        exchange->startChunked(200, FakeEndpoint::stamped(exchange));
        exchange->writeChunk(event(4) + event(2));
    });
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitForSecondSend());
    fixture.runLoopFor(milliseconds(200));
    cr_assert_not(fixture.isSilentClosed, "%s", fixture.output().c_str());
    fixture.silent->writeChunk(events(4, 6));
    fixture.silent->finishChunked();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 6));
}
