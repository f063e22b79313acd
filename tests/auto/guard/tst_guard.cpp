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

// Guards against the termination of the process by an exception in a timer or in posted work.
Test(guard, timersAndPostedWorkContinueAfterAnException, .timeout = 60)
{
    Fixture fixture;
    int runs = 0;
    const auto periodic = fixture.timers.every(std::chrono::milliseconds(2), [&runs] {
        if (++runs % 2 == 1)
            throw std::runtime_error("odd run");
    });
    fixture.loop.post([] { throw std::bad_alloc(); });
    fixture.loop.post([] { throw 5; }); // Not derived from std::exception.
    cr_assert(fixture.waitUntil([&] { return runs >= 4; }));
    cr_assert_geq(fixture.reports.size(), 4U);
    cr_assert_eq(fixture.reports[1], "posted work: unknown exception");
}

// Guards against an exception in the handler of one request that affects others: the connection of
// the request is closed, its disconnect is reported, and the next request is served.
Test(guard, exceptionInOneRequestLeavesOthersRunning, .timeout = 60)
{
    Fixture fixture;
    bool isDisconnectReported = false;
    std::shared_ptr<http::ServerExchange> other;
    http::Server server(fixture.loop, fixture.timers, [&](const auto &exchange) {
        if (exchange->head.target == "/throws") {
            exchange->setDisconnectHandler(
                [&isDisconnectReported] { isDisconnectReported = true; });
            throw std::out_of_range("no such index");
        }
        if (exchange->head.target == "/waits")
            other = exchange;
        else
            exchange->respond(200, {}, "served");
    });
    const net::Address address {"127.0.0.1", fixture.ports.take()};
    cr_assert(server.listen(address).ok());
    http::ControlClient client(fixture.loop, fixture.timers);
    std::vector<std::string> results;
    const auto call = [&](const char *path) {
        net::HttpRequest request;
        request.path = path;
        client.call(address, request, testLimit, [&results, path](const auto &response) {
            results.push_back(path + std::string(response.ok() ? " ok" : " failed"));
        });
    };
    call("/waits");
    cr_assert(fixture.waitUntil([&] { return other != nullptr; }));
    call("/throws");
    cr_assert(fixture.waitUntil([&] { return results.size() == 1; }));
    cr_assert_eq(results[0], "/throws failed");
    cr_assert(isDisconnectReported);
    cr_assert_eq(fixture.reports.size(), 1U);
    call("/next");
    cr_assert(fixture.waitUntil([&] { return results.size() == 2; }));
    cr_assert_eq(results[1], "/next ok");
    other->respond(200, {}, "late");
    cr_assert(fixture.waitUntil([&] { return results.size() == 3; }));
    cr_assert_eq(results[2], "/waits ok");
}

// Guards against an exchange that stays open because the handler of its response threw: the
// exchange ends as broken, so that the code that waits for it continues.
Test(guard, exceptionInResponseHandlerEndsTheExchange, .timeout = 60)
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
