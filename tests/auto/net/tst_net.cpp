#include "core/error.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "support/ports.h"
#include "support/rawpeer.h"

#include <criterion/criterion.h>

#include <optional>

using namespace jackdawlead;

namespace {

// Nothing may listen on the discard port of a test machine.
constexpr std::uint16_t closedPort = 9;
const net::Address anyPort {"127.0.0.1", 0};

struct Reply
{
    int status = 0;
    std::string body;
    std::optional<absl::Status> end;
};

Reply call(net::EventLoop &loop, std::uint16_t target)
{
    net::TimerService timers(loop);
    net::HttpClient client(loop, timers);
    Reply reply;
    net::HttpReplyHandlers handlers;
    handlers.onHead = [&reply](int status, const net::Headers &) { reply.status = status; };
    handlers.onData = [&reply](std::string_view data) { reply.body += data; };
    handlers.onEnd = [&](const absl::Status &status) {
        reply.end = status;
        loop.stop();
    };
    const net::HttpTimeouts limits {std::chrono::milliseconds(300), std::chrono::milliseconds(300)};
    const auto running = client.stream({"127.0.0.1", target}, {}, limits, handlers);
    loop.run();
    return reply;
}

} // namespace

// Guards against reporting an unknown outcome to the caller when nothing left the daemon.
Test(net, refusedConnectionIsNotRun)
{
    net::EventLoop loop;
    const Reply reply = call(loop, closedPort);
    cr_assert(not(reply.end->ok()));
    cr_assert_eq(core::outcomeOf(*reply.end), core::Outcome::NotRun);
}

// Guards against taking a stream that was cut for a complete answer, and against reporting its
// request as not run.
Test(net, cutStreamIsNotComplete)
{
    net::EventLoop loop;
    net::HttpServer server(loop, {}, [](const auto &exchange) {
        exchange->startStream(200, {});
        exchange->cutStream("partial");
    });
    cr_assert(server.listen(anyPort).ok());
    const Reply reply = call(loop, server.port());
    cr_assert_eq(reply.status, 200);
    cr_assert_eq(reply.body, "partial");
    cr_assert(not(reply.end->ok()));
    cr_assert_eq(core::outcomeOf(*reply.end), core::Outcome::Unknown);
}

// Guards against losing the last bytes of a stream.
Test(net, finishedStreamIsComplete)
{
    net::EventLoop loop;
    net::HttpServer server(loop, {}, [](const auto &exchange) {
        exchange->startStream(200, {});
        exchange->write("whole ");
        exchange->write("answer");
        exchange->finishStream();
    });
    cr_assert(server.listen(anyPort).ok());
    const Reply reply = call(loop, server.port());
    cr_assert_eq(reply.body, "whole answer");
    cr_assert(reply.end->ok());
}

// Guards against waiting forever on a connection that went silent.
Test(net, silentServerEndsTheCallAtItsLimit)
{
    net::EventLoop loop;
    std::shared_ptr<net::ServerExchange> held;
    net::HttpServer server(loop, {}, [&held](const auto &exchange) { held = exchange; });
    cr_assert(server.listen(anyPort).ok());
    const Reply reply = call(loop, server.port());
    cr_assert_eq(reply.end->code(), absl::StatusCode::kDeadlineExceeded);
    cr_assert_eq(core::outcomeOf(*reply.end), core::Outcome::Unknown);
}

// Guards against a reply whose status does not exist, or whose length is lost with a spoilt line of
// its head, that counts as complete; the library accepts them.
Test(net, malformedHeadIsNoReply, .timeout = 60)
{
    for (const char *head :
         {"HTTP/1.1 000 OK\r\nContent-Length: 4", "HTTP/1.1 00 OK\r\nContent-Length: 4",
          "HTTP/1.1 0 OK\r\nContent-Length: 4", "HTTP/1.1 2000 OK\r\nContent-Length: 4",
          "HTTP/1.1     OK\r\nContent-Length: 4", "HTTP/1.1 \r\nContent-Length: 4",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 4",
          "HTTP/1.1 099 OK\r\nContent-Length: 4", "HTTP/1.1 999 OK\r\nContent-Length: 4",
          "HTTP/1.1 200 OK\r\nContent-Length : 4", "HTTP/1.1 200 OK\r\nContent Length: 4",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked",
          "HTTP/1.1 200 OK\r\nContent-Length: 4x"}) {
        net::EventLoop loop;
        testsupport::PortPicker picker;
        const std::uint16_t port = picker.take();
        testsupport::RawPeer peer(loop, {"127.0.0.1", port}, [&](auto &connection, auto) {
            connection.write(std::string(head) + "\r\n\r\nbody");
            connection.shutdownAfterFlush();
        });
        const Reply reply = call(loop, port);
        cr_expect_not(reply.end->ok(), "%s", head);
        cr_expect_eq(core::outcomeOf(*reply.end), core::Outcome::Unknown, "%s", head);
        cr_expect_eq(reply.body, "", "%s", head);
    }
}
