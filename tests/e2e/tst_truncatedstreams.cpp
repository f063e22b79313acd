#include "support/platformfixture.h"
#include "support/rawendpoint.h"

#include <criterion/criterion.h>

#include <sstream>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

/// Two endpoints whose answers end with their connection.
struct RawFixture : PlatformFixture
{
    RawEndpoint rawFirst {loop, "e-raw-first", picker.take()};
    RawEndpoint rawSecond {loop, "e-raw-second", picker.take()};

    RawFixture()
        : PlatformFixture("model")
    {
        store.put("servers", rawFirst.id, rawFirst.record("model"));
        store.put("servers", rawSecond.id, rawSecond.record("model"));
        store.remove("servers", first.id);
        store.remove("servers", second.id);
        runLoopFor(milliseconds(1500));
    }

    void setRun(const std::function<void(http::Connection &, const http::MessageHead &)> &run)
    {
        rawFirst.run = rawSecond.run = run;
    }
    std::size_t runs() const { return rawFirst.heads.size() + rawSecond.heads.size(); }
};

/// The events after Last-Event-Id up to `last`, of an answer without length or chunks.
std::string unframedAnswer(const http::MessageHead &head, int last)
{
    const std::string after = head.headers.value("Last-Event-Id");
    const int from = after.empty() ? 1 : std::stoi(after) + 1;
    return RawEndpoint::stampedHead(head) + events(from, last);
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

/// Answers the first run with the events 1 to 3 and `rest`, later ones with the rest of 6 events.
void truncateFirstRun(RawFixture &fixture, const std::string &rest)
{
    fixture.setRun([&fixture, rest](http::Connection &connection, const http::MessageHead &head) {
        const bool isFirst = fixture.runs() == 1;
        RawEndpoint::writeAndClose(connection,
                                   unframedAnswer(head, isFirst ? 3 : 6) + (isFirst ? rest : ""));
    });
}

} // namespace

// Guards against forwarding an answer that its endpoint broke off inside an event as complete,
// because the end of the connection also is the regular end of an answer without length or chunks.
Test(truncatedstreams, unframedStreamCutInsideAnEventIsNotComplete, .timeout = 60)
{
    RawFixture fixture;
    truncateFirstRun(fixture, "id: 4\nda");
    const auto answer = fixture.call("/once/a", "r1", "base");
    cr_assert_not(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 3));
    cr_assert_eq(fixture.runs(), 1U);
}

// Guards against giving up a resumable stream that was cut inside an event, and against sending the
// truncated event twice.
Test(truncatedstreams, unframedStreamCutInsideAnEventIsResumed, .timeout = 60)
{
    RawFixture fixture;
    truncateFirstRun(fixture, "id: 4\ndata: te");
    const auto answer = fixture.call("/stream/a", "r1", "base");
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 6));
    cr_assert_eq(fixture.runs(), 2U);
}

// Guards against taking an event for whole whose last line end was cut.
Test(truncatedstreams, unframedStreamCutInsideALineEndIsResumed, .timeout = 60)
{
    RawFixture fixture;
    truncateFirstRun(fixture, "id: 4\r\ndata: text\r\n\r");
    const auto answer = fixture.call("/stream/a", "r1", "base");
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 6));
}

// Guards against an endpoint that ends a chunked answer regularly inside an event.
Test(truncatedstreams, chunkedStreamThatEndsInsideAnEventIsNotComplete, .timeout = 60)
{
    RawFixture fixture;
    fixture.setRun([](http::Connection &connection, const http::MessageHead &head) {
        connection.write(RawEndpoint::stampedHead(head, "Transfer-Encoding: chunked\r\n")
                         + chunk(events(1, 3) + "id: 4\nda") + "0\r\n\r\n");
    });
    const auto answer = fixture.call("/once/a", "r1", "base");
    cr_assert_not(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 3));
}

// Guards against a closed connection instead of an answer if the first event is cut.
Test(truncatedstreams, streamCutInsideItsFirstEventIsAnswered, .timeout = 60)
{
    RawFixture fixture;
    fixture.setRun([](http::Connection &connection, const http::MessageHead &head) {
        RawEndpoint::writeAndClose(connection, RawEndpoint::stampedHead(head) + "id: 1\nda");
    });
    const auto answer = fixture.call("/once/a", "r1", "base");
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->head.status, 502);
}

// Guards against taking a crash between the head and the first event for a stream without events.
Test(truncatedstreams, unframedStreamWithoutEventsIsAnswered, .timeout = 60)
{
    RawFixture fixture;
    fixture.setRun([](http::Connection &connection, const http::MessageHead &head) {
        RawEndpoint::writeAndClose(connection, RawEndpoint::stampedHead(head));
    });
    const auto answer = fixture.call("/once/a", "r1", "base");
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->head.status, 502);
}

// Guards against a crash that is not counted as one because its streams ended with their
// connections.
Test(truncatedstreams, cutStreamsCountAsBrokenConnections, .timeout = 60)
{
    RawFixture fixture;
    fixture.store.remove("servers", fixture.rawSecond.id);
    fixture.runLoopFor(milliseconds(1500));
    std::vector<http::Connection *> open;
    fixture.setRun([&open](http::Connection &connection, const http::MessageHead &head) {
        open.push_back(&connection);
        connection.write(unframedAnswer(head, 3));
    });
    const auto one = fixture.start("/once/a", "r1", "base");
    const auto two = fixture.start("/once/a", "r2", "base");
    cr_assert(
        fixture.waitUntil([&] { return one->body == events(1, 3) && two->body == events(1, 3); }));
    for (http::Connection *connection : open)
        RawEndpoint::writeAndClose(*connection, "id: 4\nda");
    cr_assert(fixture.waitUntil([&] { return one->isEnded && two->isEnded; }));
    cr_assert_neq(fixture.output().find("unreachable"), std::string::npos, "%s",
                  fixture.output().c_str());
}

// Guards against cutting off sound answers without length or chunks.
Test(truncatedstreams, wholeUnframedStreamIsComplete, .timeout = 60)
{
    RawFixture fixture;
    fixture.setRun([](http::Connection &connection, const http::MessageHead &head) {
        RawEndpoint::writeAndClose(connection, unframedAnswer(head, 6) + ": done\n");
    });
    const auto answer = fixture.call("/once/a", "r1", "base");
    cr_assert(answer->isComplete, "%s", fixture.output().c_str());
    cr_assert_eq(answer->body, events(1, 6) + ": done\n");
    cr_assert_eq(fixture.runs(), 1U);
}
