#include "support/platformfixture.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace jackdawlead;
using namespace jackdawlead::testsupport;

namespace {

/// One daemon in domain z1 with the first endpoint, of 8 slots; the second one is in domain z2.
/// Both answer after 600 ms.
struct OverflowFixture : PlatformFixture
{
    explicit OverflowFixture(const std::vector<std::string> &arguments)
    {
        killDaemon();
        auto neighbour = second.record("plain");
        neighbour["zone"] = "z2";
        store.put("servers", second.id, neighbour);
        for (FakeEndpoint *endpoint : {&first, &second}) {
            endpoint->run = [this](const FakeEndpoint::Exchange &exchange) {
                m_timers.push_back(timers.once(milliseconds(600), [exchange] {
                    exchange->respond(200, FakeEndpoint::stamped(exchange), "answer");
                }));
            };
        }
        daemonOptions = {"--metrics-port", std::to_string(metricsPort)};
        daemonOptions.insert(daemonOptions.end(), arguments.begin(), arguments.end());
        startDaemon();
        cr_assert(waitUntil([this] { return pollReadiness() == 200; }));
        cr_assert(waitUntilServed("/get/"));
        first.runs.clear();
        second.runs.clear();
    }

    /// Sends requests at the same time and waits for their answers.
    void callTogether(int count)
    {
        std::vector<AnswerPtr> answers;
        answers.reserve(count);
        for (int number = 0; number < count; ++number)
            answers.push_back(start("/get/", "r" + std::to_string(m_requests++)));
        cr_assert(waitUntil([&answers] {
            return std::ranges::all_of(answers, [](const auto &a) { return a->isEnded; });
        }));
        for (const AnswerPtr &answer : answers)
            cr_expect_eq(answer->head.status, 200);
    }

    std::string metrics()
    {
        const auto answer = send(metricsPort, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
        cr_assert(waitUntil([&answer] { return answer->isEnded; }));
        return answer->body;
    }

    std::uint16_t metricsPort = picker.take();

private:
    int m_requests = 0;
    std::vector<net::TimerService::Subscription> m_timers;
};

} // namespace

// Guards against requests that leave a domain with free slots, against a shortage that nothing
// leaves, and against one that logs and metrics don't show. Load: 6 and 16 requests at once for 8
// slots.
Test(overflowingdomains, requestsLeaveOnlyAShortDomain, .timeout = 60)
{
    OverflowFixture fixture({"--domain-overflow"});
    fixture.callTogether(6);
    cr_expect_eq(fixture.second.runs.size(), 0U);
    cr_expect_eq(fixture.output().find("overflow begins"), std::string::npos);
    fixture.callTogether(16);
    cr_expect_geq(fixture.second.runs.size(), 1U);
    cr_expect_geq(fixture.first.runs.size(), 14U);
    const std::string metrics = fixture.metrics();
    cr_expect_neq(metrics.find("jackdawlead_overflow_requests_total{neighbour=\"z2\""),
                  std::string::npos, "%s", metrics.c_str());
    cr_expect_neq(metrics.find("jackdawlead_overflow_bytes_total{neighbour=\"z2\""),
                  std::string::npos);
    cr_expect_neq(fixture.output().find("overflow begins"), std::string::npos, "%s",
                  fixture.output().c_str());
    fixture.runLoopFor(milliseconds(3500));
    fixture.callTogether(1);
    cr_expect_neq(fixture.output().find("overflow ends"), std::string::npos, "%s",
                  fixture.output().c_str());
}

// Guards against a change of the choice while the switch is off: the constants send to the other
// domain from a utilization of 0.1 on. Load: 6 requests at once for 8 slots.
Test(overflowingdomains, constantsApplyWithoutTheSwitch, .timeout = 60)
{
    OverflowFixture fixture({});
    fixture.callTogether(6);
    cr_expect_geq(fixture.second.runs.size(), 1U);
    cr_expect_eq(fixture.metrics().find("jackdawlead_overflow"), std::string::npos);
    cr_expect_eq(fixture.output().find("overflow"), std::string::npos);
}
