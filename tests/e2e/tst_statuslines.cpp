#include "support/forwardingfixture.h"
#include "support/rawendpoint.h"

#include <array>
#include <sstream>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

using Head = http::MessageHead;

/// What an endpoint in trouble writes in place of a status.
constexpr std::array invalidStatuses = {"000", "00", "0", "2000", "   ", ""};
constexpr const char *interimResponses[]
    = {"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"};

std::string withStatus(std::string bytes, const std::string &status)
{
    return bytes.replace(bytes.find("200"), 3, status);
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

/// Two endpoints that write raw bytes; requests run at either.
struct RawEndpointsFixture : PlatformFixture
{
    RawEndpoint rawFirst {loop, "e-raw-first", picker.take()};
    RawEndpoint rawSecond {loop, "e-raw-second", picker.take()};

    explicit RawEndpointsFixture(const char *service)
        : PlatformFixture(service)
    {
        for (RawEndpoint *endpoint : {&rawFirst, &rawSecond})
            store.put("servers", endpoint->id, endpoint->record(service));
        store.remove("servers", first.id);
        store.remove("servers", second.id);
        runLoopFor(milliseconds(1500));
    }

    void setRun(const std::function<void(http::Connection &, const Head &)> &run)
    {
        rawFirst.run = rawSecond.run = run;
    }
    std::size_t runs() const { return rawFirst.heads.size() + rawSecond.heads.size(); }
};

} // namespace

// Guards against an answer whose status does not exist that reaches the client, also behind a valid
// interim response, and against a second run or a statement that the request has not run.
Test(statuslines, invalidStatusIsNoAnswer, .timeout = 300)
{
    int number = 0;
    for (const char *status : invalidStatuses) {
        // Endpoints count as failing after some of these answers.
        RawEndpointsFixture fixture("plain");
        for (const char *interim : interimResponses) {
            fixture.setRun([&](http::Connection &connection, const Head &head) {
                connection.write(
                    interim
                    + withStatus(RawEndpoint::stampedHead(head, "Content-Length: 4\r\n"), status)
                    + "body");
            });
            const std::size_t runs = fixture.runs();
            const auto answer = fixture.call("/order/a", "o" + std::to_string(++number));
            cr_expect_eq(answer->head.status, 502, "'%s' after '%s': %d", status, interim,
                         answer->head.status);
            cr_expect_eq(fixture.runs(), runs + 1, "'%s' after '%s'", status, interim);
        }
    }
}

// Guards against an endpoint that is used on, although it answers without a valid status.
Test(statuslines, endpointWithInvalidStatusIsAvoided, .timeout = 120)
{
    RawEndpointsFixture fixture("plain");
    fixture.rawFirst.run = [](http::Connection &connection, const Head &head) {
        connection.write(withStatus(RawEndpoint::stampedHead(head, "Content-Length: 4\r\n"), "000")
                         + "body");
    };
    fixture.rawSecond.run = [](http::Connection &connection, const Head &head) {
        connection.write(RawEndpoint::stampedHead(head, "Content-Length: 4\r\n") + "body");
    };
    constexpr int requests = 60;
    int served = 0;
    for (int number = 0; number < requests; ++number)
        served += fixture.call("/get/a", "g" + std::to_string(number))->head.status == 200 ? 1 : 0;
    cr_expect_eq(served, requests, "work that may repeat is served by the other endpoint: %d",
                 served);
    cr_expect_lt(fixture.rawFirst.heads.size(), requests / 4, "%zu requests",
                 fixture.rawFirst.heads.size());
}

// Guards against a stream that goes on with the answer of an endpoint without a valid status.
Test(statuslines, streamDoesNotGoOnWithInvalidStatus, .timeout = 300)
{
    for (const char *status : invalidStatuses) {
        RawEndpointsFixture fixture("model");
        std::size_t begun = 0;
        fixture.setRun([&](http::Connection &connection, const Head &head) {
            const std::string streamHead = RawEndpoint::stampedHead(
                head, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
            // The first run breaks off, since its last chunk is missing.
            if (begun++ == 0)
                RawEndpoint::writeAndClose(connection, streamHead + chunk(events(1, 3)));
            else
                RawEndpoint::writeAndClose(
                    connection, withStatus(streamHead, status) + chunk(events(4, 6)) + "0\r\n\r\n");
        });
        const auto answer = fixture.call("/stream/a", "s", "base");
        cr_expect_geq(begun, 2, "'%s': the stream must be tried elsewhere", status);
        cr_expect(answer->body.find("id: 4") == std::string::npos, "'%s': %s", status,
                  answer->body.c_str());
        cr_expect_not(answer->isComplete, "'%s'", status);
    }
}

// Guards against an answer without a valid status that passes through a daemon which sends requests
// for another one.
Test(statuslines, otherDaemonForwardsNoInvalidStatus, .timeout = 120)
{
    ForwardingFixture fixture;
    for (const int status : {0, 99, 600, 2000}) {
        for (FakeEndpoint *endpoint : {&fixture.platform.first, &fixture.platform.second}) {
            endpoint->run = [status](const FakeEndpoint::Exchange &exchange) {
                exchange->respond(status, FakeEndpoint::stamped(exchange), "whole answer");
            };
        }
        const SentRequest request = fixture.cut.send("/order/");
        fixture.cut.waitForAll({request});
        cr_expect_eq(request.status(), 502, "%d: %d", status, request.status());
    }
}
