#include "support/platformfixture.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <map>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

// The platform's stable_window_ms, after which the bound on requests with the part holds.
constexpr core::Duration stableWindow = milliseconds(4000);
constexpr std::size_t crashesUntilBound = 5;
constexpr std::size_t maxLaterArrivals = 3;
constexpr core::Duration restartTime = milliseconds(1200);
constexpr char crashingPart[] = "bad0";

/// Two daemons before endpoints that crash 60 ms after they receive a request with one part in its
/// prompt, and start again under a new id.
struct CrashingFixture : PlatformFixture
{
    static constexpr int endpointCount = 8;

    DaemonAddress other {"h2", picker.take(), picker.take(), picker.take()};
    std::string otherFolder = folder + "/other";
    Process otherDaemon;
    std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
    std::vector<net::TimerService::Subscription> crashTimers;
    std::vector<core::TimePoint> crashes;
    /// Times at which requests with the crashing part reached endpoints.
    std::vector<core::TimePoint> arrivals;
    int number = 0;

    CrashingFixture()
        : PlatformFixture("model")
    {
        store.remove("servers", first.id);
        store.remove("servers", second.id);
        for (int index = 0; index < endpointCount; ++index) {
            endpoints.push_back(std::make_unique<FakeEndpoint>(
                loop, timers, "e" + std::to_string(index), picker.take()));
            FakeEndpoint &endpoint = *endpoints.back();
            endpoint.run = [this, &endpoint](const auto &exchange) { run(endpoint, exchange); };
            store.put("servers", endpoint.id, endpoint.record("model"));
        }
        std::filesystem::create_directory(otherFolder);
        otherDaemon = startDaemonAt(other, otherFolder);
        runLoopFor(milliseconds(2500));
    }
    ~CrashingFixture() { otherDaemon.kill(); }

    void run(FakeEndpoint &endpoint, const FakeEndpoint::Exchange &exchange)
    {
        if (exchange->head.headers.value("Prompt-Prefix").find(crashingPart) == std::string::npos) {
            stream(exchange, 4, false);
            return;
        }
        arrivals.push_back(timers.now());
        crashTimers.push_back(timers.once(milliseconds(60), [this, &endpoint] {
            if (endpoint.isCrashed())
                return;
            crashes.push_back(timers.now());
            endpoint.crash();
            store.remove("servers", endpoint.id);
            crashTimers.push_back(timers.once(restartTime, [this, &endpoint] {
                endpoint.restart(endpoint.id + "x");
                store.put("servers", endpoint.id, endpoint.record("model"));
            }));
        }));
    }

    AnswerPtr request(std::uint16_t port, const std::string &parts)
    {
        const std::string id = "q" + std::to_string(++number);
        return send(port,
                    "POST /stream/" + id + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
                        + "\r\nDeadline-Ms: 4000\r\nContent-Length: " + std::to_string(id.size())
                        + "\r\nModel: base\r\nToken-Count: 10,10\r\nPrompt-Prefix: " + parts
                        + "\r\n\r\n" + id);
    }
    AnswerPtr crashingRequest(std::uint16_t port)
    {
        return request(
            port, std::string("a11:100,") + crashingPart + ":50,f" + std::to_string(number) + ":9");
    }
    AnswerPtr soundRequest(std::uint16_t port)
    {
        const std::string id = std::to_string(number);
        return request(port, "a11:100,c" + std::to_string(number % 5) + ":50,d" + id + ":9");
    }

    /// Sends a request with the part and two sound ones each 120 ms, at both daemons in turn.
    void play(core::Duration duration, std::vector<AnswerPtr> *soundAnswers = nullptr)
    {
        const core::TimePoint end = timers.now() + duration;
        std::vector<AnswerPtr> answers;
        for (int round = 0; timers.now() < end; ++round) {
            const std::uint16_t port = round % 2 == 0 ? callerPort : other.callerPort;
            answers.push_back(crashingRequest(port));
            for (int count = 0; count < 2; ++count) {
                answers.push_back(soundRequest(port));
                if (soundAnswers != nullptr)
                    soundAnswers->push_back(answers.back());
            }
            runLoopFor(milliseconds(120));
        }
        cr_assert(waitUntil([&answers] {
            return std::ranges::all_of(answers, [](const auto &answer) { return answer->isEnded; });
        }));
    }

    /// Requests with the part that reached endpoints after the bound on them began to hold.
    std::size_t laterArrivals() const
    {
        if (crashes.size() < crashesUntilBound)
            return 0;
        const core::TimePoint begin = crashes[crashesUntilBound - 1] + stableWindow;
        return static_cast<std::size_t>(
            std::ranges::count_if(arrivals, [begin](auto at) { return at > begin; }));
    }
};

} // namespace

// Guards against requests that go on crashing endpoints because each of them counts alone, although
// they share the part of their prompts that is the cause.
Test(promptparts, partThatCrashesEndpointsIsBlocked, .timeout = 90)
{
    CrashingFixture fixture;
    fixture.play(milliseconds(9000));
    cr_assert_leq(fixture.laterArrivals(), maxLaterArrivals, "%zu requests, %zu crashes\n%s",
                  fixture.laterArrivals(), fixture.crashes.size(), fixture.output().c_str());
}

// Guards against rejecting, or sending to nowhere, the sound requests that share the first part of
// their prompts with those that are blocked.
Test(promptparts, soundRequestsAreServedBesideABlockedPart, .timeout = 90)
{
    CrashingFixture fixture;
    fixture.play(milliseconds(5000));
    std::vector<AnswerPtr> answers;
    fixture.play(milliseconds(4000), &answers);
    const auto served = std::ranges::count_if(answers, [](const auto &answer) {
        return answer->head.status == 200 && answer->isComplete;
    });
    cr_assert_gt(served * 10, static_cast<long>(answers.size()) * 9, "%ld of %zu served\n%s",
                 static_cast<long>(served), answers.size(), fixture.output().c_str());
}

// Guards against a block that is lost with the daemons: those that start later, and the next
// coordinator, must know the part without further crashes.
Test(promptparts, blockOutlivesAllDaemons, .timeout = 90)
{
    CrashingFixture fixture;
    fixture.play(milliseconds(5000));
    const std::size_t crashes = fixture.crashes.size();
    fixture.daemon.kill();
    fixture.otherDaemon.kill();
    fixture.startDaemon();
    fixture.otherDaemon = fixture.startDaemonAt(fixture.other, fixture.otherFolder);
    fixture.runLoopFor(milliseconds(1500));
    fixture.play(milliseconds(4000));
    cr_assert_leq(fixture.crashes.size(), crashes, "%zu crashes before, %zu after\n%s", crashes,
                  fixture.crashes.size(), fixture.output().c_str());
}

// Guards against an answer 503 ("not run") to a request with a blocked part that did run, and
// against holding such a request until its deadline.
Test(promptparts, blockedRequestIsRejectedAtOnce, .timeout = 90)
{
    CrashingFixture fixture;
    fixture.play(milliseconds(5000));
    fixture.runLoopFor(restartTime * 2); // All endpoints are back.
    const std::size_t arrivals = fixture.arrivals.size();
    const auto answer = fixture.crashingRequest(fixture.callerPort);
    cr_assert(fixture.waitUntil([&answer] { return answer->isEnded; }));
    cr_assert_eq(answer->head.status, 503, "status %d\n%s", answer->head.status,
                 fixture.output().c_str());
    cr_assert(answer->head.headers.contains("Retry-After"));
    cr_assert_lt(answer->endedAt - answer->startedAt, milliseconds(300));
    cr_assert_eq(fixture.arrivals.size(), arrivals);
}
