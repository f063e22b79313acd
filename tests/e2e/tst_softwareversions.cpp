#include "support/platformfixture.h"

#include <algorithm>
#include <utility>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

constexpr char recordsKind[] = "jackdawlead-streams";
constexpr core::Duration listDelay = milliseconds(1300); ///< Changes of endpoints are combined.
constexpr core::Duration longestStream = std::chrono::seconds(4); ///< Timeout of the routes.
constexpr core::Duration targetLatency = milliseconds(800);

/// Two endpoints of one service with different software versions, "v1" and "v2". Their streams have
/// ten events and stay open after the second one until the test ends them.
struct Fixture
{
    PlatformFixture platform {"model"};
    std::vector<FakeEndpoint::Exchange> openStreams;

    Fixture()
    {
        platform.second.softwareVersion = "v2";
        for (FakeEndpoint *endpoint : {&platform.first, &platform.second}) {
            endpoint->run = [this](const FakeEndpoint::Exchange &exchange) {
                if (exchange->head.headers.contains("Last-Event-Id")) {
                    stream(exchange, 10, false);
                    return;
                }
                exchange->startChunked(200, FakeEndpoint::stamped(exchange));
                exchange->writeChunk(events(1, 2));
                openStreams.push_back(exchange);
            };
        }
        setServing(false, true);
        // Until the other endpoint of the fixture does not count as serving recently.
        platform.runLoopFor(longestStream + std::chrono::seconds(3));
    }

    /// Lists the endpoints that serve.
    void setServing(bool isFirst, bool isSecond)
    {
        for (const auto &[endpoint, isServing] :
             {std::pair {&platform.first, isFirst}, {&platform.second, isSecond}}) {
            if (isServing)
                platform.store.put("servers", endpoint->id, endpoint->record("model"));
            else if (!platform.store.spec("servers", endpoint->id).is_null())
                platform.store.remove("servers", endpoint->id);
        }
        platform.runLoopFor(listDelay);
    }

    AnswerPtr request(const std::string &id, const std::string &fields = {})
    {
        return platform.send(platform.callerPort,
                             "POST /stream/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
                                 + "\r\nDeadline-Ms: 4000\r\nModel: base\r\nToken-Count: 10,10\r\n"
                                 + fields + "Content-Length: 0\r\n\r\n");
    }

    /// Begins a stream and waits for its first two events.
    AnswerPtr begin(const std::string &id)
    {
        auto answer = request(id);
        cr_assert(platform.waitUntil([&] { return answer->body == events(1, 2); }));
        return answer;
    }

    /// A client's take-up of the stream that the request `begun` began.
    AnswerPtr startTakeUp(const std::string &begun)
    {
        return request("again-" + begun, "Last-Event-Id: 2\r\nResumes: " + begun + "\r\n");
    }

    AnswerPtr takeUp(const std::string &begun)
    {
        auto answer = startTakeUp(begun);
        cr_assert(platform.waitUntil([&] { return answer->isEnded; }), "no answer to %s",
                  begun.c_str());
        return answer;
    }

    /// Takes streams up that the second endpoint began, and returns how many went on.
    int countResumed(const std::vector<std::string> &begun)
    {
        // At the same time, so that the daemon would use both endpoints.
        std::vector<AnswerPtr> answers;
        answers.reserve(begun.size());
        for (const std::string &id : begun)
            answers.push_back(startTakeUp(id));
        cr_assert(platform.waitUntil([&] {
            return std::ranges::all_of(answers,
                                       [](const AnswerPtr &answer) { return answer->isEnded; });
        }));
        cr_assert(platform.first.runs.empty(), "joined with the other version: %s",
                  platform.output().c_str());
        int resumed = 0;
        for (const AnswerPtr &answer : answers) {
            if (answer->head.status == 200) {
                ++resumed;
                cr_assert_eq(answer->body, events(3, 10));
            } else {
                cr_assert_eq(answer->head.status, 503);
            }
        }
        return resumed;
    }

    void restartDaemon()
    {
        platform.killDaemon();
        openStreams.clear();
        platform.isFirstStart = false;
        platform.startDaemon();
        cr_assert(platform.waitUntil([this] { return platform.pollReadiness() == 200; }));
    }

    /// Begins streams at the second endpoint while both versions serve.
    std::vector<std::string> beginAtSecond(int count)
    {
        std::vector<std::string> begun;
        platform.first.retryAfter = "0.2";
        std::vector<AnswerPtr> answers;
        for (int number = 0; number < count; ++number) {
            begun.push_back("begun" + std::to_string(number));
            answers.push_back(begin(begun.back()));
        }
        platform.first.retryAfter.clear();
        cr_assert(platform.first.runs.empty());
        m_answers.insert(m_answers.end(), answers.begin(), answers.end());
        return begun;
    }

private:
    std::vector<AnswerPtr> m_answers; ///< Keeps the clients connected.
};

} // namespace

