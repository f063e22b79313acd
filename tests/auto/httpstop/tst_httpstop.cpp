#include "net/httpserver.h"
#include "net/timerservice.h"

#include <criterion/criterion.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace jackdawlead;

namespace {

const net::Address anyPort {"127.0.0.1", 0};
// Exceeds the socket buffers of both ends, so that part of the reply stays unsent.
constexpr std::size_t largeBodyBytes = 32UL * 1024 * 1024;
constexpr core::Duration testLimit = std::chrono::seconds(60);

// A client that keeps its connection open and reads only after read() was called.
class RawCaller
{
public:
    RawCaller(net::EventLoop &loop, std::uint16_t port)
        : m_buffer(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bufferevent_setcb(m_buffer, &RawCaller::received, nullptr, &RawCaller::closed, this);
        bufferevent_socket_connect(m_buffer, reinterpret_cast<sockaddr *>(&address),
                                   sizeof address);
    }
    ~RawCaller() { close(); }
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void request(const std::string &path)
    {
        const std::string text = "GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n";
        bufferevent_write(m_buffer, text.data(), text.size());
    }
    void read() { bufferevent_enable(m_buffer, EV_READ); }
    void close()
    {
        if (m_buffer)
            bufferevent_free(std::exchange(m_buffer, nullptr));
    }
    const std::string &text() const { return m_text; }
    bool isClosed() const { return m_isClosed; }

private:
    static void received(bufferevent *buffer, void *argument)
    {
        auto *self = static_cast<RawCaller *>(argument);
        evbuffer *input = bufferevent_get_input(buffer);
        std::string data(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, data.data(), data.size());
        self->m_text += data;
    }
    static void closed(bufferevent *, short events, void *argument)
    {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
            static_cast<RawCaller *>(argument)->m_isClosed = true;
    }

    bufferevent *m_buffer;
    std::string m_text;
    bool m_isClosed = false;
};

// Runs the loop until the condition holds; returns false if it does not within testLimit.
bool runUntil(net::EventLoop &loop, const std::function<bool()> &condition)
{
    net::TimerService timers(loop);
    const core::TimePoint deadline = timers.now() + testLimit;
    const auto check = timers.every(std::chrono::milliseconds(1), [&] {
        if (condition() || timers.now() >= deadline)
            loop.stop();
    });
    loop.run();
    return condition();
}

} // namespace

// Guards against a process exit while bytes of a finished reply are still unsent.
Test(httpstop, replyIsOpenUntilItsLastByteIsWritten)
{
    net::EventLoop loop;
    bool isAnswered = false;
    net::HttpServer server(loop, {}, [&isAnswered](const auto &exchange) {
        exchange->respond({.status = 200, .headers = {}, .body = std::string(largeBodyBytes, 'x')});
        isAnswered = true;
    });
    cr_assert(server.listen(anyPort).ok());
    RawCaller caller(loop, server.port());
    caller.request("/");
    cr_assert(runUntil(loop, [&] { return isAnswered; }));
    server.stopAccepting();
    cr_assert_eq(server.openReplyCount(), 1);
    caller.read();
    cr_assert(runUntil(loop, [&] { return server.openReplyCount() == 0; }));
    cr_assert(runUntil(loop, [&] { return caller.text().size() > largeBodyBytes; }));
}

// Guards against work for a caller that disconnected before the first byte of its reply, and
// against a stop that waits for that caller.
Test(httpstop, replyEndsWhenItsCallerDisconnects)
{
    net::EventLoop loop;
    std::shared_ptr<net::ServerExchange> held;
    net::HttpServer server(loop, {}, [&held](const auto &exchange) { held = exchange; });
    cr_assert(server.listen(anyPort).ok());
    RawCaller caller(loop, server.port());
    caller.request("/");
    cr_assert(runUntil(loop, [&] { return held != nullptr; }));
    cr_assert_eq(server.openReplyCount(), 1);
    bool isDisconnectReported = false;
    held->onPeerGone([&isDisconnectReported] { isDisconnectReported = true; });
    caller.close();
    cr_assert(runUntil(loop, [&] { return server.openReplyCount() == 0 && isDisconnectReported; }));
    held.reset();
    cr_assert_eq(server.openReplyCount(), 0);
}

