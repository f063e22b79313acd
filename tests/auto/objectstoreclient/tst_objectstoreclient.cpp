#include "gateway/storetransport.h"
#include "platform/objectstoreclient.h"
#include "support/platformfakes.h"
#include "support/ports.h"

#include <criterion/criterion.h>

using namespace jackdawlead;
using platform::ObjectKind;

namespace {

constexpr char recordsKind[] = "jackdawlead-streams";

struct Fixture
{
    net::EventLoop loop;
    net::TimerService timers {loop};
    testsupport::PortPicker ports;
    std::uint16_t port = ports.take();
    testsupport::FakeStore fake {loop, timers, port};
    http::ControlClient controlClient {loop, timers};
    gateway::StoreTransport transport {controlClient, timers, {"127.0.0.1", port}};
    platform::ObjectStoreClient client {
        [this](const net::HttpRequest &request, core::Duration timeout,
               http::ControlClient::Handler handler) {
            transport.call(request, timeout, std::move(handler));
        },
        [this](const platform::WatchRequest &watch, core::Duration margin,
               gateway::StoreTransport::AnswerHandler handler) {
            transport.watch(watch, margin, std::move(handler));
        }};

    platform::StoredObject listedRecord()
    {
        platform::StoredObject record;
        client.list(ObjectKind::Streams, {}, [&](auto page) {
            cr_assert(page.ok() && page->items.size() == 1);
            record = page->items.front();
            loop.stop();
        });
        loop.run();
        return record;
    }

    platform::WriteResult remove(const platform::StoredObject &record)
    {
        platform::WriteResult removed;
        client.remove(ObjectKind::Streams, record, [&](auto result) {
            cr_assert(result.ok());
            removed = *std::move(result);
            loop.stop();
        });
        loop.run();
        return removed;
    }
};

} // namespace

// Guards against removing what its writer has changed since it was listed: the record of streams
// that have just begun would be lost, and their clients could not take them up.
Test(objectstoreclient, changedObjectIsNotRemoved)
{
    Fixture fixture;
    fixture.fake.put(recordsKind, "h1", {{"origins", 1}});
    const platform::StoredObject listed = fixture.listedRecord();
    fixture.fake.put(recordsKind, "h1", {{"origins", 2}});
    const auto result = fixture.remove(listed);
    cr_assert_not(result.isWritten);
    cr_assert(result.object.has_value());
    cr_assert_eq(fixture.fake.spec(recordsKind, "h1").at("origins"), 2);
}

// Guards against objects that stay for ever because their removal is refused.
Test(objectstoreclient, unchangedObjectIsRemoved)
{
    Fixture fixture;
    fixture.fake.put(recordsKind, "h1", {{"origins", 1}});
    cr_assert(fixture.remove(fixture.listedRecord()).isWritten);
    cr_assert_eq(fixture.fake.count(recordsKind), 0U);
}

// Guards against a list that is shorter because the connection ended early: such an answer without
// a length counts as complete.
Test(objectstoreclient, answerThatWasCutOffIsNoList)
{
    const std::string object = R"({"metadata":{"name":"h1","revision":4},"spec":{}})";
    const std::string begin = R"({"current_rev":9,"has_more":false,"items":[)" + object;
    for (const std::string &body : {begin, begin + ",", begin + "]"}) {
        platform::ObjectStoreClient client(
            [&body](const net::HttpRequest &, core::Duration, const auto &handler) {
                handler(http::Response {200, {}, body});
            },
            {});
        bool isList = false;
        client.list(ObjectKind::Daemons, {}, [&isList](auto page) { isList = page.ok(); });
        cr_expect_not(isList, "%s", body.c_str());
    }
}
