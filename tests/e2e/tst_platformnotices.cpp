#include "support/platformfixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

struct NoticeFixture : PlatformFixture
{
    using PlatformFixture::PlatformFixture;

    /// Sends requests until the first endpoint received more than `received` of them and all ended.
    void callUntilFirstReceivesMoreThan(std::size_t received)
    {
        const core::TimePoint end = timers.now() + limit;
        while (first.heads.size() <= received && timers.now() < end) {
            callMany("/get/a", 8);
            runLoopFor(milliseconds(20));
        }
        cr_assert_gt(first.heads.size(), received, "%s", output().c_str());
    }

    void callMany(const std::string &path, int count, const std::string &model = {})
    {
        std::vector<AnswerPtr> answers;
        answers.reserve(static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number)
            answers.push_back(start(path, "many" + std::to_string(number), model));
        cr_assert(waitUntil([&] {
            return std::ranges::all_of(answers, [](const auto &answer) { return answer->isEnded; });
        }));
    }
};

/// The first endpoint announces in a response with `status` that it is leaving, while its entry in
/// the store stays ready.
void expectNoRequestsAfterLeaving(int status)
{
    NoticeFixture fixture;
    fixture.first.isLeaving = true;
    fixture.first.run = [&, status](const FakeEndpoint::Exchange &exchange) {
        auto fields = FakeEndpoint::stamped(exchange);
        if (status == 503)
            fields.add("Not-Executed", "1");
        exchange->respond(status, fixture.first.withNotices(fields), "text");
    };
    fixture.callUntilFirstReceivesMoreThan(0);
    const std::size_t received = fixture.first.heads.size();
    fixture.store.put("servers", fixture.first.id, fixture.first.record("plain"));
    fixture.runLoopFor(milliseconds(300));
    fixture.callMany("/get/a", 24);
    cr_assert_eq(fixture.first.heads.size(), received, "%s", fixture.output().c_str());
    // Another incarnation with the same id is used again.
    fixture.first.isLeaving = false;
    json record = fixture.first.record("plain");
    record["born"] = 2;
    fixture.store.put("servers", fixture.first.id, record);
    fixture.callUntilFirstReceivesMoreThan(received);
}

} // namespace

// These guard against requests to an endpoint that announced that it is leaving while the store
// still has it as ready.
Test(platformnotices, leavingEndpointGetsNoRequestsAfterASuccess, .timeout = 60)
{
    expectNoRequestsAfterLeaving(200);
}

Test(platformnotices, leavingEndpointGetsNoRequestsAfterAnError, .timeout = 60)
{
    expectNoRequestsAfterLeaving(500);
}

Test(platformnotices, leavingEndpointGetsNoRequestsAfterARefusal, .timeout = 60)
{
    expectNoRequestsAfterLeaving(503);
}

// Guards against interrupting a stream whose head announces that its endpoint is leaving.
Test(platformnotices, streamOfALeavingEndpointContinuesAndNoOtherStarts, .timeout = 60)
{
    NoticeFixture fixture("model");
    FakeEndpoint::Exchange open;
    const auto run = [&](const FakeEndpoint::Exchange &exchange) {
        if (open) {
            stream(exchange, 2, false);
            return;
        }
        open = exchange;
        auto fields = FakeEndpoint::stamped(exchange);
        fields.add("Server-Leaving", "1");
        exchange->startChunked(200, fields);
        exchange->writeChunk(event(1));
    };
    fixture.first.run = fixture.second.run = run;
    const auto answer = fixture.start("/stream/a", "r1", "base");
    cr_assert(fixture.waitUntil([&] { return !answer->body.empty(); }));
    FakeEndpoint &leaving = fixture.first.runs.empty() ? fixture.second : fixture.first;
    fixture.callMany("/stream/a", 12, "base");
    cr_assert_eq(leaving.runs.size(), 1U, "%s", fixture.output().c_str());
    open->writeChunk(event(2));
    open->finishChunked();
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert(answer->isComplete);
    cr_assert_eq(answer->body, events(1, 2));
}

// Guards against more than two requests to an endpoint that is in back-off, and against one that is
// never used again.
Test(platformnotices, endpointIsNotUsedDuringItsBackoff, .timeout = 60)
{
    NoticeFixture fixture;
    fixture.first.retryAfter = "2";
    fixture.callUntilFirstReceivesMoreThan(0);
    const core::TimePoint startedAt = fixture.timers.now();
    fixture.runLoopFor(milliseconds(500));
    const std::size_t received = fixture.first.heads.size();
    while (fixture.timers.now() - startedAt < milliseconds(1700))
        fixture.callMany("/get/a", 8);
    cr_assert_eq(fixture.first.heads.size(), received);
    fixture.first.retryAfter.clear();
    fixture.callUntilFirstReceivesMoreThan(received);
}

// Guards against refusing a request because of the back-off of one endpoint while another one is
// only full for a moment.
Test(platformnotices, requestWaitsForAFullEndpointDuringAnothersBackoff, .timeout = 60)
{
    NoticeFixture fixture;
    fixture.first.retryAfter = "30";
    fixture.callUntilFirstReceivesMoreThan(0);
    std::vector<FakeEndpoint::Exchange> pending;
    fixture.second.run
        = [&](const FakeEndpoint::Exchange &exchange) { pending.push_back(exchange); };
    // One more than 1.6 times the slots of the second endpoint would be its thirteenth.
    constexpr std::size_t maxRunning = 13;
    std::vector<AnswerPtr> answers;
    for (std::size_t number = 0; number < maxRunning; ++number)
        answers.push_back(fixture.start("/get/a", "held" + std::to_string(number)));
    cr_assert(fixture.waitUntil([&] { return pending.size() == maxRunning; }));
    const auto answer = fixture.start("/get/a", "r1");
    fixture.runLoopFor(milliseconds(150));
    cr_assert_not(answer->isEnded, "%s", fixture.output().c_str());
    for (const auto &exchange : pending)
        exchange->respond(200, FakeEndpoint::stamped(exchange), "text");
    fixture.second.run = [](const FakeEndpoint::Exchange &exchange) {
        exchange->respond(200, FakeEndpoint::stamped(exchange), "text");
    };
    cr_assert(fixture.waitUntil([&] { return answer->isEnded; }));
    cr_assert_eq(answer->head.status, 200);
}

// Guards against a Retry-After that is shorter than the back-off of the endpoints, and against a
// request that waits for an end of back-off that is too late for it.
Test(platformnotices, retryAfterCoversTheEndpointsBackoff, .timeout = 60)
{
    NoticeFixture fixture;
    fixture.first.retryAfter = fixture.second.retryAfter = "30";
    fixture.call("/get/a", "r1");
    const core::TimePoint startedAt = fixture.timers.now();
    const auto answer = fixture.call("/get/a", "r2");
    cr_assert_eq(answer->head.status, 503);
    cr_assert_lt((fixture.timers.now() - startedAt).count(),
                 core::Duration(milliseconds(400)).count());
    cr_assert_geq(std::stod(answer->head.headers.value("Retry-After")), 25.0);
}