// Guards against persistent connections on which a stopping daemon receives further requests.
Test(httpstop, repliesOfStoppingServerCloseTheConnection)
{
    net::EventLoop loop;
    net::HttpServer server(loop, {}, [](const auto &exchange) {
        exchange->respond({.status = 200, .headers = {}, .body = "reply\n"});
    });
    cr_assert(server.listen(anyPort).ok());
    RawCaller caller(loop, server.port());
    caller.read();
    caller.request("/first");
    cr_assert(runUntil(loop, [&] { return caller.text().ends_with("reply\n"); }));
    cr_assert_eq(caller.text().find("Connection: close"), std::string::npos);
    server.stopAccepting();
    caller.request("/second");
    cr_assert(runUntil(loop, [&] { return caller.isClosed(); }));
    cr_assert_neq(caller.text().find("Connection: close"), std::string::npos);
    cr_assert(caller.text().ends_with("reply\n"));
}

// Guards against the interruption of a stream that runs when the stop begins.
Test(httpstop, runningStreamIsFinishedDuringTheStop)
{
    net::EventLoop loop;
    std::shared_ptr<net::ServerExchange> held;
    net::HttpServer server(loop, {}, [&held](const auto &exchange) {
        exchange->startStream(200, {});
        exchange->write("begin ");
        held = exchange;
    });
    cr_assert(server.listen(anyPort).ok());
    RawCaller caller(loop, server.port());
    caller.read();
    caller.request("/");
    cr_assert(runUntil(loop, [&] { return caller.text().find("begin ") != std::string::npos; }));
    server.stopAccepting();
    held->write("end");
    held->finishStream();
    held.reset();
    cr_assert(runUntil(loop, [&] { return server.openReplyCount() == 0; }));
    cr_assert(runUntil(loop, [&] { return caller.text().ends_with("0\r\n\r\n"); }));
}

// Guards against the use of a connection that closes between the abort of its stream and the
// release of the exchange.
Test(httpstop, abortedStreamEndsOnceWhenItsCallerDisconnects)
{
    net::EventLoop loop;
    std::shared_ptr<net::ServerExchange> held;
    net::HttpServer server(loop, {}, [&held](const auto &exchange) {
        exchange->startStream(200, {});
        held = exchange;
    });
    cr_assert(server.listen(anyPort).ok());
    RawCaller caller(loop, server.port());
    caller.request("/");
    cr_assert(runUntil(loop, [&] { return held != nullptr; }));
    caller.close();
    held->cutStream({});
    held.reset();
    cr_assert(runUntil(loop, [&] { return server.openReplyCount() == 0; }));
}

// Guards against losing a request that arrives during the previous reply, or failing because of it.
Test(httpstop, pipelinedRequestIsAnsweredAfterThePreviousReply)
{
    net::EventLoop loop;
    std::vector<std::shared_ptr<net::ServerExchange>> held;
    net::HttpServer server(loop, {}, [&held](const auto &exchange) { held.push_back(exchange); });
    cr_assert(server.listen(anyPort).ok());
    RawCaller caller(loop, server.port());
    caller.read();
    caller.request("/first");
    cr_assert(runUntil(loop, [&] { return held.size() == 1; }));
    caller.request("/second");
    held[0]->startStream(200, {});
    held[0]->write("one");
    cr_assert(runUntil(loop, [&] { return caller.text().find("one") != std::string::npos; }));
    held[0]->finishStream();
    cr_assert(runUntil(loop, [&] { return held.size() == 2; }));
    cr_assert_eq(held[1]->request().path, "/second");
    held[1]->respond({.status = 200, .headers = {}, .body = "two"});
    cr_assert(runUntil(loop, [&] { return caller.text().ends_with("two"); }));
    cr_assert_eq(server.openReplyCount(), 0);
}
