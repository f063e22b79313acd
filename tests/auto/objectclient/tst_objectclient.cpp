#include "net/httpserver.h"
#include "objectapi/objectclient.h"
#include "support/ports.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using nlohmann::json;

namespace {

/// A client, and a server that records the paths and answers with a given body.
struct Fixture
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    testsupport::PortPicker ports;
    net::Address address {"127.0.0.1", ports.take()};
    std::vector<std::string> paths;
    std::string body = json {{"metadata", {{"name", "x"}, {"resourceVersion", "7"}}}}.dump();
    net::HttpServer server {loop, {}, [this](const auto &exchange) {
                                paths.push_back(exchange->request().path);
                                exchange->respond({.status = 200, .headers = {}, .body = body});
                            }};
    net::HttpClient http {loop, timers};
    objectapi::ObjectClient client {http, address};

    Fixture() { cr_assert(server.listen(address).ok()); }

    auto stopLoop()
    {
        return [this](const auto &) { loop.stop(); };
    }
};

} // namespace

// Guards against calls that reach another object, or none, because a name has a meaning in a path
// or a query.
Test(objectclient, namesAreEscapedInPaths)
{
    Fixture fixture;
    const std::string name = "a&b+c#d%41 e?f/g";
    const std::string expected = "/apis/jackdawlead.dev/v1/claims/a%26b%2Bc%23d%2541%20e%3Ff%2Fg";
    fixture.client.read("claims", name, fixture.stopLoop());
    fixture.loop.run();
    fixture.client.update("claims", {name, "7", json::object()}, fixture.stopLoop());
    fixture.loop.run();
    fixture.client.remove("claims", {name, "7&x", json::object()}, fixture.stopLoop());
    fixture.loop.run();
    cr_assert_eq(fixture.paths.size(), 3U);
    cr_expect_eq(fixture.paths[0], expected, "%s", fixture.paths[0].c_str());
    cr_expect_eq(fixture.paths[1], expected, "%s", fixture.paths[1].c_str());
    cr_expect_eq(fixture.paths[2], expected + "?resourceVersion=7%26x", "%s",
                 fixture.paths[2].c_str());
}
