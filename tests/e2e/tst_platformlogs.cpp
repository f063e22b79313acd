#include "support/platformfixture.h"

#include <criterion/criterion.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <map>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

using Fixture = PlatformFixture;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Returns the output of `jackdawctl explain` for a request in the log of the fixture's daemon.
std::string explain(Fixture &fixture, const std::string &id)
{
    const std::string path = fixture.folder + "/explained-" + id;
    Process command({JACKDAWCTL, "explain", id, "--log", fixture.folder + "/output"}, path);
    const auto code = command.waitForExit(std::chrono::seconds(20));
    cr_assert(code.has_value());
    cr_assert_eq(*code, 0, "%s", readFile(path).c_str());
    return readFile(path);
}

} // namespace

// Guards against a daemon that stops serving because no process reads its log.
Test(platformlogs, fullLogPipeDoesNotBlockServing, .timeout = 60)
{
    Fixture fixture;
    fixture.daemon.kill();
    const std::string path = fixture.folder + "/output";
    std::filesystem::remove(path);
    cr_assert_eq(mkfifo(path.c_str(), 0600), 0);
    const int pipe = open(path.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
    cr_assert_geq(pipe, 0);
    const std::string filler(4096, ' ');
    while (write(pipe, filler.data(), filler.size()) > 0) { }
    cr_assert(fixture.waitUntil([&] { return fixture.pollReadiness() == 0; }));
    fixture.startDaemon();
    cr_assert(fixture.waitUntil([&] { return fixture.pollReadiness() == 200; }));
    const core::TimePoint begin = fixture.loop.now();
    for (int number = 0; number < 50; ++number) {
        // A failure writes a log line, a success none.
        cr_assert_eq(fixture.call("/none/a", "n" + std::to_string(number))->head.status, 404);
        cr_assert_eq(fixture.call("/get/a", "g" + std::to_string(number))->head.status, 200);
    }
    cr_assert_lt(fixture.loop.now() - begin, std::chrono::seconds(10));
    close(pipe);
}

// Guards against a flood of refusals that fills the log and takes processor time from serving, and
// against lines that are suppressed without being counted.
Test(platformlogs, logRateStaysWithinItsLimitUnderAFlood, .timeout = 60)
{
    constexpr int requests = 1500;
    constexpr int linesPerSecond = 100;
    constexpr int burst = 300;
    Fixture fixture;
    const core::TimePoint begin = fixture.loop.now();
    for (int number = 0; number < requests; ++number)
        cr_assert_eq(fixture.call("/none/a", "n" + std::to_string(number))->head.status, 404);
    // The next line after a pause contains the number of suppressed lines.
    fixture.runLoopFor(milliseconds(200));
    cr_assert_eq(fixture.call("/none/a", "last")->head.status, 404);
    fixture.runLoopFor(milliseconds(100));
    const double seconds = std::chrono::duration<double>(fixture.loop.now() - begin).count();
    int lines = 0;
    int failures = 0;
    int suppressed = 0;
    std::istringstream log(fixture.output());
    for (std::string text; std::getline(log, text); ++lines) {
        const json line = json::parse(text);
        failures += line.value("step", std::string()) == "fail" ? 1 : 0;
        suppressed += line.value("linesLeftOutBefore", 0);
    }
    cr_assert_leq(lines, burst + linesPerSecond * (seconds + 1));
    cr_assert_eq(failures + suppressed, requests + 1);
}

// Guards against a refused request, a late one, and one with an unknown outcome whose cause cannot
// be found by the request's id.
Test(platformlogs, explainNamesTheCause, .timeout = 60)
{
    Fixture fixture("model");
    cr_assert_eq(fixture.call("/stream/a", "refused", "nowhere/a1")->head.status, 503);
    net::TimerService::Subscription delay;
    const auto lateStream = [&](const FakeEndpoint::Exchange &exchange) {
        delay = fixture.timers.once(milliseconds(1050), [exchange] { stream(exchange, 2, false); });
    };
    fixture.first.run = fixture.second.run = lateStream;
    cr_assert_eq(fixture.call("/once/a", "late", "base")->body, events(1, 2));
    const auto abortConnection = [](const FakeEndpoint::Exchange &exchange) { exchange->abort(); };
    fixture.first.run = fixture.second.run = abortConnection;
    cr_assert_eq(fixture.call("/once/a", "unknown", "base")->head.status, 502);
    fixture.runLoopFor(milliseconds(200));
    const std::map<std::string, std::string> causes {
        {"refused", "no endpoint holds what is asked for, model nowhere/a1"},
        {"late", "first event after 10"},
        {"unknown", "connection broke before the answer was complete"}};
    for (const auto &[id, cause] : causes) {
        const std::string explained = explain(fixture, id);
        cr_assert_neq(explained.find(cause), std::string::npos, "%s:\n%s", id.c_str(),
                      explained.c_str());
    }
}

// Guards against a stream whose second send leaves no trace: why it was made, where to, and what
// the caller had by then.
Test(platformlogs, explainShowsASilentEndpointAndTheSecondSend, .timeout = 60)
{
    Fixture fixture("model");
    FakeEndpoint::Exchange silent;
    fixture.first.run = fixture.second.run = [&](const FakeEndpoint::Exchange &exchange) {
        if (silent) {
            stream(exchange, 6, false);
            return;
        }
        silent = exchange;
        exchange->startChunked(200, FakeEndpoint::stamped(exchange));
        exchange->writeChunk(events(1, 3));
    };
    cr_assert_eq(fixture.call("/stream/a", "r1", "base")->body, events(1, 6));
    fixture.runLoopFor(milliseconds(200));
    const bool wasFirst = silent->head.headers.value("Expect-Instance") == fixture.first.id;
    const std::string &other = (wasFirst ? fixture.second : fixture.first).id;
    const std::string explained = explain(fixture, "r1");
    for (const std::string &part : {std::string("run has begun, event 3 forwarded"),
                                    "replacement " + other, "[" + other + "]: send 2, "})
        cr_assert_neq(explained.find(part), std::string::npos, "%s missing:\n%s", part.c_str(),
                      explained.c_str());
}