// Guards against an answer that is joined from two software versions by the daemon's own resume
// (ORDER 68 and 82 on a day with two versions).
Test(softwareversions, brokenStreamIsNotResumedAtAnotherVersion, .timeout = 60)
{
    Fixture fixture;
    const auto answer = fixture.begin("broken");
    fixture.setServing(true, true);
    fixture.setServing(true, false);
    fixture.openStreams.front()->abort();
    cr_assert(fixture.platform.waitUntil([&] { return answer->isEnded; }));
    cr_assert_not(answer->isComplete);
    cr_assert_eq(answer->body, events(1, 2));
    cr_assert(fixture.platform.first.runs.empty());
}

// Guards against a stream that does not go on although an endpoint of its version serves.
Test(softwareversions, brokenStreamIsResumedAtItsVersion, .timeout = 60)
{
    Fixture fixture;
    const auto answer = fixture.begin("broken");
    fixture.setServing(true, true);
    fixture.openStreams.front()->abort();
    cr_assert(fixture.platform.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete);
    cr_assert_eq(answer->body, events(1, 10));
    cr_assert(fixture.platform.first.runs.empty());
}

// Guards against a client's take-up that goes on at another version than the one that began.
Test(softwareversions, takeUpGoesOnAtTheVersionThatBegan, .timeout = 60)
{
    Fixture fixture;
    constexpr int count = 8;
    std::vector<std::string> begun;
    std::vector<AnswerPtr> answers;
    begun.reserve(count);
    answers.reserve(count);
    for (int number = 0; number < count; ++number)
        begun.push_back("s" + std::to_string(number));
    for (const std::string &id : begun)
        answers.push_back(fixture.begin(id));
    fixture.setServing(true, true);
    cr_assert_eq(fixture.countResumed(begun), 8);
}

// Guards against another version for a stream whose version has left, and against a caller that
// waits for nothing.
Test(softwareversions, takeUpWithoutItsVersionIsRejectedAtOnce, .timeout = 60)
{
    Fixture fixture;
    const auto answer = fixture.begin("begun");
    fixture.setServing(true, false);
    const auto rejected = fixture.takeUp("begun");
    cr_assert_eq(rejected->head.status, 503);
    cr_assert(rejected->head.headers.contains("Retry-After"));
    cr_assert_lt(rejected->endedAt - rejected->startedAt, milliseconds(500));
    cr_assert(fixture.platform.first.runs.empty());
}

// Guards against joined versions after all daemons were killed, and against streams that do not go
// on although their version serves.
Test(softwareversions, takeUpAfterAllDaemonsWereKilled, .timeout = 60)
{
    Fixture fixture;
    fixture.setServing(true, true);
    const auto begun = fixture.beginAtSecond(8);
    fixture.platform.runLoopFor(std::chrono::seconds(1));
    fixture.restartDaemon();
    cr_assert_geq(fixture.countResumed(begun), 4);
}

// Guards against streams that nobody goes on with, because they began right before all daemons were
// killed (LOST, 0 of 23 take-ups).
Test(softwareversions, takeUpOfStreamsThatHaveJustBegun, .timeout = 60)
{
    Fixture fixture;
    fixture.setServing(true, true);
    const auto begun = fixture.beginAtSecond(8);
    fixture.restartDaemon();
    cr_assert_eq(fixture.countResumed(begun), 8);
}

// Guards against first events that wait for a store which takes no record.
Test(softwareversions, storeWithoutAnswersMakesNoFirstEventLate, .timeout = 60)
{
    Fixture fixture;
    fixture.setServing(true, true);
    for (const auto mode : {FakeStore::Mode::Refusing, FakeStore::Mode::Silent}) {
        fixture.platform.store.setMode(mode);
        for (int number = 0; number < 3; ++number) {
            const auto answer = fixture.begin("begun" + std::to_string(static_cast<int>(mode))
                                              + std::to_string(number));
            cr_assert_lt(fixture.platform.timers.now() - answer->startedAt, targetLatency);
        }
    }
}

// Guards against joined versions when the endpoints of the version that began have just left and
// all daemons were killed.
Test(softwareversions, takeUpAfterTheVersionLeftAndAllDaemonsWereKilled, .timeout = 60)
{
    Fixture fixture;
    const auto begun = fixture.beginAtSecond(4);
    // Without a time between, so that what the daemon may have recorded is as young as possible.
    fixture.platform.store.put("servers", fixture.platform.first.id,
                               fixture.platform.first.record("model"));
    fixture.platform.store.remove("servers", fixture.platform.second.id);
    fixture.platform.runLoopFor(milliseconds(100));
    fixture.restartDaemon();
    cr_assert_eq(fixture.countResumed(begun), 0);
}

