#include "net/httpserver.h"
#include "objectapi/hostlist.h"
#include "objectapi/objectclient.h"
#include "objectapi/objectfollower.h"
#include "support/loopwait.h"
#include "support/ports.h"

#include <criterion/criterion.h>

#include <sstream>

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

    absl::StatusOr<objectapi::ObjectList> list()
    {
        absl::StatusOr<objectapi::ObjectList> result = absl::UnknownError("none");
        client.list("claims", [&](auto list) {
            result = std::move(list);
            loop.stop();
        });
        loop.run();
        return result;
    }

    absl::StatusOr<objectapi::HostListClient::Hosts> hosts()
    {
        objectapi::HostListClient hostList(http, address);
        absl::StatusOr<objectapi::HostListClient::Hosts> result = absl::UnknownError("none");
        hostList.read([&](auto hosts) {
            result = std::move(hosts);
            loop.stop();
        });
        loop.run();
        return result;
    }

    auto stopLoop()
    {
        return [this](const auto &) { loop.stop(); };
    }
};

std::string nested()
{
    constexpr std::size_t depth = 100000;
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string object(const std::string &metadata, const std::string &spec)
{
    return R"({"metadata":)" + metadata + R"(,"spec":)" + spec + "}";
}

/// Objects that another writer may leave among the others.
const std::vector<std::string> oddObjects {object(R"({"name":"odd"})", nested()),
                                           object(R"({"name":"odd"})", "1e999"),
                                           object(R"({"name":"odd"})", "\"\xFF\""),
                                           object(R"({"name":"\xFF"})", "{}"),
                                           object(R"({"name":17})", "{}"),
                                           object("17", "{}"),
                                           object(nested(), "{}"),
                                           "17",
                                           "null",
                                           "{}"};

const std::string known = object(R"({"name":"known","resourceVersion":"5"})", R"({"a":1})");

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

// Guards against a list that fails, or a process that ends, because of one object that cannot be
// read.
Test(objectclient, oddObjectsInAListAreSkipped)
{
    for (const std::string &odd : oddObjects) {
        Fixture fixture;
        std::ostringstream body;
        body << R"({"metadata":{"resourceVersion":"9"},"items":[)" << odd << "," << known << "]}";
        fixture.body = body.str();
        const auto list = fixture.list();
        cr_assert(list.ok(), "%s", odd.substr(0, 40).c_str());
        cr_expect_eq(list->resourceVersion, "9");
        cr_assert_eq(list->items.size(), 1U, "%s", odd.substr(0, 40).c_str());
        cr_expect_eq(list->items.front().name, "known");
    }
}

// Guards against an incomplete answer that is taken for a list: known objects would count as
// removed, and the changes between the list and the watch would be lost.
Test(objectclient, incompleteAnswerIsNoList)
{
    for (const char *body :
         {R"({"metadata":{"resourceVersion":"9"}})",
          R"({"metadata":{"resourceVersion":"9"},"items":1})", R"({"items":[]})",
          R"({"metadata":{},"items":[]})", R"({"metadata":17,"items":[]})",
          R"({"metadata":{"resourceVersion":9},"items":[]})", "[]", "", "null"}) {
        Fixture fixture;
        fixture.body = body;
        cr_expect_not(fixture.list().ok(), "%s", body);
    }
}

// Guards against a list that was cut off and is taken for a whole one: objects and hosts that are
// missing in it would count as removed.
Test(objectclient, beginOfAnAnswerIsNoAnswer)
{
    Fixture fixture;
    fixture.body = R"({"metadata":{"resourceVersion":"9"},"items":[)" + known + ",";
    cr_expect_not(fixture.list().ok());
    fixture.body = R"({"items":[{"name":"h1"},)";
    cr_expect_not(fixture.hosts().ok());
}

// Guards against a watch that ends, or a process that ends, because of one event that cannot be
// read.
Test(objectclient, oddEventsInAWatchAreSkipped)
{
    for (const std::string &odd : oddObjects) {
        Fixture fixture;
        std::ostringstream body;
        body << R"({"type":"ADDED","object":)" << odd << "}\n"
             << R"({"type":17,"object":)" << known << "}\n"
             << nested() << "\n\n"
             << R"({"type":"ADDED","object":)" << known << "}\n";
        fixture.body = body.str();
        std::vector<std::string> names;
        absl::Status end = absl::UnknownError("none");
        const auto watch = fixture.client.watch(
            "claims", "1", std::chrono::seconds(1),
            [&names](const std::string &, const objectapi::Object &object) {
                names.push_back(object.name);
            },
            [&](const absl::Status &status) {
                end = status;
                fixture.loop.stop();
            });
        fixture.loop.run();
        cr_expect(end.ok(), "%s", odd.substr(0, 40).c_str());
        cr_expect(names == std::vector<std::string> {"known"}, "%s", odd.substr(0, 40).c_str());
    }
}

// Guards against a loop of calls to a server that ends each watch at once.
Test(objectclient, watchesThatEndAtOnceAreDelayed, .timeout = 60)
{
    Fixture fixture;
    fixture.body = R"({"metadata":{"resourceVersion":"9"},"items":[]})";
    objectapi::ObjectFollower follower(fixture.client, fixture.timers, "claims",
                                       {.listed = [](const auto &) {},
                                        .changed = [](const auto &, const auto &) {},
                                        .failed = [](const absl::Status &) {}});
    follower.start();
    testsupport::runFor(fixture.loop, fixture.timers, std::chrono::seconds(4));
    constexpr std::size_t maxCalls = 20;
    cr_expect_leq(fixture.paths.size(), maxCalls, "%zu calls", fixture.paths.size());
}

// Guards against a list of hosts that fails, or that names hosts that aren't there, because of one
// entry that cannot be read.
Test(hostlist, oddEntriesAreSkipped)
{
    const json host {{"name", "h1"},   {"role", "daemon"},      {"ip", "10.0.0.1"}, {"port", 7380},
                     {"region", "r1"}, {"failureDomain", "z1"}, {"state", "live"}};
    const auto with = [&host](const char *field, const json &value) {
        json odd = host;
        odd["name"] = "odd";
        odd[field] = value;
        return odd.dump();
    };
    for (const std::string &odd :
         {with("name", 17), with("role", "written by another"), with("ip", "somewhere"),
          with("port", 70000), with("port", "x"), with("state", "unheard of"),
          with("region", json()), with("pool", 17), nested(), std::string("17")}) {
        Fixture fixture;
        fixture.body = R"({"items":[)" + odd + "," + host.dump() + "]}";
        const auto hosts = fixture.hosts();
        cr_assert(hosts.ok() && hosts->has_value(), "%s", odd.substr(0, 99).c_str());
        cr_assert_eq((*hosts)->size(), 1U, "%s", odd.substr(0, 99).c_str());
        cr_expect_eq((*hosts)->front().name, "h1");
    }
}
