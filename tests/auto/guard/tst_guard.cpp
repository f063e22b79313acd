#include "http/controlclient.h"
#include "http/server.h"
#include "net/guard.h"
#include "support/loopwait.h"
#include "support/ports.h"

#include <criterion/criterion.h>

#include <new>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

using namespace jackdawlead;

namespace {

constexpr core::Duration testLimit = std::chrono::seconds(20);

struct Fixture
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    testsupport::PortPicker ports;
    std::vector<std::string> reports;

    Fixture()
    {
        net::setFailureReport([this](std::string_view source, std::string_view what) {
            reports.push_back(std::string(source) + ": " + std::string(what));
        });
    }
    ~Fixture() { net::setFailureReport({}); }

    bool waitUntil(const std::function<bool()> &condition)
    {
        return testsupport::waitUntil(loop, timers, condition, testLimit);
    }
};

} // namespace

// Guards against an unexpected error in a timer or in posted work ending the whole process.
Test(guard, timersAndPostedWorkGoOn, .timeout = 60)
{
    Fixture fixture;
    int turns = 0;
    const auto periodic = fixture.timers.every(std::chrono::milliseconds(2), [&turns] {
        if (++turns % 2 == 1)
            throw std::runtime_error("odd turn");
    });
    fixture.loop.post([] { throw std::bad_alloc(); });
    fixture.loop.post([] { throw 5; }); // Also what is no std::exception.
    cr_assert(fixture.waitUntil([&] { return turns >= 4; }));
    cr_assert_geq(fixture.reports.size(), 4U);
    cr_assert_eq(fixture.reports[1], "posted work: unknown exception");
}

// Guards against an exception while one request is served taking the other requests along: its
// connection is closed, its caller's end is reported, and the next request is served.
Test(guard, requestThatThrowsFailsAlone, .timeout = 60)
{
    Fixture fixture;
    bool isGoneReported = false;
    std::shared_ptr<http::ServerExchange> other;
    http::Server server(fixture.loop, fixture.timers, [&](const auto &exchange) {
        if (exchange->head.target == "/throws") {
            exchange->setDisconnectHandler([&isGoneReported] { isGoneReported = true; });
            throw std::out_of_range("no such index");
        }
        if (exchange->head.target == "/waits")
            other = exchange;
        else
            exchange->respond(200, {}, "served");
    });
    const net::Address address {"127.0.0.1", fixture.ports.take()};
    cr_assert(server.listen(address).ok());
    http::ControlClient caller(fixture.loop, fixture.timers);
    std::vector<std::string> ends;
    const auto call = [&](const char *path) {
        net::HttpRequest request;
        request.path = path;
        caller.call(address, request, testLimit, [&ends, path](const auto &answer) {
            ends.push_back(path + std::string(answer.ok() ? " ok" : " failed"));
        });
    };
    call("/waits");
    cr_assert(fixture.waitUntil([&] { return other != nullptr; }));
    call("/throws");
    cr_assert(fixture.waitUntil([&] { return ends.size() == 1; }));
    cr_assert_eq(ends[0], "/throws failed");
    cr_assert(isGoneReported);
    cr_assert_eq(fixture.reports.size(), 1U);
    call("/next");
    cr_assert(fixture.waitUntil([&] { return ends.size() == 2; }));
    cr_assert_eq(ends[1], "/next ok");
    other->respond(200, {}, "late");
    cr_assert(fixture.waitUntil([&] { return ends.size() == 3; }));
    cr_assert_eq(ends[2], "/waits ok");
}

// Guards against the handler of an answer leaving its exchange open when it throws: the exchange
// ends as broken, so that whoever waits for it goes on.
Test(guard, answerThatCannotBeHandledEndsItsExchange, .timeout = 60)
{
    Fixture fixture;
    http::Server server(fixture.loop, fixture.timers,
                        [](const auto &exchange) { exchange->respond(200, {}, "body"); });
    const net::Address address {"127.0.0.1", fixture.ports.take()};
    cr_assert(server.listen(address).ok());
    http::ClientConnection connection(fixture.loop, address, testLimit);
    std::optional<http::ExchangeEnd> end;
    http::ExchangeObserver observer;
    observer.onHead = [](http::MessageHead &) { throw std::runtime_error("cannot"); };
    observer.onBody = [](const std::string &) {};
    observer.onEnd = [&end](http::ExchangeEnd reached) { end = reached; };
    connection.send({"GET / HTTP/1.1\r\nHost: x\r\n\r\n", false, "", ""}, std::move(observer));
    cr_assert(fixture.waitUntil([&] { return end.has_value(); }));
    cr_assert(*end == http::ExchangeEnd::Broken);
    cr_assert_not(connection.isReusable());
}