// Guards against a mechanism that streams pay for while one version serves, and against take-ups
// that are rejected although no other version has served.
Test(softwareversions, singleVersionNeedsNoRecords, .timeout = 60)
{
    Fixture fixture;
    const auto begun = fixture.beginAtSecond(4);
    fixture.platform.runLoopFor(std::chrono::seconds(1));
    cr_assert_eq(fixture.platform.store.count(recordsKind), 0);
    cr_assert_eq(fixture.countResumed(begun), 4);
    fixture.restartDaemon();
    cr_assert_eq(fixture.countResumed(begun), 4);
    cr_assert_eq(fixture.platform.store.count(recordsKind), 0);
}

// Guards against records that nothing removes: they are needed only while several versions count.
Test(softwareversions, recordsAreRemovedWhenOneVersionIsLeft, .timeout = 60)
{
    Fixture fixture;
    fixture.setServing(true, true);
    fixture.beginAtSecond(2);
    cr_assert(
        fixture.platform.waitUntil([&] { return fixture.platform.store.count(recordsKind) == 1; }));
    fixture.setServing(false, true);
    cr_assert(
        fixture.platform.waitUntil([&] { return fixture.platform.store.count(recordsKind) == 0; }));
}

// Guards against a stream that is joined from two versions because the daemon has lost the store:
// in its old list one version serves, and the stream began at another one through another daemon.
Test(softwareversions, takeUpIsRefusedWhileTheListCannotBeConfirmed, .timeout = 60)
{
    for (const FakeStore::Mode mode : {FakeStore::Mode::Refusing, FakeStore::Mode::Silent}) {
        Fixture fixture;
        fixture.platform.store.setMode(mode);
        const auto answer = fixture.takeUp("begunElsewhere");
        cr_assert_eq(answer->head.status, 503, "%s", fixture.platform.output().c_str());
        cr_assert_lt(answer->endedAt - answer->startedAt, std::chrono::seconds(2));
        cr_assert(fixture.platform.second.runs.empty());
    }
}

// Guards against the same at a daemon that has not heard of the other version yet, although the
// store serves it: it stood still, or its watch receives nothing.
Test(softwareversions, takeUpWaitsForTheVersionsThatTheStoreLists, .timeout = 60)
{
    Fixture fixture;
    fixture.platform.store.suspendWatches();
    fixture.platform.store.put("servers", fixture.platform.first.id,
                               fixture.platform.first.record("model"));
    const auto answer = fixture.takeUp("begunElsewhere");
    // No daemon has recorded the stream.
    cr_assert_eq(answer->head.status, 503, "%s", fixture.platform.output().c_str());
    cr_assert(fixture.platform.second.runs.empty());
    cr_assert(fixture.platform.first.runs.empty());
}

// Guards against a take-up at another version than the one that began, because the daemon read the
// record of the stream while the request was at a silent endpoint of the other version, and does
// not read it again.
Test(softwareversions, takeUpDoesNotFollowAnOutdatedRecord, .timeout = 60)
{
    Fixture fixture;
    PlatformFixture &platform = fixture.platform;
    const auto isRecordedAt = [&platform](const std::string &version) {
        const json record = platform.store.spec(recordsKind, "h1");
        return !record.is_null() && record.at("origins").size() == 1
            && record.at("origins").front().at("version") == version;
    };
    fixture.setServing(true, false);
    const auto run = std::exchange(platform.first.run, [](const FakeEndpoint::Exchange &) {});
    const AnswerPtr begun = fixture.request("begun");
    cr_assert(platform.waitUntil([&] { return isRecordedAt("v1"); }));
    const json outdated = platform.store.spec(recordsKind, "h1");
    fixture.setServing(true, true);
    cr_assert(platform.waitUntil([&] { return begun->body == events(1, 2); }));
    cr_assert(platform.waitUntil([&] { return isRecordedAt("v2"); }));
    const json current = platform.store.spec(recordsKind, "h1");

    // Only the store knows the stream now, as at a daemon that did not begin it.
    fixture.restartDaemon();
    platform.first.run = run;
    platform.first.runs.clear();
    platform.second.runs.clear();
    platform.store.put(recordsKind, "h1", outdated);
    cr_assert_eq(fixture.takeUp("unknown")->head.status, 503); // Reads the records.
    platform.store.put(recordsKind, "h1", current);
    const AnswerPtr rest = fixture.takeUp("begun");
    cr_expect(platform.first.runs.empty(), "joined with the other version: %s",
              platform.output().c_str());
    cr_expect_eq(rest->head.status, 200);
    cr_expect_eq(platform.second.runs.size(), 1);
}
