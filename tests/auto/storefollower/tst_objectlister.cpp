#include "gateway/objectlister.h"
#include "gateway/storetransport.h"
#include "support/loopwait.h"
#include "support/platformfakes.h"
#include "support/ports.h"

#include <criterion/criterion.h>

#include <map>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;
using gateway::ObjectList;
using gateway::ObjectLister;
using nlohmann::json;
using platform::ObjectKind;

namespace {

const std::map<ObjectKind, std::string> kinds {
    {ObjectKind::Configuration, "config"},        {ObjectKind::Endpoints, "servers"},
    {ObjectKind::AdapterVersions, "versions"},    {ObjectKind::Leases, "jackdawlead-leases"},
    {ObjectKind::Streams, "jackdawlead-streams"}, {ObjectKind::Daemons, "jackdawlead-daemons"}};

struct Fixture
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    PortPicker ports;
    net::Address address {"127.0.0.1", ports.take()};
    FakeStore fake {loop, timers, address.port};
    http::ControlClient controlClient {loop, timers};
    gateway::StoreTransport transport {controlClient, timers, address};
    platform::ObjectStoreClient store {
        [this](const net::HttpRequest &request, core::Duration timeout, auto handler) {
            transport.call(request, timeout, std::move(handler));
        },
        [this](const platform::WatchRequest &watch, core::Duration margin, auto handler) {
            transport.watch(watch, margin, std::move(handler));
        }};
    absl::StatusOr<ObjectList> result = absl::UnknownError("none");

    ObjectLister::Handler takeResult()
    {
        return [this](auto list) {
            result = std::move(list);
            loop.stop();
        };
    }

    void start(ObjectLister &lister)
    {
        lister.start(takeResult());
        loop.run();
    }

    void resume(ObjectLister &lister)
    {
        lister.resume(takeResult());
        loop.run();
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> names;
        for (const platform::StoredObject &object : result->objects)
            names.push_back(object.name);
        return names;
    }
};

} // namespace

// Guards against a list of any kind that leaves out objects, or that ends with the first page.
Test(objectlister, allPagesOfEachKindAreRead)
{
    const std::vector<std::string> names {"%41", "A", "a", "a b", "a+b", "b"};
    for (const auto &[kind, name] : kinds) {
        Fixture fixture;
        for (const std::string &object : names)
            fixture.fake.put(name, object, json::object());
        fixture.fake.setPageSize(2);
        ObjectLister lister(fixture.store, fixture.timers, kind);
        fixture.start(lister);
        cr_assert(fixture.result.ok(), "%s", name.c_str());
        cr_expect(fixture.names() == names, "%s", name.c_str());
        cr_expect_eq(lister.calls(), 3U, "%s", name.c_str());
    }
}

// Guards against requests for the same page without end.
Test(objectlister, pagesOfEachKindThatRepeatAreAnError)
{
    for (const auto &[kind, name] : kinds) {
        Fixture fixture;
        fixture.fake.put(name, "a", json::object());
        fixture.fake.editPage = [](const std::string &, json &page) {
            page["items"]
                = json::array({{{"metadata", {{"name", "a"}, {"revision", 1}}}, {"spec", 1}}});
            page["has_more"] = true;
        };
        ObjectLister lister(fixture.store, fixture.timers, kind);
        fixture.start(lister);
        cr_expect(absl::IsDataLoss(fixture.result.status()), "%s", name.c_str());
        cr_expect_eq(fixture.fake.lists(name), 2, "%s", name.c_str());
        fixture.fake.editPage = nullptr;
        fixture.resume(lister);
        cr_assert(fixture.result.ok(), "%s", name.c_str());
        cr_expect_eq(fixture.result->objects.size(), 1U, "%s", name.c_str());
    }
}

// Guards against reading all pages again after one of them failed, and against a watch that
// continues behind changes made while the pages were read.
Test(objectlister, listContinuesWithThePageThatFailed)
{
    Fixture fixture;
    for (const char *name : {"a", "b", "c"})
        fixture.fake.put("servers", name, json::object());
    fixture.fake.setPageSize(1);
    std::optional<std::uint64_t> firstRevision;
    fixture.fake.editPage = [&](const std::string &, json &page) {
        if (!firstRevision)
            firstRevision = page.at("current_rev").get<std::uint64_t>();
        if (fixture.fake.lists() == 2)
            page.erase("current_rev");
    };
    ObjectLister lister(fixture.store, fixture.timers, ObjectKind::Endpoints);
    fixture.start(lister);
    cr_expect(absl::IsUnavailable(fixture.result.status()));
    fixture.fake.put("servers", "a", {{"changed", true}});
    fixture.resume(lister);
    cr_assert(fixture.result.ok());
    cr_expect(fixture.names() == std::vector<std::string>({"a", "b", "c"}));
    cr_expect_eq(fixture.fake.lists(), 4);
    cr_expect_eq(fixture.result->position.revision, *firstRevision);
}

// Guards against a list that is made of pages before and after the store came back from a copy.
Test(objectlister, pagesOfTwoErasAreAnError)
{
    Fixture fixture;
    fixture.fake.put("servers", "a", json::object());
    fixture.fake.put("servers", "b", json::object());
    fixture.fake.takeCopy();
    fixture.fake.setPageSize(1);
    fixture.fake.editPage = [&](const std::string &, const json &) {
        if (fixture.fake.lists() == 2)
            fixture.fake.restoreCopy();
    };
    ObjectLister lister(fixture.store, fixture.timers, ObjectKind::Endpoints);
    fixture.start(lister);
    cr_expect(absl::IsDataLoss(fixture.result.status()));
    fixture.resume(lister);
    cr_assert(fixture.result.ok());
    cr_expect(fixture.names() == std::vector<std::string>({"a", "b"}));
}

// Guards against an object that is left out because another writer has put something into its
// metadata that cannot be read.
Test(objectlister, objectWithOddMetadataIsRead)
{
    constexpr int depth = 100000;
    Fixture fixture;
    fixture.fake.put("servers", "a", {{"known", true}});
    const std::string odd = fixture.fake.addText(std::string(depth, '[') + std::string(depth, ']'));
    fixture.fake.editPage = [&odd](const std::string &, json &page) {
        page["items"][0]["metadata"]["finalizers"] = odd;
    };
    ObjectLister lister(fixture.store, fixture.timers, ObjectKind::Endpoints);
    fixture.start(lister);
    cr_assert(fixture.result.ok());
    cr_assert_eq(fixture.result->objects.size(), 1U);
    cr_expect_eq(fixture.result->objects.front().name, "a");
    cr_expect_eq(fixture.result->objects.front().spec.at("known"), true);
}

// Guards against a list that ends at pages on which no name can be read.
Test(objectlister, listContinuesAfterANameThatCannotBeRead)
{
    const std::string oddName = "b\xFF&";
    Fixture fixture;
    for (const std::string &name : {std::string("a"), oddName, std::string("c")})
        fixture.fake.put("servers", name, json::object());
    fixture.fake.setPageSize(1);
    const std::string odd = fixture.fake.addText('"' + oddName + '"');
    fixture.fake.editPage = [&](const std::string &, json &page) {
        json &name = page["items"][0]["metadata"]["name"];
        if (name == oddName)
            name = odd;
    };
    ObjectLister lister(fixture.store, fixture.timers, ObjectKind::Endpoints);
    fixture.start(lister);
    cr_assert(fixture.result.ok(), "%s", std::string(fixture.result.status().message()).c_str());
    cr_expect(fixture.names() == std::vector<std::string>({"a", "c"}));
}
