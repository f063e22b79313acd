#include "support/platformfixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

constexpr int eventsPerStream = 6;

/// Endpoints of which one takes nearly five times as long for each event, and a daemon with the
/// options.
struct PacedFixture : PlatformFixture
{
    std::uint16_t metricsPort = picker.take();

    explicit PacedFixture(const std::vector<std::string> &options)
        : PlatformFixture("model")
    {
        killDaemon();
        daemonOptions = options;
        daemonOptions.insert(daemonOptions.end(), {"--metrics-port", std::to_string(metricsPort)});
        startDaemon();
        cr_assert(waitUntil([this] { return pollReadiness() == 200; }));
        first.run
            = [this](const FakeEndpoint::Exchange &exchange) { begin(exchange, milliseconds(30)); };
        second.run = [this](const FakeEndpoint::Exchange &exchange) {
            begin(exchange, milliseconds(140));
        };
    }

    /// Sends `count` streams, one each 60 ms, and waits for their ends.
    void sendStreams(int count)
    {
        std::vector<AnswerPtr> answers;
        for (int number = 0; number < count; ++number) {
            answers.push_back(start("/stream/a", "r" + std::to_string(m_sent++), "base"));
            runLoopFor(milliseconds(60));
        }
        cr_assert(waitUntil([&answers] {
            return std::ranges::all_of(answers, [](const auto &answer) { return answer->isEnded; });
        }));
        for (const auto &answer : answers)
            cr_assert(answer->isComplete && answer->head.status == 200, "%s", output().c_str());
    }

    std::string metrics()
    {
        const auto answer = send(metricsPort, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
        cr_assert(waitUntil([&answer] { return answer->isEnded; }));
        return answer->body;
    }

private:
    void begin(const FakeEndpoint::Exchange &exchange, core::Duration pause)
    {
        exchange->startChunked(200, FakeEndpoint::stamped(exchange));
        sendEvent(exchange, pause, 1);
    }

    void sendEvent(const FakeEndpoint::Exchange &exchange, core::Duration pause, int number)
    {
        exchange->writeChunk(event(number));
        if (number == eventsPerStream) {
            exchange->finishChunked();
            return;
        }
        m_timers.push_back(timers.once(
            pause, [this, exchange, pause, number] { sendEvent(exchange, pause, number + 1); }));
    }

    std::vector<net::TimerService::Subscription> m_timers;
    int m_sent = 0;
};

} // namespace

// Guards against an endpoint that is filled like the others although it takes several times as long
// for each event.
Test(streampauses, slowEndpointGetsFewStreams, .timeout = 60)
{
    PacedFixture fixture({"--stream-forecast"});
    fixture.sendStreams(20);
    fixture.first.runs.clear();
    fixture.second.runs.clear();
    fixture.sendStreams(30);
    cr_expect(fixture.first.runs.size() >= 4 * fixture.second.runs.size(), "%zu and %zu: %s",
              fixture.first.runs.size(), fixture.second.runs.size(), fixture.output().c_str());
    cr_expect(fixture.output().find("endpoint is slow") != std::string::npos, "%s",
              fixture.output().c_str());
    cr_expect(fixture.metrics().find("jackdawlead_stream_choices_total{kind=\"own part\"}")
                  != std::string::npos,
              "%s", fixture.metrics().c_str());
}

// Guards against a forecast that is used without its option.
Test(streampauses, nothingIsForecastWithoutTheOption, .timeout = 60)
{
    PacedFixture fixture({});
    fixture.sendStreams(20);
    cr_expect_not(fixture.second.runs.empty());
    cr_expect(fixture.output().find("endpoint is slow") == std::string::npos);
    cr_expect(fixture.metrics().find("jackdawlead_stream_choices_total{") == std::string::npos);
}
